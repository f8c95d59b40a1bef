package sim

import (
	"testing"
	"time"
)

// TestControlIsReplacedWhileAGatewayStarts: a gateway starts while it is cut off, and every control node of its settings
// is replaced meanwhile.
func TestControlIsReplacedWhileAGatewayStarts(t *testing.T) {
	f := quietFleet(t)
	w, g := f.world, f.gateways[2]
	f.isolate([]*process{g.process}, time.Hour)
	g.die()
	w.runUntil(w.now + 10*time.Second)
	if !g.up || g.listening() {
		t.Fatalf("up %v, listening %v", g.up, g.listening())
	}
	for _, founder := range f.hosts[:hostCount] {
		if !f.replace(founder, false) {
			t.Fatalf("%s is not replaced", founder.name)
		}
		w.runUntil(w.now + 5*time.Second)
	}
	w.network.heal()
	w.runUntil(w.now + startTime + 10*time.Second)
	if !g.listening() {
		t.Errorf("%s, run %d, knows %v, serves nobody", g.name, g.epoch, g.client.addresses)
	}
}

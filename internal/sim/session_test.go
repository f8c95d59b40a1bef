package sim

import (
	"testing"
	"time"
)

// TestGatewayLosesReplacedControlNodes guards against a gateway that never finds the control group again. It is cut
// off while every control node that it knows is replaced. It knows these nodes from its settings because it has just
// started, or from its last grant.
func TestGatewayLosesReplacedControlNodes(t *testing.T) {
	for _, starts := range []bool{true, false} {
		f := quietFleet(t)
		w, g := f.world, f.gateways[2]
		f.isolate([]*process{g.process}, time.Hour)
		if starts {
			g.die()
		}
		w.runUntil(w.now + 10*time.Second)
		for _, founder := range f.hosts[:hostCount] {
			if !f.replaceMachine(founder, false) {
				t.Fatalf("%s was not replaced: another repair is in progress or it already was", founder.name)
			}
			w.runUntil(w.now + 5*time.Second)
		}
		w.network.heal()
		w.runUntil(w.now + leaseLossTimeout + 10*time.Second)
		if _, leased := g.session.admit(); !leased {
			t.Errorf("starts %v: %s, run %d, knows control nodes %v and has no lease, expected one", starts, g.name, g.epoch, g.client.addresses)
		}
	}
}

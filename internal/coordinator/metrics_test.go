package coordinator

import (
	"testing"
	"time"
)

func TestReadinessHidesADrainOrALostLease(t *testing.T) {
	f := newFixture(t, 1, 1)
	server := f.coordinators[0]
	if err := server.Ready(f.context); err != nil {
		t.Fatal(err)
	}
	server.draining.Store(true)
	if err := server.Ready(f.context); err != errDraining {
		t.Fatalf("readiness while draining: got %v, want errDraining", err)
	}
	server.draining.Store(false)
	f.control.Close()
	for server.Ready(f.context) != errNoLease { // waits until the lease expires; the test timeout bounds the wait
		time.Sleep(time.Millisecond)
	}
}

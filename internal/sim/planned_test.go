package sim

import (
	"testing"
	"time"
)

// quietFleet is a fleet without load or faults that has had time to set up.
func quietFleet(t *testing.T) *fleet {
	t.Helper()
	quiet := &Scenario{Name: "quiet", Length: time.Hour}
	w := newWorld(quiet, 1, NoMutation, false)
	w.fleet = newFleet(w, quiet)
	w.fleet.launchAll()
	w.runUntil(setupTime)
	return w.fleet
}

// TestPausedBackendLeavesAndDies: nobody can know that a replica leaves which is paused from before until it dies,
// and nobody can learn it from a dead one.
func TestPausedBackendLeavesAndDies(t *testing.T) {
	for _, one := range []struct {
		paused   bool
		violated bool
	}{{true, false}, {false, true}} {
		f := quietFleet(t)
		w, b := f.world, f.backends[0]
		b.leave()
		if one.paused {
			b.pause(time.Minute)
		}
		w.runUntil(w.now + 2*leavingBound)
		b.die()
		w.runUntil(w.now + 10*time.Millisecond)
		w.truth.dispatchedToLeaving(f.gateways[0], b)
		if violated := w.truth.stopped(); violated != one.violated {
			t.Errorf("paused %v: violated is %v: %s", one.paused, violated, w.truth.problem)
		}
	}
}

package sim

import (
	"testing"
	"time"
)

// quietFleet returns a fleet without load or faults after its setup time.
func quietFleet(t *testing.T) *fleet {
	t.Helper()
	quiet := &Scenario{Name: "quiet", Length: time.Hour}
	w := newWorld(quiet, 1, NoMutation, false)
	w.fleet = newFleet(w, quiet)
	w.fleet.launchAll()
	w.runUntil(setupTime)
	return w.fleet
}

// TestPausedBackendLeavesAndDies guards against a false violation of the leaving-back-end invariant. A replica that
// is paused from the moment it is told to leave until it dies cannot report that it is leaving, and no gateway can
// learn it from a dead replica. Without the pause, the same dispatch is a violation.
func TestPausedBackendLeavesAndDies(t *testing.T) {
	for _, one := range []struct {
		paused   bool
		violated bool
	}{{true, false}, {false, true}} {
		f := quietFleet(t)
		w, b := f.world, f.backends[0]
		b.startLeaving()
		if one.paused {
			b.pause(time.Minute)
		}
		w.runUntil(w.now + 2*leavingBound)
		b.die()
		w.runUntil(w.now + 10*time.Millisecond)
		w.truth.checkLeavingBackend(f.gateways[0], b)
		if violated := w.truth.isStopped(); violated != one.violated {
			t.Errorf("paused %v: violated is %v, expected the opposite: %s", one.paused, violated, w.truth.problem)
		}
	}
}

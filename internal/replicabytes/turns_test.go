package replicabytes

import (
	"testing"
	"time"
)

// TestTurnIsReleasedAndRequestedAgain guards against a process that keeps a replica from others. Its turn must end
// after maxTurnDuration, be released once the bodies there are answered, and be requested again only after the leader
// has withdrawn the grant. While others have the turn, the process must request another replica.
func TestTurnIsReleasedAndRequestedAgain(t *testing.T) {
	granted, held := map[string]bool{}, map[string]bool{}
	input := &StepInput{Replicas: []string{"r", "s"}, Waiting: 1, Granted: func(i string) bool { return granted[i] }, Held: func(i string) bool { return held[i] }}
	turns := NewTurns()
	expect := func(now time.Duration, instance string, inUse, waiting uint32, known, may bool) {
		t.Helper()
		gotUse, gotWait, gotKnown := turns.Demand(instance)
		if gotUse != inUse || gotWait != waiting || gotKnown != known || turns.MaySend(now, instance) != may {
			t.Errorf("at %v: in use %d, waiting %d, known %v, may send %v; want the arguments of the call at the reported line", now, gotUse, gotWait, gotKnown, turns.MaySend(now, instance))
		}
	}
	turns.Step(0, input)
	expect(0, "r", 0, 1, true, false)
	expect(0, "s", 0, 0, false, false)
	granted["r"], held["r"] = true, true
	turns.Step(time.Second/2, input)
	expect(time.Second/2, "r", 1, 0, true, true)
	ended := time.Second/2 + maxTurnDuration
	expect(ended, "r", 1, 0, true, false)
	turns.Step(ended, input)
	expect(ended, "r", 1, 0, true, false)
	expect(ended, "s", 0, 1, true, false)
	held["r"] = false
	turns.Step(ended+1, input)
	expect(ended+1, "r", 0, 0, true, false)
	granted["r"] = false
	turns.Step(ended+2, input)
	expect(ended+2, "r", 0, 0, false, false)
	turns.Step(ended+maxRequestDuration, input)
	expect(ended+maxRequestDuration, "s", 0, 0, true, false)
	expect(ended+maxRequestDuration, "r", 0, 1, true, false)
	input.Waiting = 0
	turns.Step(ended+maxRequestDuration+1, input)
	turns.Step(ended+maxRequestDuration+2, input)
	if left := turns.Instances(); len(left) > 0 {
		t.Errorf("turns at %v although no body waits, want none", left)
	}
}

package schedule

import (
	"fmt"
	"testing"
)

// TestSuspectsRunOnSeparateReplicas: items under which replicas crashed run on separate replicas as long as there are
// enough, whatever their load. The count of suspects returns to zero with their ends.
func TestSuspectsRunOnSeparateReplicas(t *testing.T) {
	s := newScheduler(4, 8)
	open(s, Job{ID: "j"}, "a:10", "b:10", "c:10", "d:10", "e:10", "f:10")
	for number := range 4 {
		s.Suspect(Key{"j", fmt.Sprint("i", number)})
	}
	runs := map[string]int{}
	for _, start := range s.Starts(0) {
		if start.Item < "i4" {
			runs[start.Instance]++
		}
	}
	if len(runs) != 4 {
		t.Errorf("four suspects run on replicas %v, want one on each of four", runs)
	}
	for number := range 4 {
		s.Ended(0, Key{"j", fmt.Sprint("i", number)}, Broken, 0)
	}
	for _, replica := range s.replicas {
		if replica.suspectRuns != 0 {
			t.Errorf("%s counts %d suspect runs after their ends, want 0", replica.Instance, replica.suspectRuns)
		}
	}
}

// TestSecondSuspectAvoidsLeastLoadedReplica: a second suspect must not join the first one on a large replica, although
// that has the lower load.
func TestSecondSuspectAvoidsLeastLoadedReplica(t *testing.T) {
	s := New(Settings{})
	s.Replicas([]Replica{{Instance: "large", Pool: "p", Slots: 64}, {Instance: "small", Pool: "p", Slots: 4}})
	open(s, Job{ID: "j"}, "a:10", "b:10")
	s.Suspect(Key{"j", "i0"})
	s.Suspect(Key{"j", "i1"})
	starts := s.Starts(0)
	if len(starts) != 2 || starts[0].Instance == starts[1].Instance {
		t.Errorf("two suspects started as %+v, want different replicas", starts)
	}
}

// TestHeldItemsWait: a held item waits for its time and takes no slot. Once it is condemned its group is no longer
// required, and another group of the job is required in its place until the item may run again.
func TestHeldItemsWait(t *testing.T) {
	s := newScheduler(1, 1)
	open(s, Job{ID: "j", Desired: 1}, "a:10", "b:10")
	first := s.Starts(0)[0].Key
	s.Ended(0, first, Stopped, 0)
	s.Hold(first, 5*second, HeldSuspect)
	s.Condemn(first)
	starts := s.Starts(0)
	if len(starts) != 1 || starts[0].Key == first || starts[0].Urgency == urgencySurplus {
		t.Fatalf("started %+v, want the other group as a required one", starts)
	}
	s.Ended(second, starts[0].Key, Completed, 0)
	if starts = s.Starts(2 * second); len(starts) != 0 {
		t.Fatalf("a held item started: %+v", starts)
	}
	if starts = s.Starts(6 * second); len(starts) != 1 || starts[0].Key != first {
		t.Fatalf("started %+v after the hold, want the held item", starts)
	}
	if s.find(first).condemned {
		t.Error("an item that runs again is still condemned")
	}
}

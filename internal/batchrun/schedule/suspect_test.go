package schedule

import (
	"fmt"
	"testing"
)

// TestSuspectsKeepApart: replicas crashed under some items; of the items that run again no two are at one replica while there are others,
// however loaded these are, and items that are not suspected are placed as before.
func TestSuspectsKeepApart(t *testing.T) {
	s := newScheduler(4, 8)
	open(s, Job{ID: "j"}, "a:10", "b:10", "c:10", "d:10", "e:10", "f:10")
	for number := range 4 {
		s.Suspect(Key{"j", fmt.Sprint("i", number)})
	}
	at := map[string]int{}
	for _, start := range s.Starts(0) {
		if start.Item < "i4" {
			at[start.Instance]++
		}
	}
	if len(at) != 4 {
		t.Errorf("four suspects run at %v", at)
	}
	for number := range 4 {
		s.Ended(0, Key{"j", fmt.Sprint("i", number)}, Broken, 0)
	}
	for _, one := range s.replicas {
		if one.suspectRuns != 0 {
			t.Errorf("%s counts %d suspects after their ends", one.Instance, one.suspectRuns)
		}
	}
}

// TestSuspectsLeaveTheEmptiestReplica: without its first suspect the larger replica would get the second one, too.
func TestSuspectsLeaveTheEmptiestReplica(t *testing.T) {
	s := New(Settings{})
	s.Replicas([]Replica{{Instance: "large", Pool: "p", Slots: 64}, {Instance: "small", Pool: "p", Slots: 4}})
	open(s, Job{ID: "j"}, "a:10", "b:10")
	s.Suspect(Key{"j", "i0"})
	s.Suspect(Key{"j", "i1"})
	starts := s.Starts(0)
	if len(starts) != 2 || starts[0].Instance == starts[1].Instance {
		t.Errorf("two suspects start as %+v", starts)
	}
}

// TestHeldItemsWait: an item that must not run waits for its time and takes no slot; once it is condemned its group is no longer waited
// for and another one of the job takes its place, until it may run again.
func TestHeldItemsWait(t *testing.T) {
	s := newScheduler(1, 1)
	open(s, Job{ID: "j", Desired: 1}, "a:10", "b:10")
	first := s.Starts(0)[0].Key
	s.Ended(0, first, Stopped, 0)
	s.Hold(first, 5*second)
	s.Condemn(first)
	starts := s.Starts(0)
	if len(starts) != 1 || starts[0].Key == first || starts[0].Urgency == urgencySurplus {
		t.Fatalf("starts %+v, want the other group as one that is waited for", starts)
	}
	s.Ended(second, starts[0].Key, Completed, 0)
	if starts = s.Starts(2 * second); len(starts) != 0 {
		t.Fatalf("an item that is held starts: %+v", starts)
	}
	if starts = s.Starts(6 * second); len(starts) != 1 || starts[0].Key != first {
		t.Fatalf("after its rest %+v", starts)
	}
	if s.find(first).condemned {
		t.Error("an item that runs again still counts as condemned")
	}
}

package schedule

import "testing"

// TestAdoptedRunsTakeSlots: a run that an earlier leader started takes its replica's slot, and its item does not start
// again.
func TestAdoptedRunsTakeSlots(t *testing.T) {
	s := newScheduler(1, 1)
	open(s, Job{ID: "job", Deadline: 9 * second}, "a:10", "b:10")
	start, adopted := s.Adopt(Key{"job", "i1"}, "r1", second)
	if !adopted || start.Instance != "r1" || start.Slots != 1 || start.Running != 1 || start.Urgency == 0 {
		t.Fatalf("got %+v (adopted: %v), want the run on r1", start, adopted)
	}
	if starts := s.Starts(second); len(starts) != 0 {
		t.Fatalf("%+v started although the adopted run takes the only slot", starts)
	}
	for _, refused := range []struct {
		key      Key
		instance string
	}{{Key{"job", "i1"}, "r1"}, {Key{"job", "i0"}, "r9"}, {Key{"other", "i0"}, "r1"}} {
		if _, adopted := s.Adopt(refused.key, refused.instance, second); adopted {
			t.Errorf("%+v was adopted", refused)
		}
	}
	s.Ended(2*second, Key{"job", "i1"}, Completed, 0)
	if starts := s.Starts(2 * second); len(starts) != 1 || starts[0].Item != "i0" {
		t.Errorf("started %+v after the adopted run, want i0", starts)
	}
}

package schedule

import (
	"testing"
	"time"
)

const eventPause = 50 * time.Millisecond

// knowLimit has answers of a model become so many events long, as often as it takes to believe in a bound.
func knowLimit(s *Scheduler, model string, events int) {
	for range limitConfirmations {
		s.noteLength(model, events)
	}
}

// brings has a run bring its first events, one a pause, from a moment on.
func brings(s *Scheduler, key Key, events int, from time.Duration) {
	for event := range events {
		s.Progress(key, event+1, from+time.Duration(event)*eventPause, 1)
	}
}

// TestEndsAreExpectedByTheLongestAnswers: the end of a job is that of the last of the groups that its owner waits for; an answer that
// has outgrown its estimate is expected to reach the bound.
func TestEndsAreExpectedByTheLongestAnswers(t *testing.T) {
	s := newScheduler(1, 8)
	knowPace(s, 10, eventPause) // ten events for ten tokens
	open(s, Job{ID: "job", Model: "m", Desired: 2}, "a:20", "b:60", "c:100")
	s.Starts(second)
	keys := []Key{{"job", "i0"}, {"job", "i1"}, {"job", "i2"}}
	for _, key := range keys {
		brings(s, key, 1, second)
	}
	if end, known := s.Expected("job"); known {
		t.Errorf("an end is expected at %v although no bound is known", end)
	}
	knowLimit(s, "m", 80)
	if end, known := s.Expected("job"); !known || end != second+59*eventPause {
		t.Errorf("expected at %v, %v: want the second group's end", end, known)
	}
	brings(s, keys[0], 21, second)
	if end, _ := s.Expected("job"); end != second+79*eventPause {
		t.Errorf("expected at %v: want the bound, which the first group's answer is on its way to", end)
	}
	s.Ended(3*second, keys[0], Completed, 1)
	if end, _ := s.Expected("job"); end < second+59*eventPause || end > second+60*eventPause { // estimates have grown with it
		t.Errorf("expected at %v once the first group is whole", end)
	}
	s.Ended(4*second, keys[1], Broken, 1)
	if end, known := s.Expected("job"); known && end != second+79*eventPause {
		t.Errorf("expected at %v by an item that does not run", end)
	}
}

// TestCarriedGroupsAreExpectedWhole whichever others are.
func TestCarriedGroupsAreExpectedWhole(t *testing.T) {
	s := newScheduler(1, 8)
	knowPace(s, 10, eventPause)
	knowLimit(s, "m", 200)
	open(s, Job{ID: "before", Model: "m"}, "a:100")
	s.End("before")
	open(s, Job{ID: "job", Model: "m", Desired: 1}, "a:100", "b:20")
	s.Starts(second)
	for _, item := range []string{"i0", "i1"} {
		brings(s, Key{"job", item}, 1, second)
	}
	if end, known := s.Expected("job"); !known || end != second+99*eventPause {
		t.Errorf("expected at %v, %v: want the end of the carried group", end, known)
	}
}

// TestBoundsOfAnswersNeedSeveral: one long answer is no bound.
func TestBoundsOfAnswersNeedSeveral(t *testing.T) {
	var limit lengthLimit
	for _, events := range []int{40, 145, 145, 7, 145} {
		if known := limit.bound(); known != 0 {
			t.Fatalf("bound %d before it was met often enough", known)
		}
		limit.note(events)
	}
	if limit.bound() != 145 {
		t.Errorf("bound %d", limit.bound())
	}
	if limit.note(200); limit.bound() != 0 {
		t.Error("a longer answer leaves the bound as it was")
	}
}

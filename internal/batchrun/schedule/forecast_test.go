package schedule

import (
	"testing"
	"time"
)

const eventPause = 50 * time.Millisecond

// learnLimit completes as many answers of a model with the given number of events as confirm a limit.
func learnLimit(s *Scheduler, model string, events int) {
	for range limitConfirmations {
		s.noteLength(model, events)
	}
}

// deliverEvents reports the first events of a run one by one, an eventPause apart, from a given time.
func deliverEvents(s *Scheduler, key Key, events int, from time.Duration) {
	for event := range events {
		s.Progress(key, event+1, from+time.Duration(event)*eventPause, 1)
	}
}

// TestExpectedEndFollowsLongestAnswers: a job ends with the last group that its owner requires, and an answer that has
// outgrown its estimate is expected to reach the limit.
func TestExpectedEndFollowsLongestAnswers(t *testing.T) {
	s := newScheduler(1, 8)
	learnPace(s, 10, eventPause) // ten events for ten tokens
	open(s, Job{ID: "job", Model: "m", Desired: 2}, "a:20", "b:60", "c:100")
	s.Starts(second)
	keys := []Key{{"job", "i0"}, {"job", "i1"}, {"job", "i2"}}
	for _, key := range keys {
		deliverEvents(s, key, 1, second)
	}
	if end, known := s.ExpectedEnd("job"); known {
		t.Errorf("end expected at %v although no limit is known", end)
	}
	learnLimit(s, "m", 80)
	if end, known := s.ExpectedEnd("job"); !known || end != second+59*eventPause {
		t.Errorf("end expected at %v (known: %v), want the end of the second group", end, known)
	}
	deliverEvents(s, keys[0], 21, second)
	if end, _ := s.ExpectedEnd("job"); end != second+79*eventPause {
		t.Errorf("end expected at %v, want the first group's answer to reach the limit", end)
	}
	s.Ended(3*second, keys[0], Completed, 1)
	if end, _ := s.ExpectedEnd("job"); end < second+59*eventPause || end > second+60*eventPause { // the estimate has grown with the completed answer
		t.Errorf("end expected at %v after the first group completed, want the end of the second", end)
	}
	s.Ended(4*second, keys[1], Broken, 1)
	if end, known := s.ExpectedEnd("job"); known && end != second+79*eventPause {
		t.Errorf("end expected at %v from an item that does not run", end)
	}
}

// TestExpectedEndIncludesCarriedGroups: a job's expected end includes its groups from an earlier job, even if enough
// other groups complete before.
func TestExpectedEndIncludesCarriedGroups(t *testing.T) {
	s := newScheduler(1, 8)
	learnPace(s, 10, eventPause)
	learnLimit(s, "m", 200)
	open(s, Job{ID: "before", Model: "m"}, "a:100")
	s.End("before")
	open(s, Job{ID: "job", Model: "m", Desired: 1}, "a:100", "b:20")
	s.Starts(second)
	for _, item := range []string{"i0", "i1"} {
		deliverEvents(s, Key{"job", item}, 1, second)
	}
	if end, known := s.ExpectedEnd("job"); !known || end != second+99*eventPause {
		t.Errorf("end expected at %v (known: %v), want the end of the carried group", end, known)
	}
}

// TestLengthLimitNeedsConfirmations: a single long answer must not count as the length limit of a model.
func TestLengthLimitNeedsConfirmations(t *testing.T) {
	var limit lengthLimit
	for _, events := range []int{40, 145, 145, 7, 145} {
		if known := limit.bound(); known != 0 {
			t.Fatalf("limit %d before enough answers reached it", known)
		}
		limit.note(events)
	}
	if limit.bound() != 145 {
		t.Errorf("limit %d, want 145", limit.bound())
	}
	if limit.note(200); limit.bound() != 0 {
		t.Error("a longer answer does not reset the limit")
	}
}

package schedule

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newMemoryLimited returns a scheduler with replicas that report a pace and have memory for some tokens, and one job of
// items with estimated lengths.
func newMemoryLimited(memory uint64, replicas int, lengths ...uint64) *Scheduler {
	s := New(Settings{})
	described := someReplicas(replicas, 8)
	for i := range described {
		described[i].Memory = memory
	}
	s.Replicas(described)
	s.poolNamed("p").reportsPace = true
	job := Job{ID: "j", Deadline: 9 * second}
	for number, length := range lengths {
		job.Items = append(job.Items, Item{ID: fmt.Sprint("i", number), Group: "g", Length: length, Estimated: true, Prompt: 100})
	}
	s.Open(job, nil, nil)
	for _, item := range job.Items {
		s.Route(Key{job.ID, item.ID}, []Share{{Pool: "p", Weight: 1}})
	}
	return s
}

// TestMemoryLimitsStarts: items start as long as the replica's memory is expected to hold their answers with their
// shared prompt. A short item starts although a longer one waits for memory.
func TestMemoryLimitsStarts(t *testing.T) {
	s := newMemoryLimited(1000, 1, 400, 400, 400, 90)
	starts := s.Starts(second)
	started := uint64(0)
	for _, start := range starts {
		started += s.find(start.Key).Length
	}
	if len(starts) != 3 || started != 890 {
		t.Fatalf("%d items of %d tokens together started, want 3 of 890", len(starts), started)
	}
	if again := s.Starts(2 * second); len(again) != 0 {
		t.Fatalf("%v started without free memory", again)
	}
	s.Ended(2*second, starts[0].Key, Completed, 1)
	if again := s.Starts(3 * second); len(again) != 1 {
		t.Fatalf("%v started once memory is free, want one item", again)
	}
}

// TestLargeItemStartsBesideIdleReplicas guards against an item that never starts, because each replica always runs some
// small item, beside which the large one is not expected to fit.
func TestLargeItemStartsBesideIdleReplicas(t *testing.T) {
	s := newMemoryLimited(1000, 3, 950)
	large := Key{"j", "i0"}
	s.Hold(large, second, HeldRetry)
	open(s, Job{ID: "k", Deadline: time.Minute}, "a:60", "b:60", "c:60")
	if started := len(s.Starts(0)); started != 3 {
		t.Fatalf("%d small items started, want one on each of three replicas", started)
	}
	if starts := s.Starts(second); len(starts) != 0 {
		t.Fatalf("%+v started although no replica has memory for it", starts)
	}
	if starts := s.Starts(memoryPatience); len(starts) != 1 || starts[0].Key != large {
		t.Errorf("%+v started after %v beside idle replicas, want the large item", starts, memoryPatience)
	}
}

// TestNoMemoryLimitWithoutEstimates: memory does not limit starts on replicas of unknown memory, in pools that report
// no pace, or for items whose lengths are upper bounds.
func TestNoMemoryLimitWithoutEstimates(t *testing.T) {
	if starts := newMemoryLimited(0, 1, 400, 400, 400).Starts(second); len(starts) != 3 {
		t.Errorf("%d items started on a replica of unknown memory, want 3", len(starts))
	}
	silent := newMemoryLimited(1000, 1, 400, 400, 400)
	silent.poolNamed("p").reportsPace = false
	if starts := silent.Starts(second); len(starts) != 3 {
		t.Errorf("%d items started without pace reports, want 3", len(starts))
	}
	s := newMemoryLimited(1000, 1, 400, 400, 400)
	for _, entry := range s.jobs["j"].items {
		entry.Estimated = false
	}
	if starts := s.Starts(second); len(starts) != 3 {
		t.Errorf("%d items started without estimates, want 3", len(starts))
	}
}

// TestOversizedItemStartsAlone: an item that exceeds the memory still starts on an idle replica, which itself rejects
// what it can't hold.
func TestOversizedItemStartsAlone(t *testing.T) {
	s := newMemoryLimited(1000, 1, 5000, 10)
	if starts := s.Starts(second); len(starts) != 1 || s.find(starts[0].Key).Length != 5000 {
		t.Fatalf("started %v, want the oversized item alone", starts)
	}
}

// TestLongAnswerFillsReplica: an answer that exceeds its estimate takes memory, so that nothing else starts beside it.
func TestLongAnswerFillsReplica(t *testing.T) {
	s := newMemoryLimited(1000, 2, 100)
	s.poolNamed("p").meanEvents, s.poolNamed("p").meanLength = 10, 100
	starts := s.Starts(second)
	if len(starts) != 1 {
		t.Fatalf("started %v, want one run", starts)
	}
	s.Progress(starts[0].Key, 80, 2*second, 1)
	full := starts[0].Instance
	open(s, Job{ID: "next", Deadline: 9 * second}, "a:200", "b:200", "c:200")
	for _, entry := range s.jobs["next"].items {
		entry.Estimated = true
	}
	started := s.Starts(2 * second)
	if len(started) != 3 {
		t.Fatalf("started %v, want three runs", started)
	}
	for _, start := range started {
		if start.Instance == full {
			t.Errorf("%s started beside an answer that fills the memory", start.Item)
		}
	}
}

// TestOverrunsAreLearned: if answers are twice as long as estimated, memory is planned for that. Meaningless estimates
// don't move the ratio beyond its bounds.
func TestOverrunsAreLearned(t *testing.T) {
	pool := &pool{meanEvents: 10, meanLength: 100}
	for range 1000 {
		pool.learnOverrun(20, 100)
	}
	if pool.overrun < 1.9 || pool.overrun > 2.1 {
		t.Errorf("overrun ratio %v, want about 2", pool.overrun)
	}
	for range 10_000 {
		pool.learnOverrun(1, 100_000)
	}
	if pool.overrun != minimumOverrun {
		t.Errorf("overrun ratio %v, want the minimum", pool.overrun)
	}
}

// TestReservationsAreBalanced: after any sequence of starts, moves and ends, no replica keeps items, runs or
// reservations.
func TestReservationsAreBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newMemoryLimited(1000, 2, rapid.SliceOfN(rapid.Uint64Range(1, 600), 1, 20).Draw(t, "lengths")...)
		var runs []Key
		now := second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 100 * time.Millisecond
			reportPace(s, now, 1, 2)
			for _, start := range s.Starts(now) {
				runs = append(runs, start.Key)
			}
			for _, key := range runs {
				s.Progress(key, rapid.IntRange(0, 100).Draw(t, "events"), now, 1)
			}
			s.PlanMoves(now)
			if len(runs) > 0 && rapid.Bool().Draw(t, "end") {
				s.Ended(now, runs[0], rapid.SampledFrom([]Ending{Completed, Moved, Broken, Full}).Draw(t, "ending"), 1)
				runs = runs[1:]
			}
		}
		for len(runs) > 0 {
			s.Ended(now, runs[0], Stopped, 1)
			runs = runs[1:]
		}
		s.End("j")
		for _, replica := range s.replicas {
			if len(replica.items) != 0 || replica.running != 0 || replica.reservedSlots != 0 {
				t.Fatalf("%s holds %d items, of which %d run, after all have ended", replica.Instance, len(replica.items), replica.running)
			}
		}
	})
}

// recomputePeakMemory computes the expected peak memory use of a replica with one more item without the cache.
func (s *Scheduler) recomputePeakMemory(replica *replica, added *item) float64 {
	var answers []answerMemory
	prompts := map[*group]uint64{}
	note := func(entry *item) {
		answers = append(answers, s.poolNamed(replica.Pool).answerMemoryOf(entry))
		prompts[entry.group] = max(prompts[entry.group], entry.Prompt)
	}
	for entry := range replica.items {
		note(entry)
	}
	note(added)
	slices.SortFunc(answers, byRemainingDescending)
	total := uint64(0)
	for _, tokens := range prompts {
		total += tokens
	}
	return computePeak(answers) + float64(total)
}

// TestCachedMemoryUsageMatchesRecomputation: the cached memory usage equals a fresh computation after any sequence of
// starts, events, moves and ends.
func TestCachedMemoryUsageMatchesRecomputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := rapid.SliceOfN(rapid.Uint64Range(1, 400), 2, 20).Draw(t, "lengths")
		s := newMemoryLimited(1000, 2, lengths...)
		var runs []Key
		for now := second; now < 4*second; now += 200 * time.Millisecond {
			reportPace(s, now, 1, 2)
			for _, start := range s.Starts(now) {
				runs = append(runs, start.Key)
			}
			for _, key := range runs {
				s.Progress(key, rapid.IntRange(0, 100).Draw(t, "events"), now, 1)
			}
			s.PlanMoves(now)
			if len(runs) > 0 && rapid.Bool().Draw(t, "end") {
				s.Ended(now, runs[0], rapid.SampledFrom([]Ending{Completed, Moved, Broken, Full, Changed}).Draw(t, "ending"), 1)
				runs = runs[1:]
			}
			for _, replica := range s.replicas {
				for _, entry := range s.jobs["j"].items {
					if entry.state == running || entry.reservedReplica != nil {
						continue
					}
					if got, want := s.peakMemoryWith(replica, entry), s.recomputePeakMemory(replica, entry); math.Abs(got-want) > 1e-6 {
						t.Fatalf("memory of %s with %s: got %v, want %v", replica.Instance, entry.ID, got, want)
					}
				}
			}
		}
	})
}

// TestPeakMatchesSimulation compares the computed peak with the memory use at each step until all answers have ended.
func TestPeakMatchesSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var answers []answerMemory
		longest := 0
		for range rapid.IntRange(0, 8).Draw(t, "answers") {
			left := rapid.IntRange(0, 50).Draw(t, "left")
			answers = append(answers, answerMemory{produced: float64(rapid.IntRange(0, 100).Draw(t, "brought")), remaining: float64(left)})
			longest = max(longest, left)
		}
		want := 0.0
		for step := range longest + 1 {
			taken := 0.0
			for _, one := range answers {
				if one.remaining >= float64(step) {
					taken += one.produced + float64(step)
				}
			}
			want = max(want, taken)
		}
		slices.SortFunc(answers, byRemainingDescending)
		if got := computePeak(answers); got != want {
			t.Fatalf("peak %v, want %v", got, want)
		}
		if len(answers) == 0 {
			return
		}
		position := rapid.IntRange(0, len(answers)-1).Draw(t, "added")
		if got := computePeakWith(slices.Delete(slices.Clone(answers), position, position+1), answers[position]); got != want {
			t.Fatalf("peak %v, want %v, with %v added to the other answers", got, want, answers[position])
		}
	})
}

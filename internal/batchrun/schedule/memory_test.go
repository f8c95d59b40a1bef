package schedule

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crowded are replicas that report a pace, with memory for some tokens, and a job of items whose answers are estimated.
func crowded(memory uint64, replicas int, lengths ...uint64) *Scheduler {
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

// TestMemoryBoundsWhatBegins: answers begin as long as the replica's memory is expected to hold them with their one prompt, and a short
// one does where a long one waits.
func TestMemoryBoundsWhatBegins(t *testing.T) {
	s := crowded(1000, 1, 400, 400, 400, 90)
	starts := s.Starts(second)
	begun := uint64(0)
	for _, start := range starts {
		begun += s.find(start.Key).Length
	}
	if len(starts) != 3 || begun != 890 {
		t.Fatalf("%d begin, with %d tokens", len(starts), begun)
	}
	if again := s.Starts(2 * second); len(again) != 0 {
		t.Fatalf("%v begin without room", again)
	}
	s.Ended(2*second, starts[0].Key, Completed, 1)
	if again := s.Starts(3 * second); len(again) != 1 {
		t.Fatalf("%v begin once there is room", again)
	}
}

// TestNothingIsBoundWithoutMemoryOrEstimates: a replica whose memory is not known, a pool whose replicas report no pace, and answers whose
// lengths are bounds.
func TestNothingIsBoundWithoutMemoryOrEstimates(t *testing.T) {
	if starts := crowded(0, 1, 400, 400, 400).Starts(second); len(starts) != 3 {
		t.Errorf("without memory %d begin", len(starts))
	}
	silent := crowded(1000, 1, 400, 400, 400)
	silent.poolNamed("p").reportsPace = false
	if starts := silent.Starts(second); len(starts) != 3 {
		t.Errorf("without reports of pace %d begin", len(starts))
	}
	s := crowded(1000, 1, 400, 400, 400)
	for _, entry := range s.jobs["j"].items {
		entry.Estimated = false
	}
	if starts := s.Starts(second); len(starts) != 3 {
		t.Errorf("without estimates %d begin", len(starts))
	}
}

// TestAnItemThatIsTooLargeBeginsAlone: it is the replica that says what it can't hold.
func TestAnItemThatIsTooLargeBeginsAlone(t *testing.T) {
	s := crowded(1000, 1, 5000, 10)
	if starts := s.Starts(second); len(starts) != 1 || s.find(starts[0].Key).Length != 5000 {
		t.Fatalf("%v", starts)
	}
}

// TestOneLongAnswerFillsAReplica: what an answer brings beyond its estimate takes room, so that nothing more begins beside it.
func TestOneLongAnswerFillsAReplica(t *testing.T) {
	s := crowded(1000, 2, 100)
	s.poolNamed("p").meanEvents, s.poolNamed("p").meanLength = 10, 100
	starts := s.Starts(second)
	if len(starts) != 1 {
		t.Fatalf("%v", starts)
	}
	s.Progress(starts[0].Key, 80, 2*second, 1)
	full := starts[0].Instance
	open(s, Job{ID: "next", Deadline: 9 * second}, "a:200", "b:200", "c:200")
	for _, entry := range s.jobs["next"].items {
		entry.Estimated = true
	}
	begun := s.Starts(2 * second)
	if len(begun) != 3 {
		t.Fatalf("%v", begun)
	}
	for _, start := range begun {
		if start.Instance == full {
			t.Errorf("%s begins beside an answer that fills the memory", start.Item)
		}
	}
}

// TestOverrunsAreLearned: where answers are twice as long as estimated, room for that is reserved, and lies don't go beyond the bounds.
func TestOverrunsAreLearned(t *testing.T) {
	of := &pool{meanEvents: 10, meanLength: 100}
	for range 1000 {
		of.learnOverrun(20, 100)
	}
	if of.overrun < 1.9 || of.overrun > 2.1 {
		t.Errorf("%v", of.overrun)
	}
	for range 10_000 {
		of.learnOverrun(1, 100_000)
	}
	if of.overrun != minimumOverrun {
		t.Errorf("%v", of.overrun)
	}
}

// TestItemsHaveRoomWhereTheyRun and nowhere else, whatever begins, moves and ends in whatever order.
func TestItemsHaveRoomWhereTheyRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := crowded(1000, 2, rapid.SliceOfN(rapid.Uint64Range(1, 600), 1, 20).Draw(t, "lengths")...)
		var runs []Key
		now := second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 100 * time.Millisecond
			tellPace(s, now, 1, 2)
			for _, start := range s.Starts(now) {
				runs = append(runs, start.Key)
			}
			for _, key := range runs {
				s.Progress(key, rapid.IntRange(0, 100).Draw(t, "events"), now, 1)
			}
			s.Slow(now)
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
		for _, at := range s.replicas {
			if len(at.items) != 0 || at.running != 0 || at.reservedSlots != 0 {
				t.Fatalf("%s holds %d items, of which %d run", at.Instance, len(at.items), at.running)
			}
		}
	})
}

// memoryByLooking is the definition of what a replica's memory is expected to hold with one more item.
func (s *Scheduler) memoryByLooking(at *replica, added *item) float64 {
	var answers []answerMemory
	prompts := map[*group]uint64{}
	note := func(entry *item) {
		answers = append(answers, s.poolNamed(at.Pool).answerMemoryOf(entry))
		prompts[entry.group] = max(prompts[entry.group], entry.Prompt)
	}
	for entry := range at.items {
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

// TestWhatIsKeptOfMemoryIsWhatLookingFinds, whatever has begun, brought events, moved or ended since.
func TestWhatIsKeptOfMemoryIsWhatLookingFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := rapid.SliceOfN(rapid.Uint64Range(1, 400), 2, 20).Draw(t, "lengths")
		s := crowded(1000, 2, lengths...)
		var runs []Key
		for now := second; now < 4*second; now += 200 * time.Millisecond {
			tellPace(s, now, 1, 2)
			for _, start := range s.Starts(now) {
				runs = append(runs, start.Key)
			}
			for _, key := range runs {
				s.Progress(key, rapid.IntRange(0, 100).Draw(t, "events"), now, 1)
			}
			s.Slow(now)
			if len(runs) > 0 && rapid.Bool().Draw(t, "end") {
				s.Ended(now, runs[0], rapid.SampledFrom([]Ending{Completed, Moved, Broken, Full, Changed}).Draw(t, "ending"), 1)
				runs = runs[1:]
			}
			for _, at := range s.replicas {
				for _, entry := range s.jobs["j"].items {
					if entry.state == running || entry.reservedReplica != nil {
						continue
					}
					if got, want := s.peakMemoryWith(at, entry), s.memoryByLooking(at, entry); math.Abs(got-want) > 1e-6 {
						t.Fatalf("%s with %s: %v, not %v", at.Instance, entry.ID, got, want)
					}
				}
			}
		}
	})
}

// TestPeakIsWhatAnswersTakeTogether: by looking at each moment until all have ended.
func TestPeakIsWhatAnswersTakeTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var answers []answerMemory
		longest := 0
		for range rapid.IntRange(0, 8).Draw(t, "answers") {
			left := rapid.IntRange(0, 50).Draw(t, "left")
			answers = append(answers, answerMemory{produced: float64(rapid.IntRange(0, 100).Draw(t, "brought")), remaining: float64(left)})
			longest = max(longest, left)
		}
		want := 0.0
		for moment := range longest + 1 {
			taken := 0.0
			for _, one := range answers {
				if one.remaining >= float64(moment) {
					taken += one.produced + float64(moment)
				}
			}
			want = max(want, taken)
		}
		slices.SortFunc(answers, byRemainingDescending)
		if got := computePeak(answers); got != want {
			t.Fatalf("%v, not %v", got, want)
		}
		if len(answers) == 0 {
			return
		}
		at := rapid.IntRange(0, len(answers)-1).Draw(t, "added")
		if got := computePeakWith(slices.Delete(slices.Clone(answers), at, at+1), answers[at]); got != want {
			t.Fatalf("%v, not %v with the one of %v added to the others", got, want, answers[at])
		}
	})
}

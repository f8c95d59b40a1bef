package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

const (
	// oversizedLimit is how long a trainer waits for a step.
	oversizedLimit = 12 * time.Second
	// longestIdleWait is how long an item that fits may be at no replica beside idle replicas.
	longestIdleWait = 5 * time.Second
	// oversizedReplicas replicas of eight slots run the items.
	oversizedReplicas = 9
	// unfitItems items of a step never run.
	unfitItems = 20
)

// unfitStep plays a step with some items that never run anywhere, in virtual time. The others take two seconds.
type unfitStep struct {
	t         *testing.T
	scheduler *Scheduler
	ending    Ending        // of the runs of items that never run
	after     time.Duration // from their start to their end
	ends      map[Key]time.Duration
	waits     map[Key]time.Duration // for which an item that runs has been at no replica, beside idle replicas
	finished  map[Key]bool
	tries     int // runs of items that never run
}

// newUnfitStep opens a step of 54 groups of four items, of which the first items never run.
func newUnfitStep(t *testing.T, memory uint64, ending Ending, after time.Duration) *unfitStep {
	step := &unfitStep{t: t, scheduler: New(Settings{}), ending: ending, after: after, ends: map[Key]time.Duration{}, waits: map[Key]time.Duration{}, finished: map[Key]bool{}}
	described := someReplicas(oversizedReplicas, 8)
	for position := range described {
		described[position].Memory = memory
	}
	step.scheduler.Replicas(described)
	job := Job{ID: "j", Deadline: 7500 * time.Millisecond, Desired: 49}
	for number := range 216 {
		one := Item{ID: fmt.Sprintf("i%03d", number), Group: fmt.Sprint("g", number/4), Prompt: 271, MaxTokens: 26, Length: 297}
		if number < unfitItems {
			one.Prompt, one.MaxTokens, one.Length = 56000, 4000, 60000
		}
		job.Items = append(job.Items, one)
	}
	step.scheduler.Open(job, nil, nil)
	for _, one := range job.Items {
		step.scheduler.Route(Key{"j", one.ID}, []Share{{Pool: "p", Weight: 1}})
	}
	return step
}

func neverRuns(key Key) bool { return key.Item < fmt.Sprintf("i%03d", unfitItems) }

// running returns the items that run, sorted.
func (p *unfitStep) running() []Key {
	return slices.SortedFunc(maps.Keys(p.ends), func(a, b Key) int { return cmp.Compare(a.Item, b.Item) })
}

// play runs the step until its limit and returns the longest time for which an item that runs was at no replica while less
// than half of the slots were in use.
func (p *unfitStep) play() (longest time.Duration) {
	const tick, duration = 10 * time.Millisecond, 2 * time.Second
	for now := time.Duration(0); now < oversizedLimit; now += tick {
		for _, key := range p.running() {
			switch {
			case p.ends[key] > now:
				continue
			case neverRuns(key):
				p.scheduler.Ended(now, key, p.ending, 1)
			default:
				p.scheduler.Progress(key, 26, now, 1)
				p.scheduler.Ended(now, key, Completed, 1)
				p.finished[key] = true
			}
			delete(p.ends, key)
		}
		for _, key := range p.running() {
			if !neverRuns(key) {
				p.scheduler.Progress(key, int((duration-(p.ends[key]-now))/(80*time.Millisecond)), now, 1)
			}
		}
		for _, start := range p.scheduler.Starts(now) {
			p.ends[start.Key] = now + duration
			if neverRuns(start.Key) {
				p.ends[start.Key] = now + p.after
				p.tries++
				continue
			}
		}
		longest = max(longest, p.countWaits(tick))
	}
	return longest
}

// countWaits adds a tick to the waits of the items that run and are at no replica, and returns the longest of them.
func (p *unfitStep) countWaits(tick time.Duration) (longest time.Duration) {
	if !p.scheduler.pools["p"].isIdle() {
		clear(p.waits)
		return 0
	}
	for id := range p.scheduler.jobs["j"].items {
		key := Key{"j", id}
		if _, running := p.ends[key]; running || p.finished[key] || neverRuns(key) {
			delete(p.waits, key)
			continue
		}
		p.waits[key] += tick
		longest = max(longest, p.waits[key])
	}
	return longest
}

// TestUnfitItemsStarveOthers guards against a step that runs out of time because items that no replica ever runs take the
// next turn of each replica again and again.
func TestUnfitItemsStarveOthers(t *testing.T) {
	for _, test := range []struct {
		name   string
		memory uint64
		ending Ending
		after  time.Duration
	}{
		{"larger than each replica's memory", 52385, Full, 10 * time.Millisecond},
		{"rejected by replicas of unknown memory", 0, Full, 10 * time.Millisecond},
		{"answers broken at every replica", 0, Broken, 10 * time.Millisecond},
		{"answers slowly broken at every replica", 0, Broken, 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := newUnfitStep(t, test.memory, test.ending, test.after)
			longest := step.play()
			if longest >= longestIdleWait || len(step.finished) != 216-unfitItems {
				t.Errorf("%d of %d items that fit finished within %v, and one was at no replica for %v beside idle ones, want all, and less than %v",
					len(step.finished), 216-unfitItems, oversizedLimit, longest, longestIdleWait)
			}
			if step.tries < unfitItems {
				t.Errorf("the %d other items were tried %d times together, want each to be tried", unfitItems, step.tries)
			}
			t.Logf("finished %d, longest wait %v, tries of the others %d", len(step.finished), longest, step.tries)
		})
	}
}

// oversizedReplicasOf returns replicas of pool p with the given memories.
func oversizedReplicasOf(memories ...uint64) []Replica {
	described := someReplicas(len(memories), 8)
	for position, memory := range memories {
		described[position].Memory = memory
	}
	return described
}

// openOversized opens a job of one item of 1500 tokens.
func openOversized(s *Scheduler) Key {
	key := Key{"j", "large"}
	s.Open(Job{ID: "j", Deadline: time.Minute, Items: []Item{{ID: "large", Prompt: 1000, MaxTokens: 500, Length: 1500}}}, nil, nil)
	s.Route(key, []Share{{Pool: "p", Weight: 1}})
	return key
}

// TestOversizedItemSuspendsReplicas guards against sound replicas that are suspended because they reject an item that is
// larger than their memory.
func TestOversizedItemSuspendsReplicas(t *testing.T) {
	s := New(Settings{})
	s.Replicas(oversizedReplicasOf(1000))
	key := openOversized(s)
	if starts := s.Starts(0); len(starts) != 1 {
		t.Fatalf("%d runs started, want one: only the replica knows what it can run", len(starts))
	}
	s.Ended(0, key, Full, 1)
	open(s, Job{ID: "k", Deadline: time.Minute}, "a:60", "b:60")
	if starts := s.Starts(0); len(starts) != 2 || len(s.Suspended()) != 0 {
		t.Errorf("%+v started after the rejection, want both other items", starts)
	}
	if waits := s.IdleWaits(oversizedPause/2, 0, 9); len(waits) != 1 || waits[0].Reason != WaitOversized {
		t.Errorf("got waits %+v, want that of the oversized item", waits)
	}
	if starts := s.Starts(oversizedPause); len(starts) != 1 || starts[0].Key != key {
		t.Errorf("%+v started after the pause, want another try of the oversized item", starts)
	}
}

// TestOversizedItemWaitsBesideLargerReplica guards against an oversized item that is held although a replica that can hold
// it has appeared, and against one that is sent to replicas that are too small in spite of a larger one.
func TestOversizedItemWaitsBesideLargerReplica(t *testing.T) {
	s := New(Settings{})
	s.Replicas(oversizedReplicasOf(1000))
	key := openOversized(s)
	s.Starts(0)
	s.Ended(0, key, Full, 1)
	s.Replicas(oversizedReplicasOf(1000, 2000))
	starts := s.Starts(time.Millisecond)
	if len(starts) != 1 || starts[0].Instance != "r2" {
		t.Fatalf("%+v started, want a run at the larger replica at once", starts)
	}
	s.Ended(time.Millisecond, key, Broken, 1)
	if starts = s.Starts(2 * time.Millisecond); len(starts) != 0 {
		t.Errorf("%+v started while the larger replica is suspended, want none at the small one", starts)
	}
}

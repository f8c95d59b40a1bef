package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLargeScheduler returns a scheduler with many replicas, each with its own pace and reported to serve the job's
// model, and one job.
func newLargeScheduler(replicas, items int) *Scheduler {
	s := New(Settings{})
	var described []Replica
	for number := range replicas {
		described = append(described, Replica{Instance: fmt.Sprintf("i-%05d", number), Address: "10.0.0.1:80", Pool: "pool", Slots: 8})
	}
	s.Replicas(described)
	job := Job{ID: "job", Model: "m", MinVersion: 1, Desired: items / 4, Deadline: time.Minute}
	for number := range items {
		job.Items = append(job.Items, Item{ID: fmt.Sprint("item-", number), Group: fmt.Sprint("group-", number/4), Length: uint64(number)})
	}
	s.Open(job, nil, nil)
	for number := range items {
		s.Route(Key{Job: "job", Item: fmt.Sprint("item-", number)}, []Share{{Pool: "pool", Weight: 1}})
	}
	for number, one := range described {
		s.SetServedVersion(one.Instance, "m", 1, false, 0)
		s.replicas[one.Instance].pace = 0.04 + 0.00001*float64(number)
	}
	return s
}

// BenchmarkStarts places a job's items on a large fleet. The cost of an item should grow no faster than the number of
// replicas.
func BenchmarkStarts(b *testing.B) {
	for _, replicas := range []int{45, 450, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			const items = 256
			for range b.N {
				b.StopTimer()
				s := newLargeScheduler(replicas, items)
				b.StartTimer()
				if started := len(s.Starts(0)); started != items {
					b.Fatalf("%d of %d items started", started, items)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*items), "us/item")
		})
	}
}

// BenchmarkSlow searches for runs to move on a large fleet.
func BenchmarkSlow(b *testing.B) {
	for _, replicas := range []int{45, 450, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			s := newLargeScheduler(replicas, 256)
			for _, start := range s.Starts(0) {
				s.Progress(start.Key, 1, time.Millisecond, 1)
			}
			for range b.N {
				s.PlanMoves(time.Second)
			}
		})
	}
}

// newLargeUneven returns a large scheduler whose replicas report their pace and have memory. Half of them are twice as
// slow, and the items have estimated lengths.
func newLargeUneven(replicas, items int) *Scheduler {
	s := newLargeScheduler(replicas, items)
	pool := s.pools["pool"]
	pool.reportsPace, pool.overrun, pool.meanFirstEventDelay = true, 1.3, 0.08
	for number := range 100 {
		pool.noteAnswer(20, uint64(1500+number%2))
	}
	for number, replica := range pool.replicas {
		replica.Memory = 60_000
		replica.pace = 0.025 * float64(1+number%2)
		replica.reportedPace.Note(1, time.Millisecond, &pool.slowdownDuration)
	}
	pool.paceStatisticsValid = false
	for _, entry := range s.jobs["job"].items {
		entry.Length, entry.Estimated, entry.Prompt, entry.MaxTokens = 100+entry.Length*13%3000, true, 200, 12_000
	}
	return s
}

// BenchmarkStartsUneven places a job's items by pace and memory.
func BenchmarkStartsUneven(b *testing.B) {
	for _, replicas := range []int{45, 450, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			const items = 256
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				s := newLargeUneven(replicas, items)
				b.StartTimer()
				if started := len(s.Starts(0)); started != items {
					b.Fatalf("%d of %d items started", started, items)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*items), "us/item")
		})
	}
}

// BenchmarkSlowUneven searches for late runs on slow replicas that can't move, because the memory of the fast replicas
// is full.
func BenchmarkSlowUneven(b *testing.B) {
	for _, replicas := range []int{45, 450, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			s := newLargeUneven(replicas, 256)
			const opened = time.Minute - time.Second/2
			for _, start := range s.Starts(opened) {
				for event := range 8 {
					s.Progress(start.Key, 1+event, opened+time.Duration(event)*60*time.Millisecond, 1)
				}
			}
			for number, replica := range s.pools["pool"].replicas {
				if replica.pace, replica.Memory = 0.025, 1; number%4 == 0 {
					replica.pace = 0.05
				}
				if replica.running == 0 {
					replica.Slots = 0
				}
			}
			s.pools["pool"].paceStatisticsValid = false
			if late := len(s.movableRuns(opened + time.Second)); late < 10 {
				b.Fatalf("%d runs are late", late)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.PlanMoves(opened + time.Second + time.Duration(i)*earliestEndTTL)
			}
		})
	}
}

// placeExhaustively is the reference for placement: it checks all replicas and returns the one with the lowest load.
func (s *Scheduler) placeExhaustively(entry *item, now time.Duration) *replica {
	pool := s.pools[entry.poolOf()]
	var best *replica
	var bestLoad float64
	for _, replica := range pool.replicas {
		if !s.canStart(replica, entry, now) {
			continue
		}
		load := s.loadWith(replica, pool, s.placementKeyOf(entry, replica.Pool, now))
		if replica.Instance == entry.group.lastInstance {
			load -= s.settings.AffinityBonus
		}
		if replica.Instance == entry.avoidInstance && len(pool.replicas) > 1 {
			load += avoidanceLoad
		}
		if best == nil || load < bestLoad {
			best, bestLoad = replica, load
		}
	}
	return best
}

// drawScheduler draws a scheduler in an arbitrary state. Its replicas may be slow, paused, on probation, loading, busy
// or have old weights, and its items may prefer or avoid a replica.
func drawScheduler(t *rapid.T) *Scheduler {
	replicas := rapid.IntRange(1, 6).Draw(t, "replicas")
	s := newLargeScheduler(replicas, rapid.IntRange(1, 24).Draw(t, "items"))
	for _, pool := range s.pools {
		for _, replica := range pool.replicas {
			replica.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
			replica.pace = rapid.SampledFrom([]float64{0, 0.04, 0.04, 0.06, 0.2}).Draw(t, "pace")
			replica.running = rapid.IntRange(0, 2).Draw(t, "running")
			replica.criticalRuns = rapid.IntRange(0, replica.running).Draw(t, "pressing")
			replica.onProbation = rapid.IntRange(0, 3).Draw(t, "probation") == 0
			replica.pausedUntil = time.Duration(rapid.IntRange(0, 2).Draw(t, "paused")) * time.Second
			replica.versions["m"] = version{number: uint64(rapid.IntRange(0, 2).Draw(t, "version")), reported: time.Second, loading: rapid.IntRange(0, 3).Draw(t, "loading") == 0}
		}
		pool.paceStatisticsValid = false
	}
	for _, entry := range s.jobs["job"].items {
		entry.avoidInstance = fmt.Sprintf("i-%05d", rapid.IntRange(0, 6).Draw(t, "avoid"))
		entry.group.lastInstance = fmt.Sprintf("i-%05d", rapid.IntRange(0, 6).Draw(t, "group at"))
		entry.critical = rapid.Bool().Draw(t, "presses")
		entry.job.MinVersion = uint64(rapid.IntRange(0, 2).Draw(t, "oldest"))
	}
	return s
}

// TestPlacementMatchesExhaustiveSearch: the candidates that a round keeps in order yield the same replica for each item
// as checking all replicas.
func TestPlacementMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = time.Second
		s := drawScheduler(t)
		s.sortWaiting(now)
		round := s.newPlacementRound(now)
		for _, entry := range s.waitingOrder {
			want := s.placeExhaustively(entry, now)
			got := round.place(entry)
			if got != want {
				t.Fatalf("item %s is placed on %+v, want %+v", entry.ID, got, want)
			}
			if got != nil {
				s.startRun(entry, got, now)
			}
		}
	})
}

package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// largeScheduler holds many replicas, each with a pace of its own and told to serve the job's model, and one job.
func largeScheduler(replicas, items int) *Scheduler {
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
		s.Told(one.Instance, "m", 1, false, 0)
		s.replicas[one.Instance].pace = 0.04 + 0.00001*float64(number)
	}
	return s
}

// BenchmarkStarts places a job's items on a large fleet: the cost of an item should grow no faster than the replicas.
func BenchmarkStarts(b *testing.B) {
	for _, replicas := range []int{45, 450, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			const items = 256
			for range b.N {
				b.StopTimer()
				s := largeScheduler(replicas, items)
				b.StartTimer()
				if started := len(s.Starts(0)); started != items {
					b.Fatalf("%d of %d items started", started, items)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*items), "us/item")
		})
	}
}

// BenchmarkSlow looks for runs to move on a large fleet.
func BenchmarkSlow(b *testing.B) {
	for _, replicas := range []int{45, 450, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			s := largeScheduler(replicas, 256)
			for _, start := range s.Starts(0) {
				s.Progress(start.Key, 1, time.Millisecond, 1)
			}
			for range b.N {
				s.Slow(time.Second)
			}
		})
	}
}

// largeUneven is such a scheduler whose replicas report their pace and have memory, half of them twice as slow, with items of estimated
// lengths.
func largeUneven(replicas, items int) *Scheduler {
	s := largeScheduler(replicas, items)
	of := s.pools["pool"]
	of.reportsPace, of.overrun, of.meanFirstEventDelay = true, 1.3, 0.08
	for number := range 100 {
		of.noteAnswer(20, uint64(1500+number%2))
	}
	for number, at := range of.replicas {
		at.Memory = 60_000
		at.pace = 0.025 * float64(1+number%2)
		at.reportedPace.Note(1, time.Millisecond, &of.slowdownRest)
	}
	of.paceStatisticsValid = false
	for _, entry := range s.jobs["job"].items {
		entry.Length, entry.Estimated, entry.Prompt, entry.Most = 100+entry.Length*13%3000, true, 200, 12_000
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
				s := largeUneven(replicas, items)
				b.StartTimer()
				if started := len(s.Starts(0)); started != items {
					b.Fatalf("%d of %d items started", started, items)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*items), "us/item")
		})
	}
}

// BenchmarkSlowUneven looks for late runs at slow replicas, none of which finds room: the memory of the fast ones is full.
func BenchmarkSlowUneven(b *testing.B) {
	for _, replicas := range []int{45, 450, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			s := largeUneven(replicas, 256)
			const opened = time.Minute - time.Second/2
			for _, start := range s.Starts(opened) {
				for event := range 8 {
					s.Progress(start.Key, 1+event, opened+time.Duration(event)*60*time.Millisecond, 1)
				}
			}
			for number, at := range s.pools["pool"].replicas {
				if at.pace, at.Memory = 0.025, 1; number%4 == 0 {
					at.pace = 0.05
				}
				if at.running == 0 {
					at.Slots = 0
				}
			}
			s.pools["pool"].paceStatisticsValid = false
			if late := len(s.movableRuns(opened + time.Second)); late < 10 {
				b.Fatalf("%d runs are late", late)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.Slow(opened + time.Second + time.Duration(i)*earliestEndTTL)
			}
		})
	}
}

// placeByLooking is the definition of a placement: look at all replicas and take the emptiest that fits.
func (s *Scheduler) placeByLooking(entry *item, now time.Duration) *replica {
	of := s.pools[entry.poolOf()]
	var best *replica
	var bestLoad float64
	for _, at := range of.replicas {
		if !s.canStart(at, entry, now) {
			continue
		}
		load := s.loadWith(at, of, s.placementKeyOf(entry, at.Pool, now))
		if at.Instance == entry.group.lastInstance {
			load -= s.settings.AffinityBonus
		}
		if at.Instance == entry.avoidInstance && len(of.replicas) > 1 {
			load += avoidanceLoad
		}
		if best == nil || load < bestLoad {
			best, bestLoad = at, load
		}
	}
	return best
}

// drawnScheduler is a scheduler in any state: replicas that are slow, paused, on probation, of old weights or loading,
// some of them already busy, and items that prefer or avoid one.
func drawnScheduler(t *rapid.T) *Scheduler {
	replicas := rapid.IntRange(1, 6).Draw(t, "replicas")
	s := largeScheduler(replicas, rapid.IntRange(1, 24).Draw(t, "items"))
	for _, of := range s.pools {
		for _, at := range of.replicas {
			at.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
			at.pace = rapid.SampledFrom([]float64{0, 0.04, 0.04, 0.06, 0.2}).Draw(t, "pace")
			at.running = rapid.IntRange(0, 2).Draw(t, "running")
			at.criticalRuns = rapid.IntRange(0, at.running).Draw(t, "pressing")
			at.onProbation = rapid.IntRange(0, 3).Draw(t, "probation") == 0
			at.pausedUntil = time.Duration(rapid.IntRange(0, 2).Draw(t, "paused")) * time.Second
			at.versions["m"] = version{number: uint64(rapid.IntRange(0, 2).Draw(t, "version")), reported: time.Second, loading: rapid.IntRange(0, 3).Draw(t, "loading") == 0}
		}
		of.paceStatisticsValid = false
	}
	for _, entry := range s.jobs["job"].items {
		entry.avoidInstance = fmt.Sprintf("i-%05d", rapid.IntRange(0, 6).Draw(t, "avoid"))
		entry.group.lastInstance = fmt.Sprintf("i-%05d", rapid.IntRange(0, 6).Draw(t, "group at"))
		entry.critical = rapid.Bool().Draw(t, "presses")
		entry.job.MinVersion = uint64(rapid.IntRange(0, 2).Draw(t, "oldest"))
	}
	return s
}

// TestPlacementIsThatOfLookingAtAll: the candidates that a round keeps in order give each item the replica that looking
// at all of them would.
func TestPlacementIsThatOfLookingAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = time.Second
		s := drawnScheduler(t)
		s.sortWaiting(now)
		look := s.newPlacementRound(now)
		for _, entry := range s.waitingOrder {
			want := s.placeByLooking(entry, now)
			got := look.place(entry)
			if got != want {
				t.Fatalf("item %s goes to %+v, not %+v", entry.ID, got, want)
			}
			if got != nil {
				s.startRun(entry, got, now)
			}
		}
	})
}

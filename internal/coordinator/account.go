package coordinator

import (
	"cmp"
	"slices"
	"time"
)

// maxCountedAge is the age in versions from which all samples are counted together.
const maxCountedAge = 64

// trainerAccount accumulates how long a trainer has waited for its samples and how old they were when it got them,
// since its first fetch from this coordinator. It uses no clock: time is an argument.
type trainerAccount struct {
	hasFetched         bool // a fetch was received
	firstFetchAt       time.Duration
	waited             time.Duration // total time of completed fetches
	waiting            bool          // a fetch is open
	waitingSince       time.Duration // start of the open fetch
	unacknowledgedAges []uint64      // of the batch that was handed over last, until it is acknowledged
	ageCounts          [maxCountedAge + 1]uint64
}

// beginFetch records the start of a fetch.
func (a *trainerAccount) beginFetch(now time.Duration) {
	if !a.hasFetched {
		a.hasFetched, a.firstFetchAt = true, now
	}
	a.waiting, a.waitingSince = true, now
}

// endFetch records the end of a fetch.
func (a *trainerAccount) endFetch(now time.Duration) {
	if a.waiting {
		a.waiting = false
		a.waited += now - a.waitingSince
	}
}

// recordHandedOver records the ages of a batch. They are counted when the trainer acknowledges the batch: the reply may
// be lost and the batch handed over again.
func (a *trainerAccount) recordHandedOver(ages []uint64) { a.unacknowledgedAges = ages }

func (a *trainerAccount) recordAcknowledged() {
	for _, age := range a.unacknowledgedAges {
		a.ageCounts[min(age, maxCountedAge)]++
	}
	a.unacknowledgedAges = nil
}

// TrainerStats holds the statistics of one trainer since its first fetch from this coordinator.
type TrainerStats struct {
	Trainer         string  `json:"trainer"`
	ObservedSeconds float64 `json:"observed_seconds"`
	// WaitedSeconds is the time spent in fetches. It equals the trainer's idle time unless the trainer fetches ahead
	// while it trains.
	WaitedSeconds float64 `json:"waited_seconds"`
	Waiting       bool    `json:"waiting"` // a fetch is open now
	Samples       uint64  `json:"samples"` // acknowledged samples
	StalenessMean float64 `json:"staleness_mean"`
	StalenessP99  uint64  `json:"staleness_p99"` // versions; 64 means 64 or more
	StalenessMax  uint64  `json:"staleness_max"`
}

func (a *trainerAccount) stats(now time.Duration, trainer string) TrainerStats {
	stats := TrainerStats{Trainer: trainer, Waiting: a.waiting}
	if !a.hasFetched {
		return stats
	}
	waited := a.waited
	if a.waiting {
		waited += now - a.waitingSince
	}
	stats.ObservedSeconds, stats.WaitedSeconds = (now - a.firstFetchAt).Seconds(), waited.Seconds()
	sum := uint64(0)
	for age, count := range a.ageCounts {
		stats.Samples += count
		sum += uint64(age) * count
	}
	if stats.Samples == 0 {
		return stats
	}
	stats.StalenessMean = float64(sum) / float64(stats.Samples)
	seen := uint64(0)
	for age, count := range a.ageCounts {
		if count == 0 {
			continue
		}
		stats.StalenessMax = uint64(age)
		if 100*seen < 99*stats.Samples {
			stats.StalenessP99 = uint64(age)
		}
		seen += count
	}
	return stats
}

// trainerStats returns the statistics of all owned trainers, sorted by name. The caller holds the mutex.
func (s *Server) trainerStats() []TrainerStats {
	var all []TrainerStats
	for _, t := range s.trainers {
		all = append(all, t.account.stats(s.now(), t.name))
	}
	slices.SortFunc(all, func(one, other TrainerStats) int { return cmp.Compare(one.Trainer, other.Trainer) })
	return all
}

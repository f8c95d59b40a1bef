package coordinator

import (
	"cmp"
	"slices"
	"time"
)

// maxCountedAge is the age in versions from which samples are counted together.
const maxCountedAge = 64

// trainerAccount is how long a trainer has waited for its samples and how old they were when it got them, since
// its first fetch from this coordinator. It is pure: time is an argument.
type trainerAccount struct {
	known   bool // there was a fetch
	since   time.Duration
	waited  time.Duration // in fetches that are over
	waiting bool          // a fetch is open
	from    time.Duration // when it began
	out     []uint64      // ages of the batch that was handed over last and is not acknowledged yet
	ages    [maxCountedAge + 1]uint64
}

// begin notes that a fetch came.
func (a *trainerAccount) begin(now time.Duration) {
	if !a.known {
		a.known, a.since = true, now
	}
	a.waiting, a.from = true, now
}

// end notes that the fetch is over.
func (a *trainerAccount) end(now time.Duration) {
	if a.waiting {
		a.waiting = false
		a.waited += now - a.from
	}
}

// handedOver notes the ages of a batch. It counts once the trainer acknowledges it: the reply may be lost, and the
// batch be handed over again.
func (a *trainerAccount) handedOver(ages []uint64) { a.out = ages }

func (a *trainerAccount) acknowledged() {
	for _, age := range a.out {
		a.ages[min(age, maxCountedAge)]++
	}
	a.out = nil
}

// TrainerStats is what a coordinator knows of one trainer since its first fetch from it.
type TrainerStats struct {
	Trainer         string  `json:"trainer"`
	ObservedSeconds float64 `json:"observed_seconds"`
	// WaitedSeconds is the time in fetches: the trainer's idle time, unless it fetches ahead while it trains.
	WaitedSeconds float64 `json:"waited_seconds"`
	Waiting       bool    `json:"waiting"` // a fetch is open now
	Samples       uint64  `json:"samples"` // acknowledged
	StalenessMean float64 `json:"staleness_mean"`
	StalenessP99  uint64  `json:"staleness_p99"` // versions; 64 is 64 or more
	StalenessMax  uint64  `json:"staleness_max"`
}

func (a *trainerAccount) stats(now time.Duration, trainer string) TrainerStats {
	stats := TrainerStats{Trainer: trainer, Waiting: a.waiting}
	if !a.known {
		return stats
	}
	waited := a.waited
	if a.waiting {
		waited += now - a.from
	}
	stats.ObservedSeconds, stats.WaitedSeconds = (now - a.since).Seconds(), waited.Seconds()
	sum := uint64(0)
	for age, count := range a.ages {
		stats.Samples += count
		sum += uint64(age) * count
	}
	if stats.Samples == 0 {
		return stats
	}
	stats.StalenessMean = float64(sum) / float64(stats.Samples)
	seen := uint64(0)
	for age, count := range a.ages {
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

// trainerStats returns the accounts of all owned trainers by name. The caller holds the mutex.
func (s *Server) trainerStats() []TrainerStats {
	var all []TrainerStats
	for _, t := range s.trainers {
		all = append(all, t.account.stats(s.now(), t.name))
	}
	slices.SortFunc(all, func(one, other TrainerStats) int { return cmp.Compare(one.Trainer, other.Trainer) })
	return all
}

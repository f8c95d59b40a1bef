package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PlanMoves returns runs of required groups that would continue much faster on another replica, or whose replica leaves
// before they end. The number of runs is limited by the free capacity, which after a call of Starts is the capacity
// that no waiting item could use. The caller must stop the runs and report them to Ended with the ending Moved. Until
// then they count as running.
func (s *Scheduler) PlanMoves(now time.Duration) []Move {
	for _, replica := range s.replicas {
		replica.incomingMoves = 0
	}
	destinations := map[destinationKey]*fasterReplicas{}
	var moved []Move
	for _, found := range s.movableRuns(now) {
		if s.reserveFasterReplica(found.item, destinations, now) {
			found.moving = true
			moved = append(moved, s.describeMove(found.item, now))
		}
	}
	return moved
}

// describeMove returns the move of a run with the figures on which it is based.
func (s *Scheduler) describeMove(entry *item, now time.Duration) Move {
	replica := s.replicas[entry.run.instance]
	move := Move{
		Key: Key{Job: entry.job.ID, Item: entry.ID}, Leaving: replica.draining,
		Pace: fromSeconds(replica.pace), Fastest: fromSeconds(s.poolNamed(replica.Pool).fastestPace()),
	}
	if left := s.remainingTime(entry); left < unboundedTime {
		move.Remaining = left
	}
	if pool := s.poolNamed(replica.Pool); pool.reportsPace && !replica.draining {
		move.RelativePace = replica.reportedPace.Pace().Passing
		if move.Remaining > 0 && entry.reservedReplica != nil {
			move.Saved = s.savedTime(entry, replica, entry.reservedReplica, pool, now)
		}
	}
	return move
}

// fromSeconds converts seconds to a duration.
func fromSeconds(value float64) time.Duration {
	return time.Duration(math.Round(value * float64(time.Second)))
}

// movableRun is an item whose run should move if there is capacity.
type movableRun struct {
	*item
	slack time.Duration // time between its expected end on its current replica and its job's deadline
}

// movableRuns returns the runs that should move, those with the least slack first. Capacity on fast replicas is scarce
// when the items of several steps have just started, and a step ends with its latest item.
func (s *Scheduler) movableRuns(now time.Duration) []movableRun {
	var found []movableRun
	for _, job := range s.jobs {
		for _, entry := range job.items {
			if entry.state == running && !entry.moving && s.isMovable(entry, now) {
				found = append(found, movableRun{item: entry, slack: job.Deadline - now - min(s.remainingTime(entry), unboundedTime)})
			}
		}
	}
	slices.SortFunc(found, func(a, b movableRun) int {
		return cmp.Or(cmp.Compare(a.slack, b.slack), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.ID, b.ID))
	})
	return found
}

// unboundedTime is longer than any run, and small enough that times can be subtracted from it.
const unboundedTime = 1000 * time.Hour

// isMovable reports whether moving a run to the fastest replica is worthwhile.
func (s *Scheduler) isMovable(entry *item, now time.Duration) bool {
	current := s.replicas[entry.run.instance]
	if current == nil || entry.urgency == urgencySurplus || entry.run.events == 0 || now < entry.run.started+s.settings.MovePause {
		return false
	}
	if current.draining {
		return s.remainingTime(entry) >= s.settings.MinimumRemaining
	}
	pool := s.poolNamed(current.Pool)
	if current.pace <= s.settings.MoveRatio*pool.fastestPace() || !entry.run.pace.isSlow(pool.fastestPace(), s.settings.MoveRatio) {
		return false // no replica is sufficiently faster, whichever has capacity
	}
	if pool.reportsPace {
		return s.isLate(entry, pool, now)
	}
	gain := time.Duration(float64(s.remainingTime(entry)) * (1 - pool.fastestPace()/current.pace))
	return gain >= s.settings.MoveGain
}

// reserveFasterReplica reserves capacity for a run on the fastest replica that has some, and reports whether it did.
// The replica must be faster than the current one by MoveRatio or, if the current one is leaving, not slower by more
// than that ratio.
func (s *Scheduler) reserveFasterReplica(entry *item, destinations map[destinationKey]*fasterReplicas, now time.Duration) bool {
	current := s.replicas[entry.run.instance]
	options := s.destinationsFor(entry, s.poolNamed(current.Pool), destinations, now)
	found := options.firstWithMemory(func(candidate *replica) bool { return s.hasMemoryFor(candidate, entry) })
	if found == nil || current.draining && found.pace > s.settings.MoveRatio*current.pace || !current.draining && current.pace <= s.settings.MoveRatio*found.pace {
		return false
	}
	if pool := s.poolNamed(current.Pool); pool.reportsPace && !current.draining && !s.isMoveWorthwhile(entry, current, found, pool, now) {
		return false
	}
	s.reserve(entry, found)
	return true
}

// destinationKey holds everything about a run that determines which replicas it may move to.
type destinationKey struct {
	pool, model string
	minVersion  uint64
}

// destinationsFor returns the replicas to which a run may move. They are collected on first use of its destinationKey.
func (s *Scheduler) destinationsFor(entry *item, pool *pool, destinations map[destinationKey]*fasterReplicas, now time.Duration) *fasterReplicas {
	key := destinationKey{pool: s.replicas[entry.run.instance].Pool, model: entry.job.Model, minVersion: entry.job.MinVersion}
	if destinations[key] == nil {
		found := s.findFasterReplicas(entry, pool, now)
		destinations[key] = &found
	}
	return destinations[key]
}

// leastRemainingShare is the minimum fraction of the events already delivered that are expected to follow, because
// estimates are often far off. likelyRemainingShare is the same fraction in pools that report a pace, where it also
// determines the memory of answers beyond their estimate.
const (
	leastRemainingShare  = 0.25
	likelyRemainingShare = 0.5
)

// remainingTime returns how long a run is expected to continue on its replica, or the maximum duration while no
// complete answer has been seen.
func (s *Scheduler) remainingTime(entry *item) time.Duration {
	if s.expectedEvents(entry) == 0 {
		return math.MaxInt64
	}
	replica := s.replicas[entry.run.instance]
	return time.Duration(s.remainingEvents(entry) * replica.pace * float64(time.Second))
}

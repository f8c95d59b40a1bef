package schedule

import (
	"math"
	"time"

	"github.com/tamarindring/tamarindring/internal/loadreport"
)

// Placement and moves by the slack before a job's deadline. This applies in pools whose replicas report their pace
// (pool.reportsPace). In other pools requiredPaceClass is 0, a replica's pace is the average of its last events, and
// paceCost prefers the fastest replica.

// Reported records a load report of a replica. Reports without a pace are ignored.
func (s *Scheduler) Reported(instance string, seen loadreport.Observation) {
	replica := s.replicas[instance]
	if replica == nil || seen.Pace <= 0 {
		return
	}
	pool := s.poolNamed(replica.Pool)
	replica.reportedPace.Note(seen.Pace, seen.Seen, &pool.slowdownDuration)
	if !pool.reportsPace {
		pool.reportsPace, pool.paceStatisticsValid = true, false
		for _, member := range pool.replicas {
			member.pace = pool.paceOf(member)
		}
	}
}

// paceOf returns the usual seconds between events on a replica. It is the long-term pace if replicas report temporary
// slowdowns, and otherwise the average of the last events.
func (p *pool) paceOf(replica *replica) float64 {
	if p.reportsPace {
		return replica.lastingPace.SecondsPerEvent(minimumPaceEvents)
	}
	return replica.measuredPace.value(minimumPaceEvents)
}

// paceClass bounds the time between events on a replica that is fast enough for an item. The bound is the time on the
// fastest replica multiplied by paceStep to the power of the class. In class 0 only the fastest replica is fast enough.
type paceClass int8

const (
	paceStep         = 1.25 // smaller differences in pace are ignored, and no run moves for less
	maximumPaceClass = 12
)

// pacePowers holds the powers of paceStep by class. It is precomputed because every load computation needs one.
var pacePowers = func() (powers [maximumPaceClass + 1]float64) {
	for class := range powers {
		powers[class] = math.Pow(paceStep, float64(class))
	}
	return powers
}()

// longestPause returns the longest time between events on a replica that is fast enough.
func (v paceClass) longestPause(fastest float64) float64 { return fastest * pacePowers[v] }

const (
	// estimateMargin is how many times longer than expected an answer may become and still be in time on the replica
	// where it is placed. Length estimates are poor, and a move can't make up for an answer that would have needed a
	// fast replica from its start.
	estimateMargin = 3.5
	// placeSlack and moveSlack are the fractions of a job's slack that may be used up by placing its items on slow
	// replicas and by leaving its runs there. The slack is the time to the deadline beyond what the job's longest
	// answer takes on the fastest replica. Placing costs nothing while a move costs a prompt. The rest is kept for
	// faults.
	placeSlack = 0.25
	moveSlack  = 0.75
	// moveMargin is how many times longer than expected the rest of an answer may become before its run counts as late
	// on its replica. It is smaller than estimateMargin, because what the answer has delivered is known and a move
	// costs its prompt.
	moveMargin = 1.5
)

// requiredPaceClass returns how fast a replica must be for an item that starts now to be in time. Items for which slow
// replicas are sufficient leave the fast ones to the items that decide when a step completes, including steps yet to
// come.
func (s *Scheduler) requiredPaceClass(entry *item, pool *pool, now time.Duration) paceClass {
	if pool == nil || !pool.reportsPace {
		return 0
	}
	fastest, left := pool.fastestPace(), s.remainingEvents(entry)
	if fastest == 0 || left == 0 {
		return 0
	}
	available := (s.targetEnd(entry.job, pool, placeSlack, now) - now).Seconds() - pool.meanFirstEventDelay
	ratio := available / (estimateMargin * left * fastest)
	if ratio < paceStep {
		return 0
	}
	return paceClass(min(math.Log(ratio)/math.Log(paceStep), maximumPaceClass))
}

// remainingEvents returns how many events an item is still expected to deliver; 0 if unknown.
func (s *Scheduler) remainingEvents(entry *item) float64 {
	pool := s.pools[entry.poolOf()]
	if pool == nil || pool.meanLength == 0 || entry.Length == 0 {
		return 0
	}
	expected, delivered := float64(entry.Length)*pool.meanEvents/pool.meanLength, float64(entry.earlierEvents+entry.run.events)
	if !pool.reportsPace {
		return max(expected-delivered, leastRemainingShare*delivered)
	}
	left := max(expected-delivered, likelyRemainingShare*delivered)
	if entry.MaxTokens > 0 {
		left = min(left, max(float64(entry.MaxTokens)/pool.tokensPerEvent()-delivered, 1))
	}
	return left
}

// targetEnd returns when the items of a job should be complete. It is the time at which the job's longest answer can be
// complete, plus a fraction of the slack that remains until the deadline.
func (s *Scheduler) targetEnd(job *job, pool *pool, slack float64, now time.Duration) time.Duration {
	earliest := s.earliestEndOf(job, pool, now)
	return earliest + time.Duration(slack*float64(max(job.Deadline-earliest, 0)))
}

// earliestEndTTL is how long the computed earliest end of a job is cached. It changes with the job's open answers
// and is needed for each item.
const earliestEndTTL = 100 * time.Millisecond

// earliestEndOf returns when a job completes if its longest answer continues on the fastest replica.
func (s *Scheduler) earliestEndOf(job *job, pool *pool, now time.Duration) time.Duration {
	if job.earliestEndAt > 0 && now < job.earliestEndAt+earliestEndTTL {
		return job.earliestEnd
	}
	mostEvents := 0.0
	for _, entry := range job.items {
		if entry.state <= running && entry.urgency != urgencySurplus {
			mostEvents = max(mostEvents, s.remainingEvents(entry))
		}
	}
	job.earliestEnd = now + time.Duration((pool.meanFirstEventDelay+mostEvents*pool.fastestPace())*float64(time.Second))
	job.earliestEndAt = max(now, 1)
	return job.earliestEnd
}

// degradedRatio is how many times slower than the median a replica must be to be chosen last. It is more than the
// hardware of one pool differs.
const degradedRatio = 2

// paceCost returns the load that a replica's pace counts for. A replica that is far slower than the median is never
// fast enough, because it is probably degraded.
func (s *Scheduler) paceCost(candidate *replica, pool *pool, key placementKey) float64 {
	fastest := pool.fastestPace()
	if candidate.pace == 0 || fastest == 0 {
		return 0
	}
	enough := max(min(key.paceClass.longestPause(fastest), degradedRatio*pool.medianPace()), fastest)
	if key.paceClass == 0 {
		enough = fastest
	}
	if candidate.pace > enough {
		return s.settings.SlownessCost * (candidate.pace/fastest - 1)
	}
	return s.settings.ExcessSpeedCost * (1 - candidate.pace/enough)
}

// isLate reports whether a run would end too late for its job on its current replica.
func (s *Scheduler) isLate(entry *item, pool *pool, now time.Duration) bool {
	left := s.remainingTime(entry)
	return left >= unboundedTime || now+time.Duration(moveMargin*float64(left)) > s.targetEnd(entry.job, pool, moveSlack, now)
}

// clearlyFasterRatio is how many times faster another replica that is not among the fastest must be for a run to move
// there. Paces are estimates, and a run that moves in small steps processes its prompt again at each step.
const clearlyFasterRatio = 2

// isMoveWorthwhile reports whether moving a run to another replica saves more than it costs.
func (s *Scheduler) isMoveWorthwhile(entry *item, current, other *replica, pool *pool, now time.Duration) bool {
	if other.pace > paceStep*pool.fastestPace() && clearlyFasterRatio*other.pace > current.pace {
		return false
	}
	return s.savedTime(entry, current, other, pool, now) >= s.settings.MoveGain
}

// savedTime returns the time that a move is expected to save. It is the remaining time on the current replica, with the
// delay of a temporary slowdown, minus the remaining time on the other replica, including its first-event delay for the
// prompt.
func (s *Scheduler) savedTime(entry *item, current, other *replica, pool *pool, now time.Duration) time.Duration {
	left := s.remainingTime(entry)
	if left >= unboundedTime {
		return unboundedTime
	}
	stay := float64(left)
	if reported, rest := current.reportedPace.Pace(), pool.slowdownDuration.Expected(); reported.Slowed(now, rest) {
		stay += float64(rest) * (1 - 1/reported.Passing)
	}
	leave := float64(left)*other.pace/current.pace + pool.meanFirstEventDelay*float64(time.Second)
	return time.Duration(stay - leave)
}

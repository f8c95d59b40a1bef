package schedule

import (
	"math"
	"time"
)

// Some items never run: a replica rejects an item that is larger than its memory as if it were full, and a faulty request
// may break its answer at every replica. Such an item must not take the turns of others again and again, nor have sound
// replicas suspended. It is still tried, because only a replica knows what it can run.

// eventlessRunsBeforeHold is the number of consecutive runs without an event after which an item is held before each further
// run. Before that, the fault is more likely the replicas'.
const eventlessRunsBeforeHold = 3

// lastRunFailed reports whether the item's last run was rejected or broke off without an event. The fault may be the item's.
func (e *item) lastRunFailed() bool { return e.eventlessRuns > 0 }

const (
	// oversizedPause is the pause before an item runs again that was rejected by a replica too small for it. It doubles
	// with each further rejection up to maximumOversizedPause.
	oversizedPause        = 500 * time.Millisecond
	maximumOversizedPause = 4 * time.Second
	// maximumRejectedPause and maximumBrokenPause bound the pauses of an item that replicas reject, and of one whose runs
	// break off without an event. They are short, because the replicas may be at fault after all and recover.
	maximumRejectedPause = time.Second
	maximumBrokenPause   = 2 * time.Second
)

// maximumSize returns the tokens of the item's prompt and of its longest answer; 0 if they are unknown.
func (e *item) maximumSize() uint64 { return e.Prompt + e.MaxTokens }

// isTooSmallFor reports whether an item may need more memory than the replica has in total.
func (r *replica) isTooSmallFor(entry *item) bool {
	return r.Memory > 0 && entry.maximumSize() > r.Memory
}

// unknownMemory is the memory of a pool with a replica of unknown memory, which may hold any item.
const unknownMemory = math.MaxUint64

// updateLargestMemory determines the memory of the pool's largest replica, and reports whether it has grown.
func (p *pool) updateLargestMemory() (grown bool) {
	before := p.largestMemory
	p.largestMemory = 0
	for _, one := range p.replicas {
		if one.Memory == 0 {
			p.largestMemory = unknownMemory
			break
		}
		p.largestMemory = max(p.largestMemory, one.Memory)
	}
	return p.largestMemory > before
}

// hasLargerFor reports whether a replica is too small for an item that a larger replica of its pool can hold.
func (s *Scheduler) hasLargerFor(candidate *replica, entry *item) bool {
	return candidate.isTooSmallFor(entry) && entry.maximumSize() <= s.poolNamed(candidate.Pool).largestMemory
}

// reconsiderOversized lets the items of a pool run again that its replicas were too small for and its largest replica is
// not.
func (s *Scheduler) reconsiderOversized(name string, changed *pool) {
	for _, job := range s.jobs {
		for _, entry := range job.items {
			if !entry.oversized || entry.poolOf() != name || entry.maximumSize() > changed.largestMemory {
				continue
			}
			entry.oversized, s.waitingOrder = false, nil
			if entry.holdReason == HeldOversized {
				entry.hold(0, NotHeld)
			}
		}
	}
}

// holdAfterFailure holds an item whose run was rejected or broke off without an event, once the fault may be the item's rather
// than the replica's.
func (s *Scheduler) holdAfterFailure(entry *item, at *replica, ending Ending, now time.Duration) {
	entry.eventlessRuns++
	switch {
	case ending == Full && at != nil && at.isTooSmallFor(entry):
		entry.oversized = true
		entry.hold(now+doubled(oversizedPause, entry.eventlessRuns-1, maximumOversizedPause), HeldOversized)
	case entry.eventlessRuns < eventlessRunsBeforeHold:
	case ending == Full:
		entry.hold(now+doubled(s.settings.FullPause, entry.eventlessRuns-eventlessRunsBeforeHold, maximumRejectedPause), HeldFailing)
	default:
		entry.hold(now+doubled(s.settings.FailurePause, entry.eventlessRuns-eventlessRunsBeforeHold, maximumBrokenPause), HeldFailing)
	}
}

// doubled returns a pause doubled a number of times, at most maximum.
func doubled(pause time.Duration, times int, maximum time.Duration) time.Duration {
	return min(pause<<min(times, maximumDoublings), maximum)
}

// maximumDoublings keeps a doubled pause from overflowing.
const maximumDoublings = 10

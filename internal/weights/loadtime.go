package weights

import (
	"slices"
	"time"
)

const (
	// reportAge is how old a replica's account of itself is at least: what it tells happened so long before.
	reportAge = 100 * time.Millisecond
	// loadTimesKept is how many loads the expectation looks back: a few seconds' worth on a large fleet, so that loads
	// which take longer, because too many run, are believed soon.
	loadTimesKept = 16
)

// loadTimes is how long the last loads took from their acceptance until a replica's account told of their end.
type loadTimes struct {
	kept []time.Duration
	next int
}

// add notes a load.
func (l *loadTimes) add(took time.Duration) {
	if len(l.kept) < loadTimesKept {
		l.kept = append(l.kept, took)
		return
	}
	l.kept[l.next] = took
	l.next = (l.next + 1) % loadTimesKept
}

// expected is after what time a load that is under way is over, whatever the accounts that are still to come; 0: not known.
// A place that waits for the account stands idle for a tenth of its time: accounts told of loads of 0.9 s after 1.02 s in the
// middle (857 loads in the log of a played day).
func (l *loadTimes) expected() time.Duration {
	if len(l.kept) == 0 {
		return 0
	}
	return max(slices.Min(l.kept)-reportAge, 0)
}

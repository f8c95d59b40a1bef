package pace

import (
	"slices"
	"time"
)

const (
	// intervalLength is the length of an interval, over which the pauses between events are averaged. An interval
	// contains several events, so that late events that arrive together do not distort the estimate.
	intervalLength = 200 * time.Millisecond
	// maxIntervals is the number of intervals that are kept. A replica that becomes slow permanently is recognized
	// after half of them. That is how long an answer can wait for this and still gain by moving to another replica. A
	// replica that is slow for moments is not taken for a slow one unless it is slow for half of its time.
	maxIntervals = 13
)

// LastingEstimator estimates a replica's lasting time per event of a stream: the median over the latest intervals in
// which events arrived. The estimate is kept while nothing runs at the replica. The zero value has no events. It is not
// safe for concurrent use.
type LastingEstimator struct {
	intervals []interval // oldest first
	sorted    []float64
}

// interval holds the events of one interval of intervalLength.
type interval struct {
	index   time.Duration // time of arrival divided by intervalLength
	seconds float64
	events  float64
}

// Add records events that took a number of seconds in total. at is when the last of them arrived.
func (l *LastingEstimator) Add(at time.Duration, seconds float64, events int) {
	index := at / intervalLength
	for i := len(l.intervals) - 1; i >= 0; i-- {
		if l.intervals[i].index == index {
			l.intervals[i].seconds += seconds
			l.intervals[i].events += float64(events)
			return
		}
	}
	if len(l.intervals) > 0 && index < l.intervals[0].index {
		return // older than all intervals kept
	}
	if len(l.intervals) == maxIntervals {
		l.intervals = l.intervals[1:]
	}
	l.intervals = append(l.intervals, interval{index: index, seconds: seconds, events: float64(events)})
}

// SecondsPerEvent returns the seconds per event, or 0 while fewer than minEvents events were seen.
func (l *LastingEstimator) SecondsPerEvent(minEvents float64) float64 {
	l.sorted = l.sorted[:0]
	seen := 0.0
	for _, each := range l.intervals {
		seen += each.events
		l.sorted = append(l.sorted, each.seconds/each.events)
	}
	if len(l.sorted) == 0 || seen < minEvents {
		return 0
	}
	slices.Sort(l.sorted)
	return l.sorted[(len(l.sorted)-1)/2]
}

package monotonic

import "time"

// ObservedTime measures the time that a watcher has spent observing. It advances with the clock, but by at most a bound
// between two observations. Measuring silences on it has two effects. A watcher that was paused does not count the time
// in which it did not listen as silence of its peers. A watcher that repeatedly observes late still reaches its
// timeouts, which it would not if the count restarted at each late observation.
//
// It is not safe for concurrent use.
type ObservedTime struct {
	maximumGap   time.Duration
	lastObserved time.Duration
	accumulated  time.Duration
}

// NewObservedTime returns an ObservedTime at 0, with a first observation at now. At most maximumGap counts between two
// observations.
func NewObservedTime(now, maximumGap time.Duration) *ObservedTime {
	return &ObservedTime{maximumGap: maximumGap, lastObserved: now}
}

// Observe records an observation at now and returns the observed time so far.
func (a *ObservedTime) Observe(now time.Duration) time.Duration {
	a.accumulated, a.lastObserved = a.At(now), max(now, a.lastObserved)
	return a.accumulated
}

// At returns the observed time at a time since the last observation.
func (a *ObservedTime) At(now time.Duration) time.Duration {
	return a.accumulated + min(max(now-a.lastObserved, 0), a.maximumGap)
}

package pace

import "time"

const (
	// DefaultSlowdownDuration is the assumed duration of a passing slowdown until enough reports were seen. A wrong
	// value costs a run at most this much time.
	DefaultSlowdownDuration = 500 * time.Millisecond
	minSlowdownDuration     = 100 * time.Millisecond
	maxSlowdownDuration     = 5 * time.Second
	// maxReportGap is the longest gap between two reports of a replica that counts as observed time.
	maxReportGap = 500 * time.Millisecond
	// maxRememberedTime is the total observed slow time at which all earlier observations are halved, so that the
	// estimate follows a change.
	maxRememberedTime = 30 * time.Second
)

// SlowdownEstimator estimates how long a passing slowdown lasts, from the reports of many replicas. The zero value has
// no observations. It is not safe for concurrent use.
type SlowdownEstimator struct {
	slowTime time.Duration // total time during which slow replicas were observed
	endCount float64       // number of observed ends of slowdowns
}

// slowdownState is the SlowdownEstimator's state of one replica between its reports.
type slowdownState struct {
	lastSeen time.Duration
	wasSlow  bool
	known    bool
	slowTime time.Duration // observed duration of the present slowdown
}

// observe processes a replica's report of its passing part. The part of a slowdown beyond maxSlowdownDuration is
// ignored: it is not a passing one, or the replica repeats an old report.
func (r *SlowdownEstimator) observe(state *slowdownState, passing float64, seen time.Duration) {
	if state.known && seen <= state.lastSeen {
		return
	}
	isSlow, elapsed := passing >= slowdownThreshold, seen-state.lastSeen
	observed := state.known && state.wasSlow && elapsed <= maxReportGap
	if observed && state.slowTime < maxSlowdownDuration {
		r.slowTime += elapsed
		state.slowTime += elapsed
		if !isSlow {
			r.endCount++
		}
	}
	if !observed || !isSlow {
		state.slowTime = 0
	}
	state.lastSeen, state.wasSlow, state.known = seen, isSlow, true
	if r.slowTime > maxRememberedTime {
		r.slowTime, r.endCount = r.slowTime/2, r.endCount/2
	}
}

// Expected returns how much longer a slowdown is expected to last, however long ago it began.
func (r *SlowdownEstimator) Expected() time.Duration {
	expected := float64(r.slowTime+DefaultSlowdownDuration) / (r.endCount + 1)
	return min(max(time.Duration(expected), minSlowdownDuration), maxSlowdownDuration)
}

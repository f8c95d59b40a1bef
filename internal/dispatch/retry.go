package dispatch

import (
	"net/http"
	"time"
)

// onNotExecuted handles a send that is known not to have run at the chosen back end.
func (m *Machine) onNotExecuted(now time.Duration, event *Event) {
	if !m.isInFlight() {
		return
	}
	m.state = stateSendEnded
	failure := Outcome{Status: http.StatusServiceUnavailable, Code: CodeBackendRefused,
		Reason: "the back ends that were tried did not take the request", RetryAfter: m.retryAfter(event)}
	if m.mayHaveReachedBackend && !m.canRepeat() {
		m.fail(failure) // only the resume did not run; the request itself has run or is running
		return
	}
	if isPermanentRefusal(event.Status) {
		m.fail(Outcome{Status: event.Status, Answer: event.Answer})
		return
	}
	m.retryElsewhere(now, failure, event.Kind == SendFailed)
}

// isPermanentRefusal reports whether a back end's refusal is due to the request itself, so that any other back end
// would refuse it too.
func isPermanentRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests && status != http.StatusConflict
}

// retryElsewhere schedules a retry at another back end if tries, retry budget and deadline permit it. Otherwise it ends
// the request with failure. intact means that no byte of the body was sent, so that the body can be sent to another
// back end even if the gateway does not hold it.
func (m *Machine) retryElsewhere(now time.Duration, failure Outcome, intact bool) {
	m.tried = append(m.tried, m.backend)
	if (m.request.Replayable || intact) && m.tries < m.settings.MaxTries && now < m.request.Deadline && m.settings.Budget.Take(now) {
		m.backOff(now)
		return
	}
	m.fail(failure)
}

// backOff schedules the next choice of a back end after a pause with jitter that never exceeds the deadline.
func (m *Machine) backOff(now time.Duration) {
	m.state = stateBackoff
	m.emit(Action{Kind: Wait, Pause: m.retryPause(now, m.tries)})
}

// retryPause returns the pause before a round; rounds count from 1. The mean doubles with each round up to
// BackoffLimit, the jitter is 50% in either direction, and the pause never exceeds the deadline.
func (m *Machine) retryPause(now time.Duration, round int) time.Duration {
	mean := m.settings.BackoffBase << min(max(round-1, 0), 16)
	mean = min(mean, m.settings.BackoffLimit)
	pause := time.Duration(float64(mean) * (0.5 + m.settings.Random()))
	return max(min(pause, m.request.Deadline-now), 0)
}

func (m *Machine) onTimer() {
	switch m.state {
	case stateBackoff:
		m.chooseBackend()
	case statePolling:
		m.queryClaim()
	case stateSettling, stateDone:
		m.settleClaim()
	}
}

func (m *Machine) retryAfter(event *Event) time.Duration {
	if event.RetryAfter > 0 {
		return event.RetryAfter
	}
	return m.settings.RetryAfter
}

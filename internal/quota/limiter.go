// Package quota keeps one tenant's requests at one process within the process's share of the tenant's quota. It uses a
// token bucket for the request rate and counts the requests in flight. It protects other tenants' capacity from a
// tenant that sends many times its quota, at one gateway or at all of them.
//
// The package has no clock: times are durations since an arbitrary start. A Limiter is not safe for concurrent use.
package quota

import (
	"math"
	"time"
)

const (
	// minBucketDepth is the least capacity of a bucket, in requests, however small the process's share is. It lets a
	// caller's first two requests pass without waiting for the share to grow.
	minBucketDepth = 2
	// measurementWindow is the time over which the demand is measured, in two halves. With a shorter window, a caller
	// that sends once a second would seem to have left between two requests. With a longer one, a burst would be
	// reported late.
	measurementWindow = time.Second
	// MaxWait bounds the wait that a refused caller is told. By then the shares have changed.
	MaxWait = 5 * time.Second
)

// Limiter enforces one tenant's limits at one process.
type Limiter struct {
	rate        float64 // the process's share, in requests per second
	depth       float64 // capacity of the bucket, in requests
	tokens      float64
	refilledAt  time.Duration
	lastRetryAt time.Duration // latest retry time that a refused caller was given

	inFlight int

	halfStart                 time.Duration
	currentHalf, previousHalf requestCounts // accepted and refused requests of the current and the previous half window
}

// requestCounts counts requests in a half window.
type requestCounts struct{ taken, refused float64 }

// NewLimiter returns a Limiter without a share of the rate yet. phase is in [0, 1) and must differ between processes,
// because their buckets would otherwise refill at the same moments.
func NewLimiter(now time.Duration, phase float64) *Limiter {
	return &Limiter{depth: minBucketDepth, tokens: minBucketDepth - 1 + phase, refilledAt: now, halfStart: now}
}

// SetRate applies the process's share of the rate, in requests per second, and of the burst, in requests.
func (l *Limiter) SetRate(now time.Duration, rate, burst float64) {
	l.refill(now)
	l.rate, l.depth = rate, max(burst, minBucketDepth)
	l.tokens = min(l.tokens, l.depth)
}

// refill adds the tokens since the last refill.
func (l *Limiter) refill(now time.Duration) {
	if now > l.refilledAt {
		l.tokens = min(l.tokens+l.rate*(now-l.refilledAt).Seconds(), l.depth)
		l.refilledAt = now
	}
}

// Take accepts a request if a token is available. Otherwise it returns the wait after which a retry finds a token,
// later than those of the callers that were refused before.
func (l *Limiter) Take(now time.Duration) (ok bool, wait time.Duration) {
	l.refill(now)
	l.rollWindow(now)
	if l.tokens >= 1 {
		l.tokens--
		l.currentHalf.taken++
		return true, 0
	}
	l.currentHalf.refused++
	return false, l.scheduleRetry(now)
}

// scheduleRetry returns the wait until the next token that was not promised to an earlier refused caller, at most
// MaxWait.
func (l *Limiter) scheduleRetry(now time.Duration) time.Duration {
	if l.rate <= 0 {
		return measurementWindow // by then the demand has been reported and the share granted
	}
	between := toDuration(1 / l.rate)
	next := max(now+toDuration((1-l.tokens)/l.rate), l.lastRetryAt+between)
	l.lastRetryAt = min(next, now+MaxWait)
	return l.lastRetryAt - now
}

func toDuration(amount float64) time.Duration {
	return time.Duration(min(amount, math.MaxInt32) * float64(time.Second))
}

// rollWindow starts a new half window when the current one is over.
func (l *Limiter) rollWindow(now time.Duration) {
	const half = measurementWindow / 2
	if now-l.halfStart >= measurementWindow {
		l.previousHalf, l.currentHalf, l.halfStart = requestCounts{}, requestCounts{}, now
	} else if now-l.halfStart >= half {
		l.previousHalf, l.currentHalf, l.halfStart = l.currentHalf, requestCounts{}, l.halfStart+half
	}
}

// RequestRates returns the requests per second that were recently accepted and refused.
func (l *Limiter) RequestRates(now time.Duration) (taken, refused float64) {
	l.rollWindow(now)
	span := (measurementWindow/2 + now - l.halfStart).Seconds()
	return (l.previousHalf.taken + l.currentHalf.taken) / span, (l.previousHalf.refused + l.currentHalf.refused) / span
}

// Begin counts a request in flight.
func (l *Limiter) Begin() { l.inFlight++ }

// End ends a request in flight.
func (l *Limiter) End() { l.inFlight-- }

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

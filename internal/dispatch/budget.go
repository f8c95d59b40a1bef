package dispatch

import "time"

// RetryBudget is a token bucket for retries. It refills at a constant rate, so a failing pool receives at most that
// many retries per second beyond one burst. It is not safe for concurrent use.
type RetryBudget struct {
	rate   float64 // retries per second
	burst  float64
	tokens float64
	last   time.Duration
}

// NewRetryBudget returns a full budget of burst retries that refills at rate per second.
func NewRetryBudget(rate, burst float64) *RetryBudget {
	return &RetryBudget{rate: rate, burst: burst, tokens: burst}
}

// Take implements Budget.
func (b *RetryBudget) Take(now time.Duration) bool {
	if now > b.last {
		b.tokens = min(b.tokens+b.rate*(now-b.last).Seconds(), b.burst)
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

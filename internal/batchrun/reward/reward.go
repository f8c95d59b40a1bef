// Package reward decides whether and when the reward call of a text is retried, and when its item is given up. A reward
// call is a request that scores a complete text. It has a route of its own. Package batchrun makes the calls.
//
// The package has no clock, goroutines or I/O. Random numbers are passed in as arguments.
package reward

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/defaults"
)

// Ending is how one attempt to get a score ended.
type Ending uint8

// The ways in which an attempt can end.
const (
	Scored  Ending = iota // a complete answer with a score
	Failed                // at least one back end answered that the call failed
	Refused               // no back end ran it: no capacity, no route or no lease
	Lost                  // it may have run, but no usable answer was received
	Held                  // not permitted yet, because it is suspected of crashing back ends
)

// String returns the name of an ending in logs and metrics.
func (e Ending) String() string {
	return [...]string{Scored: "scored", Failed: "failed", Refused: "refused", Lost: "lost", Held: "held"}[e]
}

// Defaults of Settings.
const (
	// DefaultPause is about the duration of a call, after which a back end that was full should have a free slot.
	DefaultPause = 20 * time.Millisecond
	// DefaultMaximumPause limits how late a recovered pool is noticed. It is small compared to a job's deadline.
	DefaultMaximumPause = 400 * time.Millisecond
	// DefaultDeadline bounds one attempt. It is long for a call of some ten ms of work, and short enough for several
	// attempts before a job's deadline.
	DefaultDeadline = time.Second
)

// Settings configures reward calls. Zero fields take the defaults.
type Settings struct {
	Pause        time.Duration // before the second attempt; doubled for each further one
	MaximumPause time.Duration
	Deadline     time.Duration // of one attempt; back ends abort it then
}

// maximumHeldPause bounds the pause before a call that must not run yet is tried again, because it may be cleared of
// suspicion at any time.
const maximumHeldPause = 5 * time.Second

// WithDefaults returns s with the defaults in place of zero fields.
func (s Settings) WithDefaults() Settings {
	defaults.Set(&s.Pause, DefaultPause)
	defaults.Set(&s.MaximumPause, DefaultMaximumPause)
	defaults.Set(&s.Deadline, DefaultDeadline)
	return s
}

// Call counts the attempts of one text's reward call under one leader. The zero value is a call without attempts.
type Call struct {
	tries    int
	failures int
}

// Tries returns the number of attempts that have ended.
func (c *Call) Tries() int { return c.tries }

// Failures returns the number of answers that reported that the call failed, over all attempts.
func (c *Call) Failures() int { return c.failures }

// Next is the decision after an attempt.
type Next struct {
	// GiveUp is set if the item must be terminated. So many back ends answered that the call failed that it is expected
	// to fail on all of them.
	GiveUp bool
	// Pause is the time until the next attempt. It is 0 if the item is given up.
	Pause time.Duration
}

// RecordNotPermitted records an attempt that was not permitted, and will not be for the time left.
func (c *Call) RecordNotPermitted(left time.Duration) Next {
	c.tries++
	return Next{Pause: min(left, maximumHeldPause)}
}

// Ended records an attempt that got no score. failures is the number of back ends that answered that the call failed.
// The item is given up after a total of maximumFailures (0: never). retryAfter is the delay that a rejection asked for
// (0: none). jitter is a random number from 0 to 1, which spreads the attempts of many texts.
func (c *Call) Ended(settings Settings, failures, maximumFailures int, retryAfter time.Duration, jitter float64) Next {
	c.tries++
	c.failures += failures
	if maximumFailures > 0 && c.failures >= maximumFailures {
		return Next{GiveUp: true}
	}
	const maximumDoublings = 10
	pause := min(settings.Pause<<min(c.tries-1, maximumDoublings), settings.MaximumPause)
	pause = max(pause, min(retryAfter, settings.MaximumPause))
	const spread = 0.5 // fraction of the pause, in both directions
	return Next{Pause: time.Duration(float64(pause) * (1 - spread + 2*spread*jitter))}
}

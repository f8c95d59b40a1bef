// Package reward decides how the reward call of one text goes on: whether it is made again, when, and when its item
// is given up. A reward call rates a whole text, by a request to a pool of its own route; see package batchrun, which
// makes it.
//
// The package is pure: no clock, goroutine or I/O; randomness is an argument.
package reward

import "time"

// Ending is how one request for a score ended.
type Ending uint8

// The endings.
const (
	Scored  Ending = iota // a whole answer with a signature
	Failed                // the back ends answered that the call failed there
	Refused               // no back end ran it: no room, no route, no lease
	Lost                  // it may have run; no answer that can be used came
	Held                  // back ends crashed under it, and it must not run yet
)

// String names an ending in logs and metrics.
func (e Ending) String() string {
	return [...]string{Scored: "scored", Failed: "failed", Refused: "refused", Lost: "lost", Held: "held"}[e]
}

// Defaults of Settings.
const (
	// DefaultPause is about the time that a call takes: a back end that had no room has some then.
	DefaultPause = 20 * time.Millisecond
	// DefaultMaximumPause keeps a pool that comes back from being found late; it is small beside a job's deadline.
	DefaultMaximumPause = 400 * time.Millisecond
	// DefaultDeadline is how long one request may take: long for a call of some ten ms of work, and short enough for
	// several tries before a job is due.
	DefaultDeadline = time.Second
)

// Settings of reward calls. Zero fields take the defaults.
type Settings struct {
	Pause        time.Duration // before the second try; doubled with each further one
	MaximumPause time.Duration
	Deadline     time.Duration // of one try; back ends stop working on it then
}

// heldPause is the longest pause of a call that must not run yet. It is looked at again within it, since it may be cleared at any time.
const heldPause = 5 * time.Second

// WithDefaults fills unset fields.
func (s Settings) WithDefaults() Settings {
	if s.Pause == 0 {
		s.Pause = DefaultPause
	}
	if s.MaximumPause == 0 {
		s.MaximumPause = DefaultMaximumPause
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	return s
}

// Call is the course of one text's reward call under one leader. The zero value is a call that was not tried yet.
type Call struct {
	tries    int
	failures int
}

// Tries is how many tries have ended.
func (c *Call) Tries() int { return c.tries }

// Failures is how many answers said that the call failed.
func (c *Call) Failures() int { return c.failures }

// Next is what follows a try.
type Next struct {
	// GiveUp ends the item: the call fails wherever it is made.
	GiveUp bool
	// Pause is the wait before the next try, unless the item is given up.
	Pause time.Duration
}

// Rested notes a try that was not permitted for a time that is left.
func (c *Call) Rested(left time.Duration) Next {
	c.tries++
	return Next{Pause: min(left, heldPause)}
}

// Ended notes a try that brought no score. failures is how many back ends answered during it that the call failed,
// most is after how many in all the item is given up (0: never), after is when the refusal advised to come back (0: it did
// not), and jitter a random number from 0 to 1, which spreads the tries of many texts.
func (c *Call) Ended(settings Settings, failures, most int, after time.Duration, jitter float64) Next {
	c.tries++
	c.failures += failures
	if most > 0 && c.failures >= most {
		return Next{GiveUp: true}
	}
	const maximumDoublings = 10
	pause := min(settings.Pause<<min(c.tries-1, maximumDoublings), settings.MaximumPause)
	pause = max(pause, min(after, settings.MaximumPause))
	const spread = 0.5 // of the pause, either way
	return Next{Pause: time.Duration(float64(pause) * (1 - spread + 2*spread*jitter))}
}

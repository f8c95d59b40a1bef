// Package wave plans how a released weight version reaches all replicas of a pool: staged beside the
// running steps first, then swapped in a few replicas at a time, so that live capacity is kept. It is pure:
// it has no clock, goroutine or I/O; time is an argument (since an arbitrary start, monotonic). In go
// releases, replicas' reports and the answers to orders; out come orders. Every order may be sent again.
//
// The runtime's duties: send what Next returns under a fencing token of the pool, call Answered for each
// order exactly once, and call Next again after each event and at least every few hundred milliseconds.
package wave

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/defaults"
)

// Version is one weight version of a pool. Numbers rise with each release.
type Version struct {
	Name   string
	Number uint64
}

// Kind is what an order asks of a replica.
type Kind uint8

// The kinds of order.
const (
	Stage Kind = iota + 1 // load the version beside the running steps; serving goes on unchanged
	Swap                  // serve the version; it is staged first where it is not
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	if k == Stage {
		return "stage"
	}
	return "swap"
}

// Order is one command for one replica. A replica has at most one order at a time.
type Order struct {
	ID      uint64
	Replica string
	Version Version
	Kind    Kind
}

// Report is what a replica says about itself. It may be old.
type Report struct {
	Version  Version // served
	Staged   uint64  // number of the version that waits for a swap; 0 when none
	Refusing bool    // takes no work until a swap succeeds
}

// Outcome is how an order ended.
type Outcome uint8

// The outcomes of an order.
const (
	Done      Outcome = iota + 1 // answered; Answer.Serving tells what is served now
	Failed                       // refused, failed, or its fate is unknown
	Throttled                    // the weight store gives nothing before Answer.RetryAfter
)

// Answer is the end of an order.
type Answer struct {
	Outcome    Outcome
	Serving    uint64        // number that the replica says it serves; valid with Done
	RetryAfter time.Duration // valid with Throttled
}

// Config holds a Planner's parameters.
type Config struct {
	// SwapShare is the part of a pool's replicas that may be out for a swap at once, as a fraction; at
	// least one is. Default 0.2: a pool keeps four fifths of its capacity and is through in five rounds.
	SwapShare float64
	// SwapTogether bounds the swaps in place of SwapShare, as a count. Default 0: SwapShare rules.
	SwapTogether int
	// OldestFirst gives orders to the replicas that serve the oldest version first, in place of the order of
	// their names: where versions follow each other faster than all replicas can swap, none stays behind.
	OldestFirst bool
	// QuickSwap is the swap time up to which all replicas may swap at once, because the gap is shorter
	// than a few steps. Default 50ms.
	QuickSwap time.Duration
	// StageTogether bounds the stage orders under way in a pool at first, and at least. Each one that succeeds
	// raises the bound by one, each pause that the store asks for halves it. Default 32.
	StageTogether int
	// StageTime is how long a replica needs after the answer to a stage order; a swap sent earlier would
	// hold a place among the swapping ones while it waits. Default 1s.
	StageTime time.Duration
	// RetryFirst and RetryMost bound the growing pause after a failed order. Defaults 250ms and 4s.
	RetryFirst time.Duration
	RetryMost  time.Duration
	// ReportGrace is how long the answer to an order counts more than a report, which may be older than
	// it. Default 6s: reports lag by up to 5s.
	ReportGrace time.Duration
}

// Defaults of Config.
const (
	defaultSwapShare     = 0.2
	defaultQuickSwap     = 50 * time.Millisecond
	defaultStageTogether = 32
	defaultStageTime     = time.Second
	defaultRetryFirst    = 250 * time.Millisecond
	defaultRetryMost     = 4 * time.Second
	defaultReportGrace   = 6 * time.Second
)

// WithDefaults fills unset fields.
func (c Config) WithDefaults() Config {
	defaults.Set(&c.SwapShare, defaultSwapShare)
	defaults.Set(&c.QuickSwap, defaultQuickSwap)
	defaults.Set(&c.StageTogether, defaultStageTogether)
	defaults.Set(&c.StageTime, defaultStageTime)
	defaults.Set(&c.RetryFirst, defaultRetryFirst)
	defaults.Set(&c.RetryMost, defaultRetryMost)
	defaults.Set(&c.ReportGrace, defaultReportGrace)
	return c
}

// Counters count what happened since the start.
type Counters struct {
	Waves       uint64 // versions that came to be served by every replica of their time
	Swaps       uint64
	StageOrders uint64
	Failures    uint64 // orders that failed, swaps that changed nothing included
	Throttled   uint64
	Repairs     uint64 // orders to replicas that had served the version and came back with another
}

// Status is the state of a pool's wave.
type Status struct {
	Target   Version
	Replicas int
	Serving  int           // replicas that serve the target
	Lasted   time.Duration // of the last whole wave, from release to the last replica
	Counters Counters
}

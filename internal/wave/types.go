// Package wave plans the rollout of a released weight version to all replicas of a pool. The version is staged first,
// next to the running steps, and then swapped in on a few replicas at a time, so that most of the capacity for live
// traffic is kept. The package is pure: it has no clock, goroutines or I/O. Times are arguments, measured from an
// arbitrary start on a monotonic clock. The inputs are releases, reports of replicas and answers to orders. The outputs
// are orders. Every order may be sent repeatedly.
//
// The caller must send the orders that Next returns under a fencing token of the pool, call Answered exactly once for
// each order, and call Next again after each event and at least every few hundred milliseconds.
package wave

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/defaults"
)

// Version is a weight version of a pool. Numbers increase with each release.
type Version struct {
	Name   string
	Number uint64
}

// Kind is the action that an order requests.
type Kind uint8

// Values of Kind.
const (
	Stage Kind = iota + 1 // load the version next to the running steps while serving continues unchanged
	Swap                  // serve the version, after staging it if necessary
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	if k == Stage {
		return "stage"
	}
	return "swap"
}

// Order is a command to one replica. A replica has at most one order at a time.
type Order struct {
	ID      uint64
	Replica string
	Version Version
	Kind    Kind
}

// Report is the status that a replica reports. It may be out of date.
type Report struct {
	Version     Version // version being served
	Staged      uint64  // number of the version staged for a swap; 0 if none
	RefusesWork bool    // whether the replica refuses work until a swap succeeds
}

// Outcome is the result of an order.
type Outcome uint8

// Values of Outcome.
const (
	Done      Outcome = iota + 1 // answered; Answer.Serving is the version served now
	Failed                       // rejected, failed, or of unknown outcome
	Throttled                    // the weight store serves no reads until Answer.RetryAfter has passed
)

// Answer reports the end of an order.
type Answer struct {
	Outcome    Outcome
	Serving    uint64        // number of the version that the replica reports as served; valid with Done
	RetryAfter time.Duration // valid with Throttled
}

// Config holds the parameters of a Planner.
type Config struct {
	// SwapShare is the share of a pool's replicas that may be out of service for a swap at the same time. At least one
	// always may. Default: 0.2, which keeps four fifths of the capacity and completes a wave in five rounds.
	SwapShare float64
	// MaxConcurrentSwaps bounds the concurrent swaps by a count and replaces SwapShare. Default: 0, which applies
	// SwapShare.
	MaxConcurrentSwaps int
	// OldestFirst gives orders to the replicas with the oldest version first, instead of by name. No replica is
	// starved then when versions are released faster than all replicas can swap.
	OldestFirst bool
	// Unstaged is set for replicas that load a version only by a swap. They get no stage orders.
	Unstaged bool
	// QuickSwap is the swap time up to which all replicas may swap at the same time, because the gap in service is
	// shorter than a few steps. Default: 50ms.
	QuickSwap time.Duration
	// MinStageLimit is the initial and minimum limit of stage orders in progress in a pool. Each success raises the
	// limit by one, and each pause that the weight store asks for halves it. Default: 32.
	MinStageLimit int
	// StageTime is the time that a replica needs to finish staging after it has answered a stage order. A swap sent
	// earlier would count against the concurrent swaps while it waits. Default: 1s.
	StageTime time.Duration
	// MinRetryPause and MaxRetryPause bound the pause after a failed order, which doubles with each failure. Defaults:
	// 250ms and 4s.
	MinRetryPause time.Duration
	MaxRetryPause time.Duration
	// ReportGrace is the time for which the answer to an order takes precedence over reports, which may be older.
	// Default: 6s, since reports lag by up to 5s.
	ReportGrace time.Duration
}

// Defaults of Config.
const (
	defaultSwapShare     = 0.2
	defaultQuickSwap     = 50 * time.Millisecond
	defaultMinStageLimit = 32
	defaultStageTime     = time.Second
	defaultMinRetryPause = 250 * time.Millisecond
	defaultMaxRetryPause = 4 * time.Second
	defaultReportGrace   = 6 * time.Second
)

// WithDefaults returns the config with defaults for fields that are not set.
func (c Config) WithDefaults() Config {
	defaults.Set(&c.SwapShare, defaultSwapShare)
	defaults.Set(&c.QuickSwap, defaultQuickSwap)
	defaults.Set(&c.MinStageLimit, defaultMinStageLimit)
	defaults.Set(&c.StageTime, defaultStageTime)
	defaults.Set(&c.MinRetryPause, defaultMinRetryPause)
	defaults.Set(&c.MaxRetryPause, defaultMaxRetryPause)
	defaults.Set(&c.ReportGrace, defaultReportGrace)
	return c
}

// Counters counts events since the planner was created.
type Counters struct {
	Waves       uint64 // versions that were served by every replica of the pool at one time
	Swaps       uint64
	StageOrders uint64
	Failures    uint64 // orders that failed, including swaps that did not change the version
	Throttled   uint64
	Repairs     uint64 // orders to replicas that had served the target before and reverted to another version
}

// Status is the state of the wave of a pool.
type Status struct {
	Target       Version
	Replicas     int
	Serving      int           // replicas that serve the target
	LastDuration time.Duration // duration of the last complete wave, from the release until the last replica served it
	Counters     Counters
}

// Package engine emulates a model engine in virtual time: continuous batching with chunked prefill,
// limited KV memory with a prefix cache, priorities with preemption, weight swaps and their failures.
// Time is an argument; nothing here has a clock, a goroutine or I/O. The engine stand-in drives it in
// real time, the experiments drive hundreds of them in virtual time.
package engine

import (
	"errors"
	"time"
)

// Errors of Submit and of the orders. Each refusal means that nothing was run or changed.
var (
	ErrCrashed    = errors.New("engine has crashed")
	ErrRefusing   = errors.New("engine refuses work: its weights are incomplete")
	ErrOverloaded = errors.New("engine's waiting queue is full")
	ErrTooLarge   = errors.New("request cannot fit the engine's KV memory")
	ErrDuplicate  = errors.New("request identity is already in use")
	ErrEmpty      = errors.New("request asks for no tokens")
	ErrStaleFence = errors.New("stale fencing token")
	ErrUnknown    = errors.New("unknown request")
)

// Request is one sequence to generate.
type Request struct {
	// ID is the caller's handle, unique among the engine's unfinished requests.
	ID uint64
	// Priority orders requests; a lower number is more urgent.
	Priority int
	// PromptTokens is the length of the context, an already generated continuation included.
	PromptTokens int
	// OutputTokens is the number of tokens still to generate; the request finishes with the last.
	OutputTokens int
	// Prefix are the chained hashes of the context's whole blocks, first block first: equal hashes mean
	// equal context up to the block's end. May be shorter than the context, or empty. Not modified.
	Prefix []uint64
	// ImportedTokens is how many leading tokens of the context came with an imported KV cache and need
	// no prefill.
	ImportedTokens int
}

// EventKind says what happened.
type EventKind uint8

// The kinds of event.
const (
	EventTokens     EventKind = iota + 1 // Count tokens were generated under Version
	EventFinished                        // the request's last token was generated
	EventPreempted                       // the request lost its room and waits again
	EventFailed                          // the request was lost to a failed swap
	EventSwapped                         // Version is served from now on
	EventSwapFailed                      // the swap to Version failed
)

// Event is one thing that happened. Within one call of Advance, the tokens that a request received under
// one version are one event: Count of them, the first at First and the last at At.
type Event struct {
	At      time.Duration
	First   time.Duration // EventTokens only
	Kind    EventKind
	Request uint64
	Count   int
	Version uint64
}

// Load is an engine's own report, exact at the time it is made.
type Load struct {
	At            time.Duration
	Running       int
	Waiting       int
	WaitingTokens int           // context of the waiting requests, an estimate of prefill to come
	BlocksHeld    int           // by running sequences
	BlocksCached  int           // prefix cache that nothing holds
	BlocksTotal   int           //
	MaxBatch      int           //
	StepTime      time.Duration // of the last whole step
	Steps         uint64        // since the start
	Tokens        uint64        // generated since the start
	Prefilled     uint64        // prompt tokens computed since the start
	PrefixHits    uint64        // prompt tokens found in the prefix cache since the start
	Preemptions   uint64        // since the start
	Version       uint64        // served
	Staged        uint64        // version that waits for a swap; 0 when none
	Fence         uint64        // highest fencing token seen
	Refusing      bool
	Crashed       bool
}

// SwapFailure is how the next swap fails.
type SwapFailure uint8

// The ways a swap can fail.
const (
	SwapSucceeds SwapFailure = iota
	SwapKeepsOld             // reported as failed; the old version is still served
	SwapRefuses              // reported as failed; running requests are lost, the engine refuses work until a swap succeeds
	SwapIsSilent             // reported as done, though the old version is still served
)

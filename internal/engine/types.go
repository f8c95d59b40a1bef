// Package engine emulates a model engine in virtual time: continuous batching with chunked prefill,
// limited KV memory with a prefix cache, priorities with preemption, weight swaps and their failures.
// Callers pass the current time to every call. The package has no clock, starts no goroutine and does no I/O, so that
// the engine stand-in can run it in real time and experiments can run hundreds of engines in virtual time.
package engine

import (
	"errors"
	"time"
)

// Errors of Submit, Cancel, Export and the weight orders. A call that returns one of them has run and changed nothing.
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
	// ID is assigned by the caller and is unique among the engine's unfinished requests.
	ID uint64
	// Priority orders requests; a lower number is more urgent.
	Priority int
	// PromptTokens is the length of the context in tokens, including any continuation that was already generated.
	PromptTokens int
	// OutputTokens is the number of tokens still to generate. It must be at least 1.
	OutputTokens int
	// Prefix holds the chained hashes of the context's whole blocks, starting with the first block. Two equal hashes
	// mean that the contexts are equal up to the end of the block. It may be shorter than the context, or empty. The
	// engine does not modify it.
	Prefix []uint64
	// ImportedTokens is the number of leading context tokens that an imported KV cache covers. They need no prefill.
	ImportedTokens int
}

// EventKind is the type of an Event.
type EventKind uint8

// The kinds of event.
const (
	EventTokens     EventKind = iota + 1 // Count tokens were generated under Version
	EventFinished                        // the last token of the request was generated
	EventPreempted                       // the request lost its KV blocks and is waiting again
	EventFailed                          // a failed swap ended the request
	EventSwapped                         // the engine serves Version from now on
	EventSwapFailed                      // the swap to Version failed
)

// Event reports a change of a request or of the served weights. One call of Advance reports all tokens that a request
// received under one version as a single event, with their number in Count, the time of the first in First and the time
// of the last in At.
type Event struct {
	At      time.Duration
	First   time.Duration // EventTokens only
	Kind    EventKind
	Request uint64
	Count   int
	Version uint64
}

// Load is an engine's report of its own load and counters, exact at time At.
type Load struct {
	At            time.Duration
	Running       int
	Waiting       int
	WaitingTokens int           // context tokens of the waiting requests, an estimate of the prefill to come
	BlocksHeld    int           // KV blocks used by running sequences
	BlocksCached  int           // KV blocks of the prefix cache that no running sequence uses
	BlocksTotal   int           // KV blocks of the whole memory
	MaxBatch      int           // limit of Running
	StepTime      time.Duration // duration of the last step that was planned
	Steps         uint64        // completed since the start
	Tokens        uint64        // generated since the start
	Prefilled     uint64        // prompt tokens computed since the start
	PrefixHits    uint64        // prompt tokens found in the prefix cache since the start
	Preemptions   uint64        // since the start
	Version       uint64        // served version
	Staged        uint64        // version that is staged or being staged; 0 if none
	Fence         uint64        // highest fencing token seen
	Refusing      bool          // requests are rejected because a failed swap left the weights incomplete
	Crashed       bool
}

// SwapFailure selects how the next swap fails.
type SwapFailure uint8

// The ways a swap can fail.
const (
	SwapSucceeds            SwapFailure = iota
	SwapKeepsOld                        // reported as failed; the old version is still served
	SwapLosesWeights                    // reported as failed; all requests are lost and new ones are rejected until a swap succeeds
	SwapReportsFalseSuccess             // reported as done although the old version is still served
)

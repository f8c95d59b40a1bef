// Package dispatch is the life of one request as a pure state machine: admission, claim, choice of a
// back end, sending, resuming, retrying, finishing, and the verdict that the caller gets. The gateway and
// the simulator drive the same code: events go in, actions come out, and time and randomness are
// arguments.
//
// What the machine guarantees, whatever the order of events:
//
//   - A non-repeatable request is sent only after its claim was granted, which means that the claim is
//     durable in a quorum.
//   - After a byte of a non-repeatable request may have reached a back end, it is never sent again.
//   - The caller is told "did not run" only when no attempt of the request can start later: for a request
//     with a claim, only after the ledger has recorded the refusal.
//   - A cut stream is resumed, replayed or ended with an error; it never looks finished.
package dispatch

import "time"

// Request describes one caller's request. It does not change during the request's life.
type Request struct {
	// Key is the idempotency key in the ledger's name space; empty for a request without a claim.
	Key string
	// Attempt is unique to this arrival of the request at this gateway; claim attempts are made from it.
	Attempt string
	// Owner is the gateway's name and incarnation, kept with the claim.
	Owner string
	// BodyHash identifies the body under the key.
	BodyHash []byte
	// Ticket is the highest ledger index of the key's group that the gateway knew when the request arrived.
	Ticket uint64
	// Repeatable permits a second execution.
	Repeatable bool
	// Streamed means that the caller takes the answer in chunks.
	Streamed bool
	// Replayable means that the whole body is held and can be sent again.
	Replayable bool
	// Continuable means that the back end resumes streams and continues from generated tokens.
	Continuable bool
	// FirstToken is the number of generated tokens that the caller brought with its prompt; offsets count
	// from the start of the whole answer.
	FirstToken uint64
	// Deadline is the moment after which the answer is worth nothing.
	Deadline time.Duration
}

// claimed tells whether the request runs under a claim.
func (r *Request) claimed() bool { return r.Key != "" && !r.Repeatable }

// Settings are the parameters shared by all requests of a gateway.
type Settings struct {
	// MaxTries bounds the sends without progress in between. Default 3: a second replica may share the
	// first one's fault, a third rarely does.
	MaxTries int
	// MaxClaimTries bounds the ClaimBegin attempts of one request. Default 3.
	MaxClaimTries int
	// BackoffBase is the mean pause before the first retry; it doubles with each. Default 5ms.
	BackoffBase time.Duration
	// BackoffLimit bounds the pause between retries and between polls. Default 1s.
	BackoffLimit time.Duration
	// RetryAfter is what a refused caller is told when no better value is known. Default 1s.
	RetryAfter time.Duration
	// Random draws jitter from [0, 1). Required.
	Random func() float64
	// Budget limits retries over all requests. Required.
	Budget Budget
	// Unsafe switches single rules off, to show that the tests notice. Never set outside tests.
	Unsafe Unsafe
}

// Unsafe names the rules that mutation tests switch off.
type Unsafe struct {
	DispatchBeforeClaim bool // send without waiting for the claim's quorum
	TrustLostBegin      bool // take a lost ClaimBegin reply as granted
	SkipLeaseCheck      bool // send though the lease has lapsed
	RetryAfterFirstByte bool // send a non-repeatable request again after its outcome became unknown
	RefuseWithoutLedger bool // say "did not run" without recording the refusal
	TreatCutAsEnd       bool // take a cut stream as finished
}

// Budget limits the retries of all requests together, so that a failing pool is not buried under them.
type Budget interface {
	// Take asks for one retry at the given time and tells whether it may be made.
	Take(now time.Duration) bool
}

// Defaults of Settings.
const (
	DefaultMaxTries      = 3
	DefaultMaxClaimTries = 3
	DefaultBackoffBase   = 5 * time.Millisecond
	DefaultBackoffLimit  = time.Second
	DefaultRetryAfter    = time.Second
)

// WithDefaults fills the fields that are zero.
func (s Settings) WithDefaults() Settings {
	if s.MaxTries == 0 {
		s.MaxTries = DefaultMaxTries
	}
	if s.MaxClaimTries == 0 {
		s.MaxClaimTries = DefaultMaxClaimTries
	}
	if s.BackoffBase == 0 {
		s.BackoffBase = DefaultBackoffBase
	}
	if s.BackoffLimit == 0 {
		s.BackoffLimit = DefaultBackoffLimit
	}
	if s.RetryAfter == 0 {
		s.RetryAfter = DefaultRetryAfter
	}
	return s
}

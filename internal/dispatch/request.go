// Package dispatch implements the lifecycle of one request as a pure state machine: admission, claim, choice of a back
// end, sending, resuming, retrying, finishing, and the verdict for the caller. The gateway and the simulator drive the
// same code: they feed events in and perform the actions that come out. Time and randomness are arguments.
//
// The machine guarantees for any order of events:
//
//   - A non-repeatable request is sent only after its claim was granted and is therefore durable in a quorum.
//   - Once a byte of a non-repeatable request may have reached a back end, the request is never sent again.
//   - The verdict "did not run" is given only if no attempt of the request can start later. For a request with a
//     claim, the ledger must have recorded the refusal first.
//   - An interrupted stream is resumed, replayed or ended with an error. It is never presented as complete.
package dispatch

import "time"

// Request describes one caller's request. It is immutable while the request is processed.
type Request struct {
	// Key is the idempotency key in the ledger's name space; empty for a request without a claim.
	Key string
	// Attempt is unique to this arrival of the request at this gateway. The names of claim attempts derive from it.
	Attempt string
	// Owner is the gateway's name and incarnation, stored with the claim.
	Owner string
	// BodyHash identifies the body. The ledger rejects a second body under the same key.
	BodyHash []byte
	// Ticket is the highest ledger index of the key's group that the gateway knew when the request arrived.
	Ticket uint64
	// Repeatable permits more than one execution.
	Repeatable bool
	// Streamed means that the caller receives the answer in chunks.
	Streamed bool
	// Replayable means that the gateway holds the whole body and can send it again.
	Replayable bool
	// Continuable means that the back end can resume a stream and can continue from already generated tokens.
	Continuable bool
	// FirstToken is the number of generated tokens that the caller sent along with its prompt. Token offsets count from
	// the start of the whole answer, these tokens included.
	FirstToken uint64
	// Deadline is the time, on the driver's clock, after which the caller has no use for the answer.
	Deadline time.Duration
}

// needsClaim reports whether the request runs under a claim.
func (r *Request) needsClaim() bool { return r.Key != "" && !r.Repeatable }

// Settings holds the parameters shared by all requests of a gateway.
type Settings struct {
	// MaxTries bounds the sends of one request without progress in between. Default 3: a second replica may have the
	// same fault as the first one, a third rarely does.
	MaxTries int
	// MaxClaimTries bounds the ClaimBegin attempts of one request. Default 3.
	MaxClaimTries int
	// BackoffBase is the mean pause before the first retry. The pause doubles with each further retry. Default 5ms.
	BackoffBase time.Duration
	// BackoffLimit bounds the mean pause between retries and between polls. Default 1s.
	BackoffLimit time.Duration
	// RetryAfter is the hint for a rejected caller if no better value is known. Default 1s.
	RetryAfter time.Duration
	// Random draws jitter from [0, 1). Required.
	Random func() float64
	// Budget limits the retries of all requests together. Required.
	Budget Budget
	// Unsafe disables single safety rules to show that the tests detect it. Never set outside tests.
	Unsafe Unsafe
}

// Unsafe lists the safety rules that mutation tests disable.
type Unsafe struct {
	DispatchBeforeClaim bool // send without waiting until the claim is durable in a quorum
	TrustLostBegin      bool // treat a ClaimBegin whose reply was lost as granted
	SkipLeaseCheck      bool // send although the lease has lapsed
	RetryAfterFirstByte bool // send a non-repeatable request again after its outcome became unknown
	RefuseWithoutLedger bool // answer "did not run" without recording the refusal
	TreatCutAsEnd       bool // treat an interrupted stream as complete
}

// Budget limits the retries of all requests together, so that retries do not overload a failing pool.
type Budget interface {
	// Take requests one retry at the given time and reports whether it may be made.
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

// WithDefaults returns a copy in which zero fields have their default values.
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

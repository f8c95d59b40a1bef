package dispatch

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// EventKind identifies what happened to a request.
type EventKind uint8

// The kinds of events. The comment on each names the fields of Event that it uses.
const (
	Arrived       EventKind = iota + 1 // the caller's request arrived
	Admitted                           // admission granted a slot
	Refused                            // admission or validation rejected it: Status, Code, Reason, RetryAfter
	ClaimAnswered                      // the outstanding claim command was applied: Claim
	ClaimUnknown                       // it is unknown whether the outstanding claim command is or will be applied
	BackendChosen                      // a back end was chosen: Backend
	Suspected                          // back ends crashed under the request, it must not run now: Reason, RetryAfter
	NoBackend                          // no back end can take the request now: RetryAfter (may be 0)
	LeaseLapsed                        // the last Send, Resume or Replay was not made: no valid lease
	TableChanged                       // the last Send or Replay was not made: chosen on an older table
	SendFailed                         // no byte of the last Send, Resume or Replay reached the back end
	// SendUnknown: the connection failed after the first byte was written and before the end of the answer. Status, Code
	// and Reason are set if the request itself caused the failure.
	SendUnknown
	// RefusedByBackend: the back end states that it did not run the request: RetryAfter (may be 0), Status, Answer
	RefusedByBackend
	Chunk          // tokens of the stream: Offset, Count
	StreamCut      // the stream ended without its end marker
	Completed      // the whole answer or the stream's end marker was received: Answer
	TimerFired     // the pause of the last Wait has passed
	DeadlinePassed // the request's deadline has passed
	CallerGone     // the caller closed its connection
	Preempt        // admission preempts the request for more urgent work
)

// Event is one occurrence in the processing of a request. Kind determines which other fields are used.
type Event struct {
	Kind       EventKind
	Status     int               // HTTP status for the caller
	Code       string            // stable error code
	Reason     string            // human-readable explanation
	RetryAfter time.Duration     // time from now before which a retry is useless
	Claim      *wire.ClaimResult // result of the claim command
	Backend    string            // row name of the chosen back end
	Offset     uint64            // index of the chunk's first token, counted from the start of the answer
	Count      uint64            // number of tokens in the chunk
	Answer     *wire.Answer      // the back end's answer; its body is nil for a stream or if too large to store
}

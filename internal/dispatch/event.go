package dispatch

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// EventKind names what happened to a request.
type EventKind uint8

// The events. Each lists the fields of Event that it uses.
const (
	Arrived          EventKind = iota + 1 // the caller's request is here
	Admitted                              // admission gave a slot
	Refused                               // admission or validation refused: Status, Code, Reason, RetryAfter
	ClaimAnswered                         // the outstanding claim command was applied: Claim
	ClaimUnknown                          // the fate of the outstanding claim command is unknown
	BackendChosen                         // Backend
	Suspected                             // the request must not run now, because back ends crashed under it: Reason, RetryAfter
	BackendNone                           // no back end may take the request now: RetryAfter (may be 0)
	LeaseLapsed                           // the last Send, Resume or Replay was not made: no valid lease
	TableMoved                            // the last Send or Replay was not made: the choice was made on an older table
	SendFailed                            // no byte of the last Send, Resume or Replay reached the back end
	SendUnknown                           // the connection failed after a byte was written and before a whole answer; Status, Code, Reason when the request was to blame
	RefusedByBackend                      // the back end says that it did not run: RetryAfter (may be 0); Status, Answer
	Chunk                                 // tokens of the stream: Offset, Count
	StreamCut                             // the stream ended without its end mark
	Completed                             // the whole answer or the stream's end mark is here: Answer
	TimerFired                            // the last Wait is over
	DeadlinePassed                        // the request's deadline is over
	CallerGone                            // the caller's connection is closed
	Yield                                 // admission wants this request's slot for more urgent work
)

// Event is one thing that happened to a request. Kind says which other fields count.
type Event struct {
	Kind       EventKind
	Status     int               // HTTP status for the caller
	Code       string            // stable error code
	Reason     string            // for a person
	RetryAfter time.Duration     // earliest useful moment to come back, from now
	Claim      *wire.ClaimResult // result of the claim command
	Backend    string            // row name of the chosen back end
	Offset     uint64            // first token of the chunk, counted from the start of the answer
	Count      uint64            // tokens in the chunk
	Answer     *wire.Answer      // the back end's answer; nil body for a stream or when too large to keep
}

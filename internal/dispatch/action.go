package dispatch

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// ActionKind names what the driver has to do.
type ActionKind uint8

// The actions. Each lists the fields of Action that it uses.
const (
	Admit    ActionKind = iota + 1 // ask admission for a slot; answer Admitted or Refused
	FreeSlot                       // give the slot back
	Claim                          // execute the ledger command: Claim; answer ClaimAnswered or ClaimUnknown
	Choose                         // choose a back end: Excluded; answer BackendChosen or BackendNone
	// Send, Resume and Replay are dispatches: the driver checks the lease at the very moment before the
	// first byte and answers LeaseLapsed instead if it is not valid.
	Send    // send the request: Backend
	Resume  // resume the stream at the same back end: Backend, Offset
	Replay  // send the request with the first Offset generated tokens as its prefix: Backend, Offset
	Cancel  // stop the work at the back end: Backend
	Forward // pass the chunk on without its first Skip tokens
	Reply   // give the caller the final answer: Outcome
	Wait    // answer TimerFired after Pause
	Finish  // the request's life is over; nothing is outstanding
)

// ClaimKind names a ledger command of a request.
type ClaimKind uint8

// The ledger commands.
const (
	ClaimBegin ClaimKind = iota + 1
	ClaimFinish
	ClaimRelease
	ClaimRefuse
	ClaimQuery // linearizable read
)

// ClaimAction is one ledger command of a request.
type ClaimAction struct {
	Kind    ClaimKind
	Attempt string          // for all but ClaimQuery; of ClaimRefuse the attempt to release, or empty
	Outcome wire.ClaimState // for ClaimFinish
	Answer  *wire.Answer    // for ClaimFinish; nil when it is not kept
}

// Outcome is the final answer to the caller.
type Outcome struct {
	Status     int
	Verdict    verdict.Verdict
	Code       string        // stable error code; empty when Answer or the stream is the answer
	Reason     string        // for a person
	RetryAfter time.Duration // 0 when the caller need not come back
	Answer     *wire.Answer  // a whole answer to pass on; nil for errors and streams
	Stored     bool          // Answer comes from the ledger, not from this request's own execution
	InStream   bool          // chunks went out before: errors go into the stream as an event
}

// Failed tells whether the outcome is an error of the module rather than the back end's answer.
func (o *Outcome) Failed() bool { return o.Code != "" }

// Action is one thing that the driver has to do. Kind says which other fields count.
type Action struct {
	Kind      ActionKind
	Backend   string
	Excluded  []string // valid until the next Step
	Offset    uint64
	Skip      uint64
	Pause     time.Duration
	Claim     ClaimAction
	Outcome   Outcome
	Unchecked bool // send without a lease; only under Unsafe.SkipLeaseCheck
}

// Command builds the ledger command of a claim action; nil for ClaimQuery. nowUnixMillis is the
// proposer's clock, which only orders retention.
func (r *Request) Command(action ClaimAction, nowUnixMillis int64) *wire.Command {
	switch action.Kind {
	case ClaimBegin:
		return &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{
			Key: r.Key, BodyHash: r.BodyHash, Owner: r.Owner, Attempt: action.Attempt,
			Ticket: r.Ticket, NowUnixMillis: nowUnixMillis}}}
	case ClaimFinish:
		return &wire.Command{Kind: &wire.Command_ClaimFinish{ClaimFinish: &wire.ClaimFinish{
			Key: r.Key, Attempt: action.Attempt, Outcome: action.Outcome, Answer: action.Answer,
			NowUnixMillis: nowUnixMillis}}}
	case ClaimRelease:
		return &wire.Command{Kind: &wire.Command_ClaimRelease{ClaimRelease: &wire.ClaimRelease{
			Key: r.Key, Attempt: action.Attempt, NowUnixMillis: nowUnixMillis}}}
	case ClaimRefuse:
		return &wire.Command{Kind: &wire.Command_ClaimRefuse{ClaimRefuse: &wire.ClaimRefuse{
			Key: r.Key, BodyHash: r.BodyHash, Attempt: action.Attempt, Ticket: r.Ticket, NowUnixMillis: nowUnixMillis}}}
	}
	return nil
}

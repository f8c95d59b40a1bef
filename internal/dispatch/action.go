package dispatch

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// ActionKind identifies an operation that the driver has to perform.
type ActionKind uint8

// The kinds of actions. The comment on each names the fields of Action that it uses.
const (
	Admit    ActionKind = iota + 1 // request a slot from admission; the driver answers with Admitted or Refused
	FreeSlot                       // return the slot to admission
	Claim                          // execute the ledger command in Claim; answered with ClaimAnswered or ClaimUnknown
	Choose                         // choose a back end outside Excluded; answered with BackendChosen or NoBackend
	// Send, Resume and Replay dispatch the request to a back end. The driver checks the lease immediately before it
	// writes the first byte. If the lease is not valid, it writes nothing and answers with LeaseLapsed.
	Send    // send the request: Backend
	Resume  // resume the stream at the same back end: Backend, Offset
	Replay  // send the request with the first Offset generated tokens as its prefix: Backend, Offset
	Cancel  // stop the execution at the back end: Backend
	Forward // forward the current chunk to the caller without its first Skip tokens
	Reply   // give the caller the final answer: Outcome
	Wait    // answer with TimerFired after Pause
	Finish  // release the request; no action is outstanding
)

// ClaimKind identifies a command to the ledger of claims.
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
	Attempt string          // all kinds but ClaimQuery; in ClaimRefuse the attempt to release, or empty
	Outcome wire.ClaimState // ClaimFinish only
	Answer  *wire.Answer    // ClaimFinish only; nil if the answer is not stored
}

// Outcome is the final answer to the caller.
type Outcome struct {
	Status     int
	Verdict    verdict.Verdict
	Code       string        // stable error code; empty if Answer or the stream is the answer
	Reason     string        // human-readable explanation
	RetryAfter time.Duration // 0 if the caller does not have to retry
	Answer     *wire.Answer  // complete answer to forward; nil for errors and streams
	Stored     bool          // Answer was read from the ledger and not produced by this request's execution
	InStream   bool          // chunks were forwarded before, so an error is written into the stream as an event
}

// Failed reports whether the outcome is an error of this package and not the back end's answer.
func (o *Outcome) Failed() bool { return o.Code != "" }

// Action is one operation that the driver has to perform. Kind determines which other fields are used.
type Action struct {
	Kind      ActionKind
	Backend   string
	Excluded  []string // valid until the next Step
	Offset    uint64
	Skip      uint64
	Pause     time.Duration
	Claim     ClaimAction
	Outcome   Outcome
	Unchecked bool // send without a valid lease; set only under Unsafe.SkipLeaseCheck
}

// Command builds the ledger command of a claim action. It returns nil for ClaimQuery, which is a read. nowUnixMillis is
// the proposer's clock in Unix milliseconds; the ledger uses it for retention only.
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

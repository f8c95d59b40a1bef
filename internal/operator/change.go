package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Author names who makes a change and why.
type Author struct {
	Operator string
	Note     string // a note with the word "force" lets a harmful change through
}

// Outcome is the control group's answer to a change.
type Outcome struct {
	Result  *wire.TableResult
	InForce uint64 // version that every process acted on, at least, when the answer was given
	Resent  bool   // the answer to an earlier sending of this change had been lost
}

// Accepted reports whether the change was made.
func (o *Outcome) Accepted() bool {
	return o.Result.GetOutcome() == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED
}

// Submitter sends changes. It stores a change with its id in the pending store before sending it, and removes it once
// the answer is known. When an operator repeats a request whose answer was lost, the stored change is sent again
// under the same id: the change is made at most once, and the operator gets the original answer.
type Submitter struct {
	Control Control
	Pending *PendingStore
	Now     func() time.Time // default: time.Now
}

// NewChange builds the message that carries out a plan, with a new change id.
func NewChange(plan *Plan, author Author, now time.Time) *wire.TableChange {
	return &wire.TableChange{
		ChangeId:     newChangeID(),
		BaseVersion:  plan.Base,
		Cells:        plan.cellChanges(),
		RemoveRows:   plan.RemoveRows,
		Operator:     author.Operator,
		AtUnixMillis: now.UnixMilli(),
		Note:         author.Note,
	}
}

func newChangeID() string {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:])
}

// ResendPending sends the pending change of the same request again. It returns nil without an error if there is none.
// request identifies what the operator asked for, independent of the table's version. An error carries
// verdict.MayHaveRun, because the earlier sending may have been made; exceptions are errors of the pending store.
func (s *Submitter) ResendPending(ctx context.Context, request string, wait bool) (*Outcome, error) {
	change, err := s.Pending.load(pendingKey(request))
	if err != nil || change == nil {
		return nil, err
	}
	outcome, err := Send(ctx, s.Control, change, wait)
	if err != nil {
		// The earlier sending may have been made, whatever happened to this one.
		return nil, newUnknownOutcome(err, change)
	}
	outcome.Resent = true
	return outcome, s.Pending.remove(pendingKey(request), change.ChangeId)
}

// Submit stores the plan's change as pending, then sends it until the answer is known or ctx ends. The change stays
// pending after an error that carries verdict.MayHaveRun.
func (s *Submitter) Submit(ctx context.Context, request string, plan *Plan, author Author, wait bool) (*Outcome, error) {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	change := NewChange(plan, author, now())
	if err := s.Pending.save(pendingKey(request), change); err != nil {
		return nil, err
	}
	outcome, err := Send(ctx, s.Control, change, wait)
	if err != nil && verdict.Of(err) != verdict.DidNotRun {
		return nil, newUnknownOutcome(err, change)
	}
	return outcome, trace.NewAggregate(err, s.Pending.remove(pendingKey(request), change.ChangeId))
}

// Send sends a change, with retries, until the answer is known or ctx ends. An error carries a verdict; after
// MayHaveRun the outcome can be learnt by sending the same change again.
func Send(ctx context.Context, control Control, change *wire.TableChange, wait bool) (*Outcome, error) {
	result, inForce, err := control.ChangeTable(ctx, proto.CloneOf(change), wait)
	if err != nil {
		return nil, err
	}
	return &Outcome{Result: result, InForce: inForce}, nil
}

// newUnknownOutcome wraps the cause of a lost answer with instructions for the operator.
func newUnknownOutcome(cause error, change *wire.TableChange) error {
	return verdict.Wrap(verdict.MayHaveRun, cause,
		"the answer to change %s was lost; run the same command again to learn it: the change is made at most once", change.ChangeId)
}

// pendingKey returns a request's key in the pending store, which is also a file name.
func pendingKey(request string) string {
	digest := sha256.Sum256([]byte(request))
	return hex.EncodeToString(digest[:16])
}

// Write prints the outcome; of a refused change, one line for each refused cell.
func (o *Outcome) Write(out io.Writer) error {
	var lines []string
	if o.Resent {
		lines = append(lines, fmt.Sprintf("sent change %s again, whose answer had been lost", o.Result.ChangeId))
	}
	switch {
	case !o.Accepted():
		lines = append(lines, fmt.Sprintf("refused at version %d, nothing was changed", o.Result.Version))
		for _, refusal := range o.Result.Refusals {
			lines = append(lines, "  "+FormatRefusal(refusal))
		}
	case o.InForce >= o.Result.Version:
		lines = append(lines, fmt.Sprintf("accepted version %d, in force everywhere", o.Result.Version))
	default:
		lines = append(lines, fmt.Sprintf("accepted version %d, in force everywhere within the lease bound (now: version %d)", o.Result.Version, o.InForce))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// FormatRefusal returns a refusal as a line for people.
func FormatRefusal(refusal *wire.CellRefusal) string {
	place := refusal.Row
	if refusal.Column != "" {
		place += " " + refusal.Column
	}
	if place != "" {
		place += ": "
	}
	text := place + refusal.Reason
	if refusal.ChangedVersion != 0 {
		text += fmt.Sprintf("; now %s, set by %s in version %d", displayValue(refusal.CurrentValue), refusal.ChangedBy, refusal.ChangedVersion)
	}
	return text
}

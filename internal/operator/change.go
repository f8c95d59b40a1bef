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

// Author says who makes a change and why.
type Author struct {
	Operator string
	Note     string // a note with the word "force" lets a harmful change through
}

// Outcome is what came of a change.
type Outcome struct {
	Result  *wire.TableResult
	InForce uint64 // version known to be in force everywhere when the answer was given
	Resent  bool   // an earlier sending of the same change had lost its answer
}

// Accepted says whether the change was made.
func (o *Outcome) Accepted() bool {
	return o.Result.GetOutcome() == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED
}

// Submitter sends changes. Before a change is sent it is kept, with its id, in the pending store, and it
// is dropped from there once its answer is known. When the same change is asked for again after its
// answer was lost, the kept one is sent again, so that it is made at most once and its true answer told.
type Submitter struct {
	Control Control
	Pending *PendingStore
	Now     func() time.Time // default time.Now
}

// NewChange makes the change of a plan, with a new id.
func NewChange(plan *Plan, author Author, now time.Time) *wire.TableChange {
	return &wire.TableChange{
		ChangeId:     newChangeID(),
		BaseVersion:  plan.Base,
		Cells:        plan.cells(),
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

// Settle sends a kept change of the same request again, if there is one. It returns nil without an error
// if there is none. request names what the operator asked for, whatever the table's version.
func (s *Submitter) Settle(ctx context.Context, request string, wait bool) (*Outcome, error) {
	change, err := s.Pending.load(pendingKey(request))
	if err != nil || change == nil {
		return nil, err
	}
	outcome, err := Send(ctx, s.Control, change, wait)
	if err != nil {
		return nil, lost(err, change) // the earlier sending may have worked, whatever became of this one
	}
	outcome.Resent = true
	return outcome, s.Pending.drop(pendingKey(request), change.ChangeId)
}

// Submit keeps the plan's change and sends it until its answer is known or ctx ends.
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
		return nil, lost(err, change)
	}
	return outcome, trace.NewAggregate(err, s.Pending.drop(pendingKey(request), change.ChangeId))
}

// Send sends a change, or sends it again, until its answer is known or ctx ends. An error carries a
// verdict; one of MayHaveRun is settled by sending the same change again.
func Send(ctx context.Context, control Control, change *wire.TableChange, wait bool) (*Outcome, error) {
	result, inForce, err := control.ChangeTable(ctx, proto.CloneOf(change), wait)
	if err != nil {
		return nil, err
	}
	return &Outcome{Result: result, InForce: inForce}, nil
}

func lost(cause error, change *wire.TableChange) error {
	return verdict.Wrap(verdict.MayHaveRun, cause,
		"the answer to change %s was lost; run the same command again to learn it: the change is made at most once", change.ChangeId)
}

func pendingKey(request string) string {
	digest := sha256.Sum256([]byte(request))
	return hex.EncodeToString(digest[:16])
}

// Write says what came of a change, refused changes cell by cell.
func (o *Outcome) Write(out io.Writer) error {
	var lines []string
	if o.Resent {
		lines = append(lines, fmt.Sprintf("sent change %s again, whose answer had been lost", o.Result.ChangeId))
	}
	switch {
	case !o.Accepted():
		lines = append(lines, fmt.Sprintf("refused at version %d, nothing was changed", o.Result.Version))
		for _, refusal := range o.Result.Refusals {
			lines = append(lines, "  "+RefusalText(refusal))
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

// RefusalText is one refusal for people.
func RefusalText(refusal *wire.CellRefusal) string {
	place := refusal.Row
	if refusal.Column != "" {
		place += " " + refusal.Column
	}
	if place != "" {
		place += ": "
	}
	text := place + refusal.Reason
	if refusal.ChangedVersion != 0 {
		text += fmt.Sprintf("; now %s, set by %s in version %d", shown(refusal.CurrentValue), refusal.ChangedBy, refusal.ChangedVersion)
	}
	return text
}

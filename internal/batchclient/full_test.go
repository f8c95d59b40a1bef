package batchclient

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// answeringLedger answers each command with the same reply.
type answeringLedger struct {
	Ledger
	reply *wire.JobReply
}

func (l answeringLedger) Execute(context.Context, uint32, *wire.Command) (*wire.Result, error) {
	return &wire.Result{Kind: &wire.Result_Job{Job: l.reply}}, nil
}

// TestFullStoreIsReportedAsNotRun: if a job that was rejected for lack of space is answered as if it might run, its
// caller waits for results until the deadline. If no attempt was proposed to the ledger, the error must say that the
// job did not run, and when there will be space.
func TestFullStoreIsReportedAsNotRun(t *testing.T) {
	full := wire.JobOutcome_JOB_OUTCOME_FULL
	for name, example := range map[string]struct {
		reply  *wire.JobReply
		want   verdict.Verdict
		roomIn time.Duration
	}{
		"not proposed":              {&wire.JobReply{Outcome: full, Unproposed: true, RoomInMillis: 2500}, verdict.DidNotRun, 2500 * time.Millisecond},
		"an earlier attempt may be": {&wire.JobReply{Outcome: full}, verdict.MayHaveRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			err := New(answeringLedger{reply: example.reply}, viewOf(t)).Submit(context.Background(), &Job{ID: "j", Route: "route-a"})
			var refused *FullError
			if verdict.Of(err) != example.want || errors.As(err, &refused) != (example.roomIn > 0) {
				t.Fatalf("unexpected verdict or error type: %v", err)
			}
			if refused != nil && refused.SpaceIn != example.roomIn {
				t.Errorf("FullError.SpaceIn is %v", refused.SpaceIn)
			}
		})
	}
}

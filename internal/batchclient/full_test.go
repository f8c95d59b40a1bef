package batchclient

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// answeringLedger answers each command with one reply.
type answeringLedger struct {
	Ledger
	reply *wire.JobReply
}

func (l answeringLedger) Execute(context.Context, uint32, *wire.Command) (*wire.Result, error) {
	return &wire.Result{Kind: &wire.Result_Job{Job: l.reply}}, nil
}

// TestJobsWithoutRoomAreRefusedAsNotRun: jobs that found no room were answered as if they might run, so that their callers waited
// for results until the deadline. Where no attempt was proposed, the answer says so, and when there will be room.
func TestJobsWithoutRoomAreRefusedAsNotRun(t *testing.T) {
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
				t.Fatalf("%v", err)
			}
			if refused != nil && refused.RoomIn != example.roomIn {
				t.Errorf("room in %v", refused.RoomIn)
			}
		})
	}
}

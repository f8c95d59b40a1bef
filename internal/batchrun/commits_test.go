package batchrun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// slowGroup takes a fixed time to apply a command, and counts the proposals.
type slowGroup struct {
	Group
	applyTime time.Duration
	proposals int
}

func (g *slowGroup) Propose(ctx context.Context, _ *wire.Command) (*wire.Result, error) {
	g.proposals++
	select {
	case <-time.After(g.applyTime):
		return &wire.Result{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A disk takes 10 s for a commit. With a fixed timeout of 2 s per attempt, each proposal is abandoned but still
// appended to the log, and none is ever acknowledged. The timeout must grow until an attempt succeeds.
func TestSlowCommitsAreNotProposedRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &slowGroup{applyTime: 10 * time.Second}
		config := &Config{Group: group, Session: &fakeSession{}, Caller: &fakeReplicas{}}
		if err := config.setDefaults(); err != nil {
			t.Fatal(err)
		}
		writer := newCommitter(config, newRunnerMetrics())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if done := writer.commit(ctx, &wire.JobStore{}, nil); !done || group.proposals > 4 {
			t.Errorf("committed: %t, after %d proposals within a minute; want true after at most 4", done, group.proposals)
		}
	})
}

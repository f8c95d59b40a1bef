package batchrun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// slowGroup applies each command after a time, whether its proposer still waits or not.
type slowGroup struct {
	Group
	takes     time.Duration
	proposals int
}

func (g *slowGroup) Propose(ctx context.Context, _ *wire.Command) (*wire.Result, error) {
	g.proposals++
	select {
	case <-time.After(g.takes):
		return &wire.Result{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestSlowCommitsAreNotPiledUp: a disk takes 10 s for a commit. Proposals that are given up after 2 s each are in the log all the same,
// and the one that would be answered never came.
func TestSlowCommitsAreNotPiledUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &slowGroup{takes: 10 * time.Second}
		config := &Config{Group: group, Session: &fakeSession{}, Caller: &fakeReplicas{}}
		if err := config.setDefaults(); err != nil {
			t.Fatal(err)
		}
		writer := newCommits(config, newCounts())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if done := writer.commit(ctx, &wire.JobStore{}, nil); !done || group.proposals > 4 {
			t.Errorf("committed %t after %d proposals in a minute", done, group.proposals)
		}
	})
}

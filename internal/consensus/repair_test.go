package consensus

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// TestLoseAnotherBeforeCatchUp loses a second node while the first one's replacement has not caught up: it can't
// be promoted and nothing is acknowledged; once the second is back with its disk everything goes on.
func TestLoseAnotherBeforeCatchUp(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit(0, "kept")
	leader := c.leader(0)
	lost, second := c.nodes[leader.id%3+1], c.nodes[(leader.id+1)%3+1]
	lost.kill()
	fresh := c.add(4, nil)
	fresh.join = true
	fresh.start()
	c.network.isolate(4, true, 1, 2, 3)
	c.manage("add the learner", 0, func(ctx context.Context, host *Host) error { return host.AddLearner(ctx, 0, 4) }, raft.ErrAlreadyMember)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := c.leader(0).host.Promote(ctx, 0, 4); !errors.Is(err, raft.ErrNotCaughtUp) {
		t.Fatalf("promotion of a node without the log: %v", err)
	}
	second.kill()
	c.network.isolate(4, false, 1, 2, 3)
	short, cancelShort := context.WithTimeout(context.Background(), time.Second)
	defer cancelShort()
	if _, _, err := leader.host.Propose(short, 0, named("alone")); err == nil {
		t.Fatal("one voter of three acknowledged a command")
	}
	second.start()
	c.manage("promote it", 0, func(ctx context.Context, host *Host) error { return host.Promote(ctx, 0, 4) }, raft.ErrAlreadyMember)
	c.manage("remove the lost node", 0, func(ctx context.Context, host *Host) error { return host.Remove(ctx, 0, lost.id) }, raft.ErrNotMember)
	c.commit(0, "after")
	c.wait("the replacement holds everything", func() bool {
		applied := fresh.localList(0)
		return slices.Contains(applied, "kept") && slices.Contains(applied, "after")
	})
}

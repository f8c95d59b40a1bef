package consensus

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// TestLoseSecondNodeBeforeReplacementCatchesUp loses a second node before the replacement of the first one has caught
// up. The replacement must not be promoted and no command acknowledged. Once the second node is back with its disk,
// the replacement must be completed.
func TestLoseSecondNodeBeforeReplacementCatchesUp(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit(0, "kept")
	leader := c.leader(0)
	lost, second := c.nodes[leader.id%3+1], c.nodes[(leader.id+1)%3+1]
	lost.kill()
	replacement := c.add(4, nil)
	replacement.join = true
	replacement.start()
	c.network.isolate(4, true, 1, 2, 3)
	c.retryMembershipChange("add the learner", 0, func(ctx context.Context, host *Host) error { return host.AddLearner(ctx, 0, 4) }, raft.ErrAlreadyMember)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := c.leader(0).host.Promote(ctx, 0, 4); !errors.Is(err, raft.ErrNotCaughtUp) {
		t.Fatalf("promoting a node without the log returned %v, want raft.ErrNotCaughtUp", err)
	}
	second.kill()
	c.network.isolate(4, false, 1, 2, 3)
	short, cancelShort := context.WithTimeout(context.Background(), time.Second)
	defer cancelShort()
	if _, _, err := leader.host.Propose(short, 0, newCommand("alone")); err == nil {
		t.Fatal("one voter of three acknowledged a command")
	}
	second.start()
	c.retryMembershipChange("promote it", 0, func(ctx context.Context, host *Host) error { return host.Promote(ctx, 0, 4) }, raft.ErrAlreadyMember)
	c.retryMembershipChange("remove the lost node", 0, func(ctx context.Context, host *Host) error { return host.Remove(ctx, 0, lost.id) }, raft.ErrNotMember)
	c.commit(0, "after")
	c.wait("the replacement holds everything", func() bool {
		applied := replacement.appliedLocally(0)
		return slices.Contains(applied, "kept") && slices.Contains(applied, "after")
	})
}

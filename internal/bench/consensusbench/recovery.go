package consensusbench

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	recoveryGroup  uint32 = 1 // the group whose leader is killed and whose log is measured
	proposeTimeout        = 100 * time.Millisecond
	fillers               = 256 // concurrent proposers that fill a log
)

// leaderLoss stops the leader abruptly, again and again, and measures the time to the next commit.
func (r *run) leaderLoss(ctx context.Context) error {
	c, err := r.startCluster("leader-loss", nil)
	if err != nil {
		return err
	}
	defer c.close()
	source := &claims{prefix: "loss", groups: r.config.LedgerGroups}
	var losses []time.Duration
	for range r.config.Kills {
		leader, err := c.leader(ctx, recoveryGroup)
		if err != nil {
			return err
		}
		begin := time.Now()
		leader.kill()
		if err := c.commitSomewhere(ctx, source); err != nil {
			return err
		}
		losses = append(losses, time.Since(begin))
		if err := c.start(leader, false); err != nil {
			return err
		}
		if err := c.level(ctx, leader); err != nil {
			return err
		}
	}
	slices.Sort(losses)
	r.report.LeaderLoss = Sample{Count: len(losses), Median: millis(losses[len(losses)/2]), Min: millis(losses[0]),
		Max: millis(losses[len(losses)-1])}
	return nil
}

// commitSomewhere offers a command to all running nodes in turn until one commits it.
func (c *cluster) commitSomewhere(ctx context.Context, source *claims) error {
	_, command := source.begin()
	return c.resend(ctx, command)
}

// resend offers a command whose fate may be unknown to all running nodes in turn until one commits it.
func (c *cluster) resend(ctx context.Context, command *wire.Command) error {
	deadline := time.Now().Add(leaderWait)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		for _, node := range c.nodes {
			if node.host == nil {
				continue
			}
			attempt, cancel := context.WithTimeout(ctx, proposeTimeout)
			_, _, err := node.host.Propose(attempt, recoveryGroup, command)
			cancel()
			if err == nil {
				return nil
			}
		}
		time.Sleep(leaderPoll)
	}
	return trace.LimitExceeded("nothing was committed after the loss of the leader")
}

// level waits until a node has applied all that its group's leader has committed.
func (c *cluster) level(ctx context.Context, n *node) error {
	leader, err := c.leader(ctx, recoveryGroup)
	if err != nil {
		return err
	}
	status, err := leader.host.Status(ctx, recoveryGroup)
	if err != nil {
		return err
	}
	return n.applied(ctx, recoveryGroup, status.Commit)
}

// fill commits a number of claims in the measured group and returns its leader. An election meanwhile, as on a
// busy machine, costs time and no claim.
func (c *cluster) fill(ctx context.Context, prefix string, count int) (*node, error) {
	leader, err := c.leader(ctx, recoveryGroup)
	if err != nil {
		return nil, err
	}
	source := &claims{prefix: prefix, groups: 1}
	running, fillCtx := errgroup.WithContext(ctx)
	running.SetLimit(fillers)
	for range count {
		running.Go(func() error {
			_, command := source.begin()
			if _, _, err := leader.host.Propose(fillCtx, recoveryGroup, command); err != nil {
				return c.resend(fillCtx, command)
			}
			return nil
		})
	}
	if err := running.Wait(); err != nil {
		return nil, err
	}
	return c.leader(ctx, recoveryGroup)
}

// follower returns a running node other than the leader.
func (c *cluster) follower(leader *node) *node {
	for _, node := range c.nodes {
		if node != leader {
			return node
		}
	}
	return nil
}

// keepLog keeps nodes from compacting, so that the whole log is replayed.
func (r *run) keepLog(config *consensus.Config) {
	config.SnapshotEntries = 100 * (r.config.Entries + r.config.Changes + r.config.SnapshotClaims)
}

// restart measures how long a node takes to open its folder and apply a log without a snapshot.
func (r *run) restart(ctx context.Context) error {
	c, err := r.startCluster("restart", r.keepLog)
	if err != nil {
		return err
	}
	defer c.close()
	leader, err := c.fill(ctx, "restart", r.config.Entries)
	if err != nil {
		return err
	}
	restarted := c.follower(leader)
	if err := c.level(ctx, restarted); err != nil {
		return err
	}
	restarted.kill()
	begin := time.Now()
	if err := c.start(restarted, false); err != nil {
		return err
	}
	if err := c.level(ctx, restarted); err != nil {
		return err
	}
	r.report.Restart = Restart{Entries: r.config.Entries, Millis: millis(time.Since(begin))}
	return nil
}

// catchUp measures how long a node takes that missed hundreds of changes, from its start.
func (r *run) catchUp(ctx context.Context) error {
	c, err := r.startCluster("catch-up", nil)
	if err != nil {
		return err
	}
	defer c.close()
	leader, err := c.fill(ctx, "before", 1)
	if err != nil {
		return err
	}
	missing := c.follower(leader)
	missing.kill()
	if _, err := c.fill(ctx, "missed", r.config.Changes); err != nil {
		return err
	}
	begin := time.Now()
	if err := c.start(missing, false); err != nil {
		return err
	}
	if err := c.level(ctx, missing); err != nil {
		return err
	}
	r.report.CatchUp = CatchUp{Changes: r.config.Changes, Millis: millis(time.Since(begin))}
	return nil
}

// snapshot measures how long an empty learner takes to get the whole state as a snapshot.
func (r *run) snapshot(ctx context.Context) error {
	c, err := r.startCluster("snapshot", func(config *consensus.Config) { config.SnapshotEntries = r.config.SnapshotClaims })
	if err != nil {
		return err
	}
	defer c.close()
	leader, err := c.fill(ctx, "snapshot", r.config.SnapshotClaims+1)
	if err != nil {
		return err
	}
	if err := leader.compacted(ctx, recoveryGroup); err != nil {
		return err
	}
	const learnerID = nodeCount + 1
	if err := c.add(learnerID, "snapshot"); err != nil {
		return err
	}
	learner := c.nodes[nodeCount]
	if err := c.start(learner, true); err != nil {
		return err
	}
	begin := time.Now()
	if err := leader.host.AddLearner(ctx, recoveryGroup, learnerID); err != nil && !errors.Is(err, raft.ErrAlreadyMember) {
		return err
	}
	if err := c.level(ctx, learner); err != nil {
		return err
	}
	elapsed := time.Since(begin)
	restored, err := learner.store.Load(recoveryGroup)
	if err != nil {
		return err
	}
	if restored.Snapshot.Index == 0 {
		return trace.NotFound("the learner got no snapshot")
	}
	view, err := learner.host.LocalQuery(ctx, recoveryGroup, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return err
	}
	r.report.Snapshot = SnapshotTransfer{Claims: int(view.GetStatus().GetClaims()), Bytes: len(restored.Snapshot.Data), Millis: millis(elapsed)}
	return nil
}

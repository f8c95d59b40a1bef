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
	recoveryGroup          uint32 = 1 // ledger group whose leader is stopped and whose log is measured
	proposeTimeout                = 100 * time.Millisecond
	maxConcurrentProposals        = 256 // maximum number of concurrent proposals of fillLog
)

// measureLeaderLoss repeatedly stops the leader without a handover and measures the time until the next commit. The
// stopped node is restarted and has caught up before the next repetition.
func (r *run) measureLeaderLoss(ctx context.Context) error {
	c, err := r.startCluster("leader-loss", nil)
	if err != nil {
		return err
	}
	defer c.close()
	source := &claimGenerator{prefix: "loss", groups: r.config.LedgerGroups}
	var losses []time.Duration
	for range r.config.Kills {
		leader, err := c.waitForLeader(ctx, recoveryGroup)
		if err != nil {
			return err
		}
		begin := time.Now()
		leader.kill()
		if err := c.commitClaim(ctx, source); err != nil {
			return err
		}
		losses = append(losses, time.Since(begin))
		if err := c.startNode(leader, false); err != nil {
			return err
		}
		if err := c.waitCaughtUp(ctx, leader); err != nil {
			return err
		}
	}
	slices.Sort(losses)
	r.report.LeaderLoss = Summary{Count: len(losses), Median: millis(losses[len(losses)/2]), Min: millis(losses[0]),
		Max: millis(losses[len(losses)-1])}
	return nil
}

// commitClaim proposes a new claim to all running nodes in turn until one commits it.
func (c *cluster) commitClaim(ctx context.Context, source *claimGenerator) error {
	_, command := source.next()
	return c.proposeUntilCommitted(ctx, command)
}

// proposeUntilCommitted proposes a command to all running nodes in turn until one commits it, and fails after
// leaderWait. An earlier attempt with the same command may have been committed.
func (c *cluster) proposeUntilCommitted(ctx context.Context, command *wire.Command) error {
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

// waitCaughtUp waits until the node has applied all entries that the leader of recoveryGroup has committed at the call.
func (c *cluster) waitCaughtUp(ctx context.Context, n *node) error {
	leader, err := c.waitForLeader(ctx, recoveryGroup)
	if err != nil {
		return err
	}
	status, err := leader.host.Status(ctx, recoveryGroup)
	if err != nil {
		return err
	}
	return n.waitApplied(ctx, recoveryGroup, status.Commit)
}

// fillLog commits count claims in recoveryGroup and returns the group's leader. An election meanwhile, which can happen
// on a busy machine, costs time but no claim, because claims that the old leader did not commit are proposed again.
func (c *cluster) fillLog(ctx context.Context, prefix string, count int) (*node, error) {
	leader, err := c.waitForLeader(ctx, recoveryGroup)
	if err != nil {
		return nil, err
	}
	source := &claimGenerator{prefix: prefix, groups: 1}
	running, fillCtx := errgroup.WithContext(ctx)
	running.SetLimit(maxConcurrentProposals)
	for range count {
		running.Go(func() error {
			_, command := source.next()
			if _, _, err := leader.host.Propose(fillCtx, recoveryGroup, command); err != nil {
				return c.proposeUntilCommitted(fillCtx, command)
			}
			return nil
		})
	}
	if err := running.Wait(); err != nil {
		return nil, err
	}
	return c.waitForLeader(ctx, recoveryGroup)
}

// pickFollower returns the first node that is not the leader. All nodes must be running.
func (c *cluster) pickFollower(leader *node) *node {
	for _, node := range c.nodes {
		if node != leader {
			return node
		}
	}
	return nil
}

// disableCompaction sets the snapshot interval so high that nodes never compact their logs, so that a restarted node
// replays the whole log.
func (r *run) disableCompaction(config *consensus.Config) {
	config.SnapshotEntries = 100 * (r.config.Entries + r.config.Changes + r.config.SnapshotClaims)
}

// measureRestart measures how long a node takes to open its folder and apply its log without a snapshot.
func (r *run) measureRestart(ctx context.Context) error {
	c, err := r.startCluster("restart", r.disableCompaction)
	if err != nil {
		return err
	}
	defer c.close()
	leader, err := c.fillLog(ctx, "restart", r.config.Entries)
	if err != nil {
		return err
	}
	restarted := c.pickFollower(leader)
	if err := c.waitCaughtUp(ctx, restarted); err != nil {
		return err
	}
	restarted.kill()
	begin := time.Now()
	if err := c.startNode(restarted, false); err != nil {
		return err
	}
	if err := c.waitCaughtUp(ctx, restarted); err != nil {
		return err
	}
	r.report.Restart = Restart{Entries: r.config.Entries, Millis: millis(time.Since(begin))}
	return nil
}

// measureCatchUp measures the time from the start of a node that missed entries until it has applied them.
func (r *run) measureCatchUp(ctx context.Context) error {
	c, err := r.startCluster("catch-up", nil)
	if err != nil {
		return err
	}
	defer c.close()
	leader, err := c.fillLog(ctx, "before", 1)
	if err != nil {
		return err
	}
	stopped := c.pickFollower(leader)
	stopped.kill()
	if _, err := c.fillLog(ctx, "missed", r.config.Changes); err != nil {
		return err
	}
	begin := time.Now()
	if err := c.startNode(stopped, false); err != nil {
		return err
	}
	if err := c.waitCaughtUp(ctx, stopped); err != nil {
		return err
	}
	r.report.CatchUp = CatchUp{Changes: r.config.Changes, Millis: millis(time.Since(begin))}
	return nil
}

// measureSnapshot measures how long an empty learner takes to receive the whole state as a snapshot and apply it.
func (r *run) measureSnapshot(ctx context.Context) error {
	c, err := r.startCluster("snapshot", func(config *consensus.Config) { config.SnapshotEntries = r.config.SnapshotClaims })
	if err != nil {
		return err
	}
	defer c.close()
	leader, err := c.fillLog(ctx, "snapshot", r.config.SnapshotClaims+1)
	if err != nil {
		return err
	}
	if err := leader.waitCompacted(ctx, recoveryGroup); err != nil {
		return err
	}
	const learnerID = nodeCount + 1
	if err := c.addNode(learnerID, "snapshot"); err != nil {
		return err
	}
	learner := c.nodes[nodeCount]
	if err := c.startNode(learner, true); err != nil {
		return err
	}
	begin := time.Now()
	if err := leader.host.AddLearner(ctx, recoveryGroup, learnerID); err != nil && !errors.Is(err, raft.ErrAlreadyMember) {
		return err
	}
	if err := c.waitCaughtUp(ctx, learner); err != nil {
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

package raft

import (
	"errors"
	"testing"
)

// TestPromotionBeforeCatchUpIsRefused guards against a learner that votes before it holds the log. The learner is
// disconnected, so that it cannot catch up.
func TestPromotionBeforeCatchUpIsRefused(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustElectLeader(t, 60)
	c.add(9, Snapshot{})
	c.isolated[9] = true
	change := func(kind ChangeKind, node uint64) error {
		_, _, err := leader.node.ProposeChange(ConfigurationChange{Kind: kind, Node: node})
		return err
	}
	if err := change(AddLearner, 9); err != nil {
		t.Fatal(err)
	}
	if err := change(RemoveNode, 9); !errors.Is(err, ErrChangePending) {
		t.Fatalf("a second change while one is pending: got error %v, want ErrChangePending", err)
	}
	c.runTicks(5)
	if err := change(PromoteLearner, 9); !errors.Is(err, ErrNotCaughtUp) {
		t.Fatalf("promotion of a learner without the log: got error %v, want ErrNotCaughtUp", err)
	}
	c.isolated[9] = false
	c.runTicks(2 * leader.node.config.ElectionTicks)
	if err := change(PromoteLearner, 9); err != nil {
		t.Fatalf("promotion of a learner that has caught up: %v", err)
	}
}

// TestChangeThatRisksTheQuorumIsRefused guards against changes that leave the group without a working quorum. One of
// three voters is disconnected: removing an active one would do that, removing the disconnected one does not.
func TestChangeThatRisksTheQuorumIsRefused(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustElectLeader(t, 60)
	silent, heard := leader.id%3+1, (leader.id+1)%3+1
	c.isolated[silent] = true
	c.runTicks(2 * leader.node.config.ElectionTicks)
	remove := func(node uint64) error {
		_, _, err := leader.node.ProposeChange(ConfigurationChange{Kind: RemoveNode, Node: node})
		return err
	}
	if err := remove(heard); !errors.Is(err, ErrQuorumAtRisk) {
		t.Fatalf("removal of a voter that is needed: got error %v, want ErrQuorumAtRisk", err)
	}
	if err := remove(silent); err != nil {
		t.Fatalf("removal of the silent voter: %v", err)
	}
	c.runTicks(5)
	if got := leader.node.configuration(); len(got.Voters) != 2 || got.IsVoter(silent) {
		t.Fatalf("got configuration %+v, want the two remaining voters", got)
	}
}

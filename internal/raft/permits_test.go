package raft

import (
	"errors"
	"testing"
)

// TestPromotionBeforeCatchUpIsRefused keeps a learner from the log: it must not vote before it has it.
func TestPromotionBeforeCatchUpIsRefused(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustLead(t, 60)
	c.add(9, Snapshot{})
	c.cut[9] = true
	change := func(kind ChangeKind, node uint64) error {
		_, _, err := leader.node.ProposeChange(ConfigurationChange{Kind: kind, Node: node})
		return err
	}
	if err := change(AddLearner, 9); err != nil {
		t.Fatal(err)
	}
	if err := change(RemoveNode, 9); !errors.Is(err, ErrChangePending) {
		t.Fatalf("a second change at once: %v", err)
	}
	c.settle(5)
	if err := change(PromoteLearner, 9); !errors.Is(err, ErrNotCaughtUp) {
		t.Fatalf("a learner without the log: %v", err)
	}
	c.cut[9] = false
	c.settle(2 * leader.node.config.ElectionTicks)
	if err := change(PromoteLearner, 9); err != nil {
		t.Fatalf("a learner that has caught up: %v", err)
	}
}

// TestChangeThatRisksTheQuorumIsRefused has one voter silent: taking out another that is heard would leave the
// group without a working quorum; taking out the silent one does not.
func TestChangeThatRisksTheQuorumIsRefused(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustLead(t, 60)
	silent, heard := leader.id%3+1, (leader.id+1)%3+1
	c.cut[silent] = true
	c.settle(2 * leader.node.config.ElectionTicks)
	remove := func(node uint64) error {
		_, _, err := leader.node.ProposeChange(ConfigurationChange{Kind: RemoveNode, Node: node})
		return err
	}
	if err := remove(heard); !errors.Is(err, ErrQuorumAtRisk) {
		t.Fatalf("removal of a voter that is needed: %v", err)
	}
	if err := remove(silent); err != nil {
		t.Fatalf("removal of the silent voter: %v", err)
	}
	c.settle(5)
	if got := leader.node.configuration(); len(got.Voters) != 2 || got.IsVoter(silent) {
		t.Fatalf("configuration %+v", got)
	}
}

package raft

import (
	"math/rand"
	"testing"
)

func testCluster(t *testing.T, voters int, unsafe Unsafe) *cluster {
	t.Helper()
	c := newCluster(rand.New(rand.NewSource(1)), Config{RetainedEntries: 1, Unsafe: unsafe}, voters)
	t.Cleanup(func() {
		if c.check.violation != "" {
			t.Errorf("%s\n%s", c.check.violation, c.describe())
		}
	})
	return c
}

func (c *cluster) mustLead(t *testing.T, ticks int) *machine {
	t.Helper()
	c.settle(ticks)
	leader := c.leader()
	if leader == nil {
		t.Fatalf("no leader after %d ticks:\n%s", ticks, c.describe())
	}
	return leader
}

func TestReplicatesToAll(t *testing.T) {
	for _, voters := range []int{1, 3, 5} {
		c := testCluster(t, voters, Unsafe{})
		leader := c.mustLead(t, 60)
		for range 100 {
			if err := c.propose(leader); err != nil {
				t.Fatal(err)
			}
		}
		c.read(leader)
		c.settle(2)
		if c.check.entries != voters*101 || c.check.reads != 1 {
			t.Fatalf("%d voters applied %d entries and served %d reads", voters, c.check.entries, c.check.reads)
		}
	}
}

func TestLearnerGetsSnapshotAndIsPromoted(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustLead(t, 60)
	for range 50 {
		if err := c.propose(leader); err != nil {
			t.Fatal(err)
		}
	}
	c.settle(2)
	c.compact(leader)
	c.add(9, Snapshot{})
	change := func(kind ChangeKind, node uint64) {
		t.Helper()
		if _, _, err := leader.node.ProposeChange(ConfigurationChange{Kind: kind, Node: node}); err != nil {
			t.Fatalf("%v\n%s", err, c.describe())
		}
		c.settle(5)
	}
	change(AddLearner, 9)
	if c.check.snapshots != 1 {
		t.Fatalf("%d snapshots", c.check.snapshots)
	}
	change(PromoteLearner, 9)
	removed := leader.id%3 + 1
	change(RemoveNode, removed)
	if got := c.machine(9).node.configuration(); !got.IsVoter(9) || got.IsVoter(removed) || len(got.Voters) != 3 {
		t.Fatalf("configuration %+v", got)
	}
}

func TestCompactedLogHoldsTooManyBytes(t *testing.T) {
	const size, written = 1000, 100
	for _, example := range []struct{ entries, bytes, held int }{
		{50, size * written, 50}, {50, 10*size + size/2, 10}, {50, size - 1, 0}, {2 * written, 2 * size * written, written},
	} {
		c := newCluster(rand.New(rand.NewSource(1)), Config{RetainedEntries: example.entries, RetainedBytes: example.bytes}, 1)
		node := c.mustLead(t, 60).node
		for range written {
			if _, _, err := node.Propose(make([]byte, size)); err != nil {
				t.Fatal(err)
			}
		}
		c.settle(2)
		if _, err := node.Compact(node.log.applied, nil); err != nil {
			t.Fatal(err)
		}
		if held := node.log.bytes(node.log.offset+1, node.log.last()); held != example.held*size {
			t.Errorf("%d entries and %d bytes may stay: %d bytes do", example.entries, example.bytes, held)
		}
	}
}

// TestFirstElectionIsSoon starts groups in which nobody has met a leader: one leads within an election timeout and a
// round of messages; whoever has met it waits as long as ever.
func TestFirstElectionIsSoon(t *testing.T) {
	for seed := range int64(20) {
		c := newCluster(rand.New(rand.NewSource(seed)), Config{}, 3)
		c.settle(usualElectionTicks)
		if c.leader() == nil {
			t.Errorf("seed %d: no leader after an election timeout:\n%s", seed, c.describe())
			continue
		}
		for _, one := range c.machines {
			if timeout := one.node.electionTimeout; timeout < usualElectionTicks {
				t.Errorf("seed %d: node %d met a leader and stands for election after %d ticks", seed, one.node.id, timeout)
			}
		}
	}
}

// usualElectionTicks is the default of Config.ElectionTicks.
const usualElectionTicks = 10

// TestNodesThatStartTogetherDoNotSplitTheVote: whatever timeouts are drawn, groups whose nodes start at once get their
// leader in the first term for which anybody stands.
func TestNodesThatStartTogetherDoNotSplitTheVote(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := range int64(200) {
			c := newCluster(rand.New(rand.NewSource(seed)), Config{}, size)
			c.settle(usualElectionTicks)
			leader := c.leader()
			if leader == nil {
				t.Fatalf("%d nodes, seed %d: no leader after an election timeout:\n%s", size, seed, c.describe())
			}
			if leader.node.term > 1 {
				t.Errorf("%d nodes, seed %d: the leader was elected in term %d", size, seed, leader.node.term)
			}
		}
	}
}

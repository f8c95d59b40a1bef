package raft

import (
	"math/rand"
	"testing"
)

// testCluster returns a cluster whose checker reports violations when the test ends.
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

func (c *cluster) mustElectLeader(t *testing.T, ticks int) *machine {
	t.Helper()
	c.runTicks(ticks)
	leader := c.leader()
	if leader == nil {
		t.Fatalf("no leader after %d ticks:\n%s", ticks, c.describe())
	}
	return leader
}

// TestReplicatesToAll checks that every voter applies the leader's first entry and 100 proposals, and that a read is
// served.
func TestReplicatesToAll(t *testing.T) {
	for _, voters := range []int{1, 3, 5} {
		c := testCluster(t, voters, Unsafe{})
		leader := c.mustElectLeader(t, 60)
		for range 100 {
			if err := c.propose(leader); err != nil {
				t.Fatal(err)
			}
		}
		c.read(leader)
		c.runTicks(2)
		if c.check.entries != voters*101 || c.check.reads != 1 {
			t.Fatalf("%d voters applied %d entries and served %d reads, want 101 entries per voter and 1 read", voters, c.check.entries, c.check.reads)
		}
	}
}

// TestLearnerGetsSnapshotAndIsPromoted adds a learner after the entries that it lacks were compacted, promotes it
// once it has the snapshot, and removes one of the first voters.
func TestLearnerGetsSnapshotAndIsPromoted(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustElectLeader(t, 60)
	for range 50 {
		if err := c.propose(leader); err != nil {
			t.Fatal(err)
		}
	}
	c.runTicks(2)
	c.compact(leader)
	c.add(9, Snapshot{})
	change := func(kind ChangeKind, node uint64) {
		t.Helper()
		if _, _, err := leader.node.ProposeChange(ConfigurationChange{Kind: kind, Node: node}); err != nil {
			t.Fatalf("%v\n%s", err, c.describe())
		}
		c.runTicks(5)
	}
	change(AddLearner, 9)
	if c.check.snapshots != 1 {
		t.Fatalf("the learner received %d snapshots, want 1", c.check.snapshots)
	}
	change(PromoteLearner, 9)
	removed := leader.id%3 + 1
	change(RemoveNode, removed)
	if got := c.machine(9).node.configuration(); !got.IsVoter(9) || got.IsVoter(removed) || len(got.Voters) != 3 {
		t.Fatalf("got configuration %+v, want the promoted learner and two of the first voters", got)
	}
}

// TestCompactionRetainsWithinLimits guards against a compacted log that keeps more entries or bytes in memory than
// RetainedEntries and RetainedBytes permit.
func TestCompactionRetainsWithinLimits(t *testing.T) {
	const size, written = 1000, 100
	for _, example := range []struct{ entries, bytes, held int }{
		{50, size * written, 50}, {50, 10*size + size/2, 10}, {50, size - 1, 0}, {2 * written, 2 * size * written, written},
	} {
		c := newCluster(rand.New(rand.NewSource(1)), Config{RetainedEntries: example.entries, RetainedBytes: example.bytes}, 1)
		node := c.mustElectLeader(t, 60).node
		for range written {
			if _, _, err := node.Propose(make([]byte, size)); err != nil {
				t.Fatal(err)
			}
		}
		c.runTicks(2)
		if _, err := node.Compact(node.log.applied, nil); err != nil {
			t.Fatal(err)
		}
		if held := node.log.dataSize(node.log.offset+1, node.log.lastIndex()); held != example.held*size {
			t.Errorf("with limits of %d entries and %d bytes %d bytes stay in memory", example.entries, example.bytes, held)
		}
	}
}

// TestFirstElectionIsSoon checks the shorter timeout of nodes that have not seen a leader since their start: a new
// group has a leader within one election timeout, and nodes that have seen it then wait the full timeout.
func TestFirstElectionIsSoon(t *testing.T) {
	for seed := range int64(20) {
		c := newCluster(rand.New(rand.NewSource(seed)), Config{}, 3)
		c.runTicks(defaultElectionTicks)
		if c.leader() == nil {
			t.Errorf("seed %d: no leader after an election timeout:\n%s", seed, c.describe())
			continue
		}
		for _, one := range c.machines {
			if timeout := one.node.electionTimeout; timeout < defaultElectionTicks {
				t.Errorf("seed %d: node %d has seen a leader, but its election timeout is only %d ticks", seed, one.node.id, timeout)
			}
		}
	}
}

// defaultElectionTicks is the default of Config.ElectionTicks.
const defaultElectionTicks = 10

// TestNodesThatStartTogetherDoNotSplitTheVote guards against split votes at a simultaneous start: whatever timeouts
// are drawn, the first term with a candidate must elect a leader.
func TestNodesThatStartTogetherDoNotSplitTheVote(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := range int64(200) {
			c := newCluster(rand.New(rand.NewSource(seed)), Config{}, size)
			c.runTicks(defaultElectionTicks)
			leader := c.leader()
			if leader == nil {
				t.Fatalf("%d nodes, seed %d: no leader after an election timeout:\n%s", size, seed, c.describe())
			}
			if leader.node.term > 1 {
				t.Errorf("%d nodes, seed %d: the leader was elected in term %d, want term 1", size, seed, leader.node.term)
			}
		}
	}
}

package raft

import "testing"

// TestFullWindowBehindTheLog has a member go silent with a full window of appends, the log compacted past
// them, and the member come back: it needs a snapshot, which nothing but that state asks for.
func TestFullWindowBehindTheLog(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustLead(t, 60)
	silent := leader.id%3 + 1
	c.cut[silent] = true
	for range 2 * leader.node.config.MaxInflightAppends {
		if err := c.propose(leader); err != nil {
			t.Fatal(err)
		}
		c.drain()
	}
	c.settle(2 * leader.node.config.ElectionTicks)
	c.compact(leader)
	c.cut[silent] = false
	c.settle(2 * leader.node.config.ElectionTicks)
	if got, want := c.machine(silent).node.log.commit, leader.node.log.commit; got != want || c.check.snapshots == 0 {
		t.Fatalf("the member is at %d of %d after %d snapshots", got, want, c.check.snapshots)
	}
}

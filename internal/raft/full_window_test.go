package raft

import "testing"

// TestMemberWithFullWindowBehindLogGetsSnapshot guards against a member that is never sent anything again. It is
// disconnected with a full window of appends, and the log is compacted past them, so that they cannot be resent. When
// it comes back only this state shows that it needs a snapshot.
func TestMemberWithFullWindowBehindLogGetsSnapshot(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustElectLeader(t, 60)
	silent := leader.id%3 + 1
	c.isolated[silent] = true
	for range 2 * leader.node.config.MaxInflightAppends {
		if err := c.propose(leader); err != nil {
			t.Fatal(err)
		}
		c.drain()
	}
	c.runTicks(2 * leader.node.config.ElectionTicks)
	c.compact(leader)
	c.isolated[silent] = false
	c.runTicks(2 * leader.node.config.ElectionTicks)
	if got, want := c.machine(silent).node.log.commit, leader.node.log.commit; got != want || c.check.snapshots == 0 {
		t.Fatalf("the member has commit index %d, want %d, after %d snapshots, want at least 1", got, want, c.check.snapshots)
	}
}

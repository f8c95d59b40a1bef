package raft

import "testing"

// TestNewLeaderReportsOnlyItselfAsHeard guards against a new leader that reports members as heard which have not
// replied to it. It counts every member as active for its first election timeout, so that it does not step down
// before the first replies, but Heard has to say whether it has heard from the member itself.
func TestNewLeaderReportsOnlyItselfAsHeard(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustElectLeader(t, 60)
	c.runTicks(5)
	for _, other := range leader.node.Status().Match {
		if !other.RecentActive || !other.Heard {
			t.Fatalf("an established leader reports node %d as inactive or not heard: %+v", other.Node, other)
		}
	}
	leader.node.becomeFollower(leader.node.term+1, None)
	leader.node.role = Candidate
	leader.node.becomeLeader()
	for _, other := range leader.node.Status().Match {
		if !other.RecentActive || other.Heard != (other.Node == leader.id) {
			t.Fatalf("a new leader must report node %d as active, and as heard only if it is itself: %+v", other.Node, other)
		}
	}
}

package raft

import "testing"

// TestPromotedLearnerIsDeafToCampaigns: a learner does not know yet that it was promoted, its leader is gone, and the
// others need its vote. Whatever timeout it drew, it answers from the first election timeout on.
func TestPromotedLearnerIsDeafToCampaigns(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustLead(t, 60)
	c.add(9, Snapshot{})
	if _, _, err := leader.node.ProposeChange(ConfigurationChange{Kind: AddLearner, Node: 9}); err != nil {
		t.Fatal(err)
	}
	c.settle(5)
	learner := c.machine(9).node
	if learner.leader != leader.id {
		t.Fatalf("it follows %d\n%s", learner.leader, c.describe())
	}
	ticks := learner.config.ElectionTicks
	for timeout := ticks; timeout < 2*ticks; timeout++ {
		learner.leader, learner.electionElapsed, learner.electionTimeout = leader.id, 0, timeout
		for tick := range 5 * ticks {
			learner.Tick()
			campaign := Message{Kind: MessagePreVote, From: leader.id%3 + 1, To: 9, Term: learner.term + 1,
				Index: learner.log.last(), LogTerm: learner.log.lastTerm()}
			if learner.ignoresCampaign(campaign) && tick+1 >= ticks {
				t.Fatalf("with a timeout of %d it ignores a campaign %d ticks after it heard the leader", timeout, tick+1)
			}
		}
	}
}

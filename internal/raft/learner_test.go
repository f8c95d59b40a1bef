package raft

import "testing"

// TestPromotedLearnerIsDeafToCampaigns guards against a group without a leader: a learner that does not know yet that
// it was promoted ignores vote requests although its leader is lost and the others need its vote. Whatever timeout it
// drew, it must answer as soon as ElectionTicks have passed since it heard the leader.
func TestPromotedLearnerIsDeafToCampaigns(t *testing.T) {
	c := testCluster(t, 3, Unsafe{})
	leader := c.mustElectLeader(t, 60)
	c.add(9, Snapshot{})
	if _, _, err := leader.node.ProposeChange(ConfigurationChange{Kind: AddLearner, Node: 9}); err != nil {
		t.Fatal(err)
	}
	c.runTicks(5)
	learner := c.machine(9).node
	if learner.leader != leader.id {
		t.Fatalf("the learner does not follow the leader but node %d\n%s", learner.leader, c.describe())
	}
	ticks := learner.config.ElectionTicks
	for timeout := ticks; timeout < 2*ticks; timeout++ {
		learner.leader, learner.electionElapsed, learner.electionTimeout = leader.id, 0, timeout
		for tick := range 5 * ticks {
			learner.Tick()
			campaign := Message{Kind: MessagePreVote, From: leader.id%3 + 1, To: 9, Term: learner.term + 1,
				Index: learner.log.lastIndex(), LogTerm: learner.log.lastTerm()}
			if learner.shouldIgnoreVoteRequest(campaign) && tick+1 >= ticks {
				t.Fatalf("with an election timeout of %d ticks the learner ignores a pre-vote request %d ticks after it heard the leader", timeout, tick+1)
			}
		}
	}
}

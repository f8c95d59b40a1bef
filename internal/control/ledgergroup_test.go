package control

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestLedgerGroupLeaderWithoutQuorumStopsLeading submits a batch job on the leader of a ledger group and kills the
// other nodes. The leader must detect on its own that it has no quorum.
func TestLedgerGroupLeaderWithoutQuorumStopsLeading(t *testing.T) {
	c := startCluster(t)
	leader := c.ledgerLeader()
	group := c.servers[leader].LedgerGroup(1)
	submit := &wire.JobSubmit{Id: "j", Digest: []byte{1}, Items: []*wire.JobItem{{Id: "i"}}}
	command := &wire.Command{Kind: &wire.Command_JobSubmit{JobSubmit: submit}}
	result, err := group.Propose(testContext(t), command)
	if err != nil || result.GetJob().GetOutcome() != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
		t.Fatalf("submitting a job: got %v (%v), want ACCEPTED", result, err)
	}
	<-group.Changed()
	query := &wire.Query{Kind: &wire.Query_JobWork{JobWork: &wire.JobWorkQuery{}}}
	view, err := group.Query(testContext(t), query)
	if err != nil || len(view.GetJobWork().GetOpen()) != 1 {
		t.Fatalf("got %v (%v), want one open job", view, err)
	}
	if view, err = group.LocalQuery(testContext(t), query); err != nil || len(view.GetJobWork().GetJobs()) != 1 {
		t.Fatalf("got %v (%v), want one job", view, err)
	}
	for position := range c.servers {
		if position != leader {
			c.kill(position)
		}
	}
	for limit := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, leading := group.Leads(); !leading {
			return
		}
		if time.Now().After(limit) {
			t.Fatal("a node without a quorum still leads")
		}
	}
}

// ledgerLeader waits until one node leads ledger group 1 and returns its position.
func (c *cluster) ledgerLeader() int {
	c.t.Helper()
	leader := -1
	eventually(c.t, "a leader of ledger group 1", func() bool {
		for position, server := range c.servers {
			if _, leading := server.LedgerGroup(1).Leads(); leading {
				leader = position
			}
		}
		return leader >= 0
	})
	return leader
}

// TestEveryNodeAnswersLocalQueries sends a local query to a follower, which answers no other query. It must answer from
// its applied state.
func TestEveryNodeAnswersLocalQueries(t *testing.T) {
	c := startCluster(t)
	leader := c.ledgerLeader()
	follower := c.addresses()[(leader+1)%len(c.servers)]
	client := c.client(controlclient.Config{LedgerGroups: 1})
	submit := &wire.JobSubmit{Id: "j", Digest: []byte{1}, Items: []*wire.JobItem{{Id: "i"}}}
	if _, err := client.Execute(testContext(t), 1, &wire.Command{Kind: &wire.Command_JobSubmit{JobSubmit: submit}}); err != nil {
		t.Fatal(err)
	}
	if known := client.Leader(1); known != c.addresses()[leader] {
		t.Fatalf("got leader address %q, want that of the ledger group's leader", known)
	}
	query := &wire.Query{Kind: &wire.Query_JobResults{JobResults: &wire.JobResultsQuery{Job: "j"}}}
	eventually(t, "the follower has applied the job", func() bool {
		view, err := client.LocalQuery(testContext(t), follower, 1, query)
		return err == nil && view.GetJobResults().GetKnown()
	})
	if _, err := client.LocalQuery(testContext(t), follower, 9, query); err == nil {
		t.Fatal("a query of an unknown group was answered")
	}
}

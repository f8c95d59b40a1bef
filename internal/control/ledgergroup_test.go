package control

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestLedgerGroupFollowsTheLeader submits a batch job at the node that leads a ledger group, and takes the
// other nodes away: the leader must notice by itself that it has no quorum.
func TestLedgerGroupFollowsTheLeader(t *testing.T) {
	c := startCluster(t)
	leader := -1
	for limit := time.Now().Add(30 * time.Second); leader < 0 && time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		for position, server := range c.servers {
			if _, leading := server.LedgerGroup(1).Leads(); leading {
				leader = position
			}
		}
	}
	if leader < 0 {
		t.Fatal("no node leads ledger group 1")
	}
	group := c.servers[leader].LedgerGroup(1)
	submit := &wire.JobSubmit{Id: "j", Digest: []byte{1}, Items: []*wire.JobItem{{Id: "i"}}}
	command := &wire.Command{Kind: &wire.Command_JobSubmit{JobSubmit: submit}}
	result, err := group.Propose(testContext(t), command)
	if err != nil || result.GetJob().GetOutcome() != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
		t.Fatalf("%v %v", result, err)
	}
	<-group.Changed()
	query := &wire.Query{Kind: &wire.Query_JobWork{JobWork: &wire.JobWorkQuery{}}}
	view, err := group.Query(testContext(t), query)
	if err != nil || len(view.GetJobWork().GetOpen()) != 1 {
		t.Fatalf("%v %v", view, err)
	}
	if view, err = group.LocalQuery(testContext(t), query); err != nil || len(view.GetJobWork().GetJobs()) != 1 {
		t.Fatalf("%v %v", view, err)
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
			t.Fatal("a node without a quorum leads on")
		}
	}
}

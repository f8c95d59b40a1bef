package control

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestChangeReachesSessionsAndIsInForce changes a cell. The change must be in force only once the session acts on it.
func TestChangeReachesSessionsAndIsInForce(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	session := c.session("gateway-1", nil)
	updates := make(chan *table.View, 16)
	session.OnUpdate(func(view *table.View) { updates <- view })

	version, inForce := mustAccept(t, client, poolChange("first", session.View().Version(), "70"), true)
	if inForce < version {
		t.Fatalf("version %d was accepted, but the version in force is %d", version, inForce)
	}
	admitted, ok := session.Admit()
	if !ok || admitted < version {
		t.Fatalf("version %d is in force, but the session acts on %d (lease %t)", version, admitted, ok)
	}
	if pool := session.View().Pool("copy"); pool == nil || pool.Weight != 70 {
		t.Fatalf("the session's view lacks the change: %+v", pool)
	}
	if view := <-updates; view.Version() != version {
		t.Fatalf("the listener got version %d, want %d", view.Version(), version)
	}
}

// TestResendGetsTheSameAnswer sends the same change through every node, again after all nodes were restarted. It must
// be applied once, and every answer must name the same version.
func TestResendGetsTheSameAnswer(t *testing.T) {
	c := startCluster(t)
	change := poolChange("once", 0, "10")
	first, _ := mustAccept(t, c.client(controlclient.Config{}), change, false)
	resend := func() {
		t.Helper()
		for _, address := range c.addresses() {
			client := c.client(controlclient.Config{Addresses: []string{address}})
			if version, _ := mustAccept(t, client, change, false); version != first {
				t.Fatalf("the answer to a resent change names version %d, want %d", version, first)
			}
		}
	}
	resend()
	for position := range c.servers {
		c.kill(position)
	}
	for position := range c.servers {
		c.start(position, nil)
	}
	resend()
	view, err := c.client(controlclient.Config{}).Query(testContext(t), controlGroup,
		&wire.Query{Kind: &wire.Query_History{History: &wire.HistoryQuery{}}})
	if err != nil {
		t.Fatal(err)
	}
	if entries := view.GetHistory().GetEntries(); len(entries) != len(change.Cells) {
		t.Fatalf("the history holds %d entries, want one change's %d: %v", len(entries), len(change.Cells), entries)
	}
}

// TestRacingOperators has two operators change one cell against the same version through different nodes. One must
// succeed, and the other must get a conflict that names the current value.
func TestRacingOperators(t *testing.T) {
	c := startCluster(t)
	base, _ := mustAccept(t, c.client(controlclient.Config{}), poolChange("base", 0, "1"), false)
	results := make(chan *wire.TableResult, 2)
	for position, weight := range []string{"20", "30"} {
		client := c.client(controlclient.Config{Addresses: []string{c.peers[position].Address}})
		change := weightChange("racer-"+weight, base, weight)
		go func() {
			result, _, err := client.ChangeTable(testContext(t), change, false)
			if err != nil {
				t.Error(err)
			}
			results <- result
		}()
	}
	accepted, refused := <-results, <-results
	if accepted.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		accepted, refused = refused, accepted
	}
	if accepted.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED || refused.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_CONFLICT {
		t.Fatalf("want one accepted and one conflict, got %v and %v", accepted, refused)
	}
	if refusals := refused.GetRefusals(); len(refusals) != 1 || refusals[0].ChangedVersion != accepted.Version || refusals[0].CurrentValue == "" {
		t.Fatalf("got the conflict %v, want one refusal with the accepted version and the current value", refused)
	}
}

// TestChangesAndLeasesSurviveLossOfLeader changes the table while the leader dies. The change must come into force, and
// the session must get a lease from the new leader.
func TestChangesAndLeasesSurviveLossOfLeader(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	session := c.session("gateway-1", nil)
	base, _ := mustAccept(t, client, poolChange("before", 0, "1"), true)
	c.kill(c.leader())
	version, inForce := mustAccept(t, client, weightChange("after", base, "2"), true)
	if inForce < version {
		t.Fatalf("version %d was accepted, but the version in force is %d", version, inForce)
	}
	if admitted, ok := session.Admit(); ok && admitted < version {
		t.Fatalf("version %d is in force, but the session still acts on %d", version, admitted)
	}
	eventually(t, "the session to hold a lease from the new leader", func() bool {
		admitted, ok := session.Admit()
		return ok && admitted == version
	})
}

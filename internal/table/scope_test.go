package table

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/growth"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// scopeTexts are changes that move pools into and out of the part that gateways follow, and change back ends of both.
var scopeTexts = []string{
	"a weight 50", "a weight 60", "a state removed", "b weight 50", "b weight 60", "b pool p", "b pool q", "-b", "-r", "p max_in_flight 9",
	"r pools p:1", "r pools q:1", "r pools p:1,q:1", "r route_kind batch", "r route_kind once", "s pools q:1", "s pools p:1", "s route_kind batch",
}

// scopeSetup creates the rows that scopeTexts change.
var scopeSetup = []string{"p kind pool", "q kind pool", "a kind backend", "a pool p", "a address 10.0.0.1:1",
	"b kind backend", "b pool q", "b address 10.0.0.2:1", "r kind route", "r host h", "r path_prefix /a/", "r pools p:1",
	"s kind route", "s host h", "s path_prefix /b/", "s pools q:1", "s route_kind batch"}

// TestForwardingPartEqualsTheTable checks a view that follows only what is needed to forward requests: after each update
// it must have exactly the rows of the table that belong to this part, and a version at which nothing of it changed must
// need no update.
func TestForwardingPartEqualsTheTable(t *testing.T) {
	var skipped, partial int
	rapid.Check(t, func(t *rapid.T) {
		table, follower := New(), NewView()
		if result := table.Apply(change("setup", 0, scopeSetup...)); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
			t.Fatal(result)
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			next := change(fmt.Sprint(step), table.Version(), rapid.SliceOfN(rapid.SampledFrom(scopeTexts), 1, 3).Draw(t, "texts")...)
			next.Note = ForceNote
			if table.Apply(next).GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
				continue
			}
			if rapid.IntRange(0, 3).Draw(t, "snapshot") == 0 {
				restored := New()
				if err := restored.Restore(table.Snapshot()); err != nil {
					t.Fatal(err)
				}
				table = restored
			}
			update := table.ForwardingUpdateSince(follower.Version())
			if update.GetToVersion() == follower.Version() {
				skipped++
			}
			adopted, err := follower.Apply(update)
			if err != nil {
				t.Fatal(err)
			}
			follower = adopted
			want := map[string]*Row{}
			for _, row := range table.view.Rows() {
				if table.forwarding.covers(row) {
					want[row.Name] = row
				} else {
					partial++
				}
			}
			for _, row := range follower.Rows() {
				if held := want[row.Name]; held == nil || !maps.Equal(held.explicit, row.explicit) {
					t.Fatalf("the follower has row %s with %v, the table's part %v", row.Name, row.explicit, held)
				}
			}
			if follower.Len() != len(want) {
				t.Fatalf("the follower has %d rows, want %d", follower.Len(), len(want))
			}
		}
	})
	if skipped == 0 || partial == 0 {
		t.Fatalf("%d versions needed no update and %d rows were left out, want some of each", skipped, partial)
	}
}

// TestWholeTableCompletesAPart guards against a holder of a part that keeps lacking rows when it is sent the whole table of
// the version that it has.
func TestWholeTableCompletesAPart(t *testing.T) {
	table := New()
	if result := table.Apply(change("setup", 0, scopeSetup...)); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	part, err := NewView().Apply(table.ForwardingUpdateSince(0))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := part.Apply(table.UpdateSince(0))
	if err != nil {
		t.Fatal(err)
	}
	if part.Row("b") != nil || whole.Row("b") == nil || whole.Len() != len(table.rows) {
		t.Fatalf("the part has %d rows and the completed table %d, want fewer than and all of %d", part.Len(), whole.Len(), len(table.rows))
	}
}

// TestGatewaysGetNoRowsOfBatchPools guards against gateways whose memory and messages grow with replicas that only run
// batch jobs.
func TestGatewaysGetNoRowsOfBatchPools(t *testing.T) {
	growth.Check(t, "rows that a gateway gets, and changes that reach it", 0, fleetSizes, func(replicas int) float64 {
		table := newFleet(t, replicas)
		if result := table.Apply(change("routes", table.Version(), "r kind route", "r host h", "r path_prefix /a/", "r pools p:1", "r route_kind batch",
			"q kind pool", "b kind backend", "b pool q", "b address 10.9.9.9:1", "s kind route", "s host h", "s path_prefix /b/", "s pools q:1")); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
			t.Fatal(result)
		}
		gateway, err := NewView().Apply(table.ForwardingUpdateSince(0))
		if err != nil {
			t.Fatal(err)
		}
		cost := gateway.Len()
		for number := range replicas {
			table.Apply(drainOf(table, number, 2))
			update := table.ForwardingUpdateSince(gateway.Version())
			if update.GetToVersion() > gateway.Version() {
				cost += 1 + len(update.GetRows())
			}
		}
		return float64(cost)
	})
}

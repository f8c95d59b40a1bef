package table

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/growth"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// fleetSizes are the numbers of replicas at which the tests of growth compare costs, below half of MaximumRows.
var fleetSizes = []int{1000, 2000, 4000, 8000}

// TestCostOfAChangeDoesNotGrowWithTheFleet guards against work for every row on the path of one replica's change: at the
// control nodes that apply it, in the update for those that follow, and at each process that adopts the update.
func TestCostOfAChangeDoesNotGrowWithTheFleet(t *testing.T) {
	growth.Check(t, "bytes to apply a change", 0, fleetSizes, func(replicas int) float64 {
		table, sequence := newFleet(t, replicas), 1
		return growth.AllocatedBytes(func() {
			sequence++
			table.Apply(drainOf(table, sequence%replicas, sequence))
		})
	})
	growth.Check(t, "bytes to build the update for a change", 0, fleetSizes, func(replicas int) float64 {
		table := newFleet(t, replicas)
		before := table.Version()
		table.Apply(drainOf(table, 1, 2))
		return growth.AllocatedBytes(func() { table.UpdateSince(before) })
	})
	growth.Check(t, "bytes to adopt an update", 0, fleetSizes, func(replicas int) float64 {
		table := newFleet(t, replicas)
		view, err := NewView().Apply(table.UpdateSince(0))
		if err != nil {
			t.Fatal(err)
		}
		table.Apply(drainOf(table, 1, 2))
		update := table.UpdateSince(view.Version())
		return growth.AllocatedBytes(func() {
			if _, err := view.Apply(update); err != nil {
				t.Fatal(err)
			}
		})
	})
}

// TestBackEndsAreIndexed checks the lists by address and kind and the number of registered back ends against a look at
// every row, after random changes.
func TestBackEndsAreIndexed(t *testing.T) {
	texts := append([]string{"c sequence 3", "d kind backend", "d pool p", "d address 10.0.0.2:1", "d sequence 1", "d state removed", "-d"},
		incrementalTexts...)
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			next := change(fmt.Sprint(step), table.Version(), rapid.SliceOfN(rapid.SampledFrom(texts), 1, 6).Draw(t, "texts")...)
			next.Note = ForceNote
			table.Apply(next)
			checkIndexes(t, table.view)
		}
	})
}

// checkIndexes compares a view's indexes with its rows.
func checkIndexes(t *rapid.T, view *View) {
	addresses, kinds, registered := map[string][]*Row{}, map[RowKind][]*Row{}, 0
	for _, row := range view.Rows() {
		if row.Kind != Backend {
			kinds[row.Kind] = append(kinds[row.Kind], row)
			continue
		}
		addresses[row.Address] = append(addresses[row.Address], row)
		if row.IsRegistered() && row.State != Removed {
			registered++
		}
	}
	for _, kind := range everyKind {
		if got := view.OfKind(kind); !slices.Equal(got, kinds[kind]) {
			t.Fatalf("rows of kind %s are %v, want %v", kind, got, kinds[kind])
		}
	}
	for address, want := range addresses {
		if got := view.AtAddress(address); !slices.Equal(got, want) {
			t.Fatalf("rows at %s are %v, want %v", address, got, want)
		}
	}
	if view.Registered() != registered || view.addresses.Len() != len(addresses) {
		t.Fatalf("%d back ends registered at %d addresses, want %d at %d", view.Registered(), view.addresses.Len(), registered, len(addresses))
	}
}

// TestRowsChangedSinceAreFoundByTheirVersion checks updates from each earlier version, on a table and on its copy from a
// snapshot, against a look at every row.
func TestRowsChangedSinceAreFoundByTheirVersion(t *testing.T) {
	table := newFleet(t, 30)
	for step := range 60 {
		number := step * 7 % 30
		if step%9 == 8 {
			name := fmt.Sprintf("r%05d", number)
			table.Apply(&wire.TableChange{ChangeId: fmt.Sprint("remove-", step), BaseVersion: table.Version(), Note: ForceNote, RemoveRows: []string{name}})
			continue
		}
		if table.rows[fmt.Sprintf("r%05d", number)] == nil {
			table.Apply(&wire.TableChange{ChangeId: fmt.Sprint("add-", step), BaseVersion: table.Version(), Note: ForceNote, Cells: registrationOf(number, 1)})
			continue
		}
		table.Apply(drainOf(table, number, step+2))
	}
	restored := New()
	if err := restored.Restore(table.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for from := range table.Version() {
		want := map[string]bool{}
		for name, row := range table.rows {
			if row.version > from {
				want[name] = true
			}
		}
		for _, one := range []*Table{table, restored} {
			update := one.UpdateSince(from)
			if len(update.GetRows()) != len(want) {
				t.Fatalf("the update from %d has %d rows, want %d", from, len(update.GetRows()), len(want))
			}
			for _, row := range update.GetRows() {
				if !want[row.GetName()] {
					t.Fatalf("the update from %d has row %s, which has not changed since", from, row.GetName())
				}
			}
		}
	}
}

// TestUpdateVisitsOnlyRowsThatChangedSince guards against an update whose cost grows with the rows that did not change.
// Rows older than the newest unchanged one are made unreadable, so that a visit of one of them panics.
func TestUpdateVisitsOnlyRowsThatChangedSince(t *testing.T) {
	table := newFleet(t, 100)
	before := table.Version()
	table.Apply(drainOf(table, 3, 2))
	table.Apply(drainOf(table, 5, 2))
	newestUnchanged := table.recency.rows.Back().Prev().Prev()
	for place := newestUnchanged.Prev(); place != nil; place = place.Prev() {
		place.Value = nil
	}
	if update := table.UpdateSince(before); len(update.GetRows()) != 2 {
		t.Fatalf("the update has %d rows, want the 2 that changed", len(update.GetRows()))
	}
}

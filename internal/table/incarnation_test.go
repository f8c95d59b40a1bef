package table

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// cellsOf returns changes of a row's cells from pairs of column and value.
func cellsOf(row string, pairs ...string) []*wire.CellChange {
	var cells []*wire.CellChange
	for at := 0; at < len(pairs); at += 2 {
		cells = append(cells, &wire.CellChange{Row: row, Column: pairs[at], Value: pairs[at+1]})
	}
	return cells
}

// TestViewDistinguishesStarts guards against requests being sent to, or kept at, a former start of a back end. After a
// back end restarts, Backend must return it under its new instance only, and HasRestarted must be true for the former
// instance, even if the row is removed. HasRestarted must be false for a later start or a back end that the table does
// not know.
func TestViewDistinguishesStarts(t *testing.T) {
	table := New()
	apply := func(cells ...*wire.CellChange) *View {
		t.Helper()
		result := table.Apply(&wire.TableChange{ChangeId: t.Name() + string(rune('a'+table.Version())), BaseVersion: table.Version(), Operator: "test", Note: ForceNote, Cells: cells})
		if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
			t.Fatalf("got %v, want the change accepted", result)
		}
		view, err := NewView().Apply(table.UpdateSince(0))
		if err != nil {
			t.Fatal(err)
		}
		return view
	}
	name := func(start uint64) string { return incarnation.Incarnation{ID: "i-1", Start: start}.String() }
	apply(cellsOf("pool", ColumnKind, string(Pool))...)
	view := apply(cellsOf("i-1", ColumnKind, string(Backend), ColumnPool, "pool", ColumnAddress, "10.0.0.1:80")...)
	if row := view.Backend("i-1"); row == nil || row.Instance != "i-1" || view.HasRestarted("i-1") {
		t.Fatalf("back end without a known start is %+v, want instance i-1, not ended", row)
	}
	view = apply(cellsOf("i-1", ColumnStart, "1000")...)
	if view.Backend("i-1") != nil || !view.HasRestarted("i-1") || view.Backend(name(1000)) == nil || view.HasRestarted(name(1000)) {
		t.Fatal("the instance without a start is still current after start 1000 became known")
	}
	view = apply(cellsOf("i-1", ColumnStart, "2000", ColumnState, string(Removed))...)
	if view.Backend(name(1000)) != nil || !view.HasRestarted(name(1000)) || view.Backend(name(2000)) == nil {
		t.Fatal("start 1000 is still current, or 2000 is not, after the row changed to start 2000")
	}
	if view.HasRestarted(name(3000)) || view.Backend(name(3000)) != nil || view.HasRestarted("i-2") || view.HasRestarted("pool") {
		t.Fatal("an unknown start, back end or a pool is reported as known or ended")
	}
}

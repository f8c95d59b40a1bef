package table

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// applier applies changes based on the table's current version.
type applier struct {
	t     *testing.T
	table *Table
	next  int
}

func (a *applier) apply(change *wire.TableChange) *wire.TableResult {
	a.t.Helper()
	a.next++
	change.ChangeId, change.BaseVersion, change.Operator = strings.Repeat("c", a.next), a.table.Version(), "test"
	change.Note = ForceNote
	return a.table.Apply(change)
}

func (a *applier) mustAccept(change *wire.TableChange) {
	a.t.Helper()
	if result := a.apply(change); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		a.t.Fatal(result)
	}
}

// TestColumnIsRefusedBelowItsLevel checks that a cell of a column that older builds do not know is refused, with the
// reason, until the column's level is in force. Accepting it earlier would leave replicas with different tables.
func TestColumnIsRefusedBelowItsLevel(t *testing.T) {
	a := &applier{t: t, table: New()}
	a.table.SetLevel(compat.Base)
	change := func() *wire.TableChange {
		return &wire.TableChange{Cells: cellsOf("p", ColumnKind, "pool", ColumnSharedSlots, "true")}
	}
	refused := a.apply(change())
	if refused.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_INVALID || !strings.Contains(refused.GetRefusals()[0].GetReason(), "needs level 1") {
		t.Fatal(refused)
	}
	a.table.SetLevel(compat.Shares)
	a.mustAccept(change())
}

// TestRecreatedRowIsReadableByOlderBuilds guards against a row that older builds cannot read. When a removed row is
// created again, its removal is recorded as cleared cells. Below the level of a column, and for an optional column that
// no row has, there must be no such cell. A restored table must record the same cells.
func TestRecreatedRowIsReadableByOlderBuilds(t *testing.T) {
	backend := func(start string) *wire.TableChange {
		cells := []string{ColumnKind, "backend", ColumnPool, "p", ColumnAddress, "127.0.0.1:1"}
		if start != "" {
			cells = append(cells, ColumnStart, start)
		}
		return &wire.TableChange{Cells: cellsOf("b", cells...)}
	}
	for _, known := range []struct {
		level   compat.Level
		starts  bool // another row has a start
		columns map[string]bool
	}{
		{compat.Base, false, map[string]bool{ColumnStart: false, ColumnCrashes: false, ColumnSharedSlots: false, ColumnZone: true}},
		{compat.Base, true, map[string]bool{ColumnStart: true, ColumnCrashes: false, ColumnSharedSlots: false, ColumnZone: true}},
		{compat.Shares, false, map[string]bool{ColumnStart: true, ColumnCrashes: true, ColumnSharedSlots: true, ColumnZone: true}},
	} {
		a := &applier{t: t, table: New()}
		a.table.SetLevel(known.level)
		a.mustAccept(&wire.TableChange{Cells: cellsOf("p", ColumnKind, "pool")})
		if known.starts {
			a.mustAccept(&wire.TableChange{Cells: cellsOf("other", ColumnKind, "backend", ColumnPool, "p", ColumnAddress, "127.0.0.1:2", ColumnStart, "7")})
		}
		a.mustAccept(backend(""))
		a.mustAccept(&wire.TableChange{RemoveRows: []string{"b"}})
		restored := New()
		restored.SetLevel(known.level)
		if err := restored.Restore(proto.CloneOf(a.table.Snapshot())); err != nil {
			t.Fatal(err)
		}
		a.mustAccept(backend(""))
		twin := &applier{t: t, table: restored, next: a.next - 1}
		twin.mustAccept(backend(""))
		if !proto.Equal(a.table.Snapshot(), restored.Snapshot()) {
			t.Errorf("%+v: the snapshot after a restore differs from the original table's", known)
		}
		for column, want := range known.columns {
			if _, remembered := a.table.rows["b"].cells[column]; remembered != want {
				t.Errorf("%+v: removal is recorded in column %s: got %v, want the opposite", known, column, remembered)
			}
		}
	}
}

// TestUnknownColumnsAndKindsArePreserved guards against losing what a newer build wrote. Cells of unknown columns and
// rows of unknown kinds must survive a restore, a change of their row and another restore. A view must skip them
// without an error.
func TestUnknownColumnsAndKindsArePreserved(t *testing.T) {
	a := &applier{t: t, table: New()}
	a.mustAccept(&wire.TableChange{Cells: cellsOf("p", ColumnKind, "pool")})
	snapshot := proto.CloneOf(a.table.Snapshot())
	unknownCell := &wire.TableCell{Column: "made_up", Value: "kept", Version: 1, Operator: "newer"}
	snapshot.Rows[0].Cells = append(snapshot.Rows[0].Cells, unknownCell)
	snapshot.Rows = append(snapshot.Rows, &wire.TableRow{Name: "q", Cells: []*wire.TableCell{{Column: ColumnKind, Value: "invented", Version: 1}}})
	if err := a.table.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	a.mustAccept(&wire.TableChange{Cells: cellsOf("p", ColumnWeight, "5")})
	again := New()
	if err := again.Restore(proto.CloneOf(a.table.Snapshot())); err != nil {
		t.Fatal(err)
	}
	update := again.UpdateSince(0)
	if len(update.Rows) != 2 || !strings.Contains(update.Rows[0].String(), "made_up") {
		t.Errorf("update %v, want both rows and the cell of the unknown column", update)
	}
	view, err := NewView().Apply(update)
	if err != nil {
		t.Fatal(err)
	}
	if view.Row("q") != nil || view.Pool("p").Weight != 5 {
		t.Errorf("view has rows %v, want only pool p with weight 5", view.Rows())
	}
}

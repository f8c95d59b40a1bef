package table

import (
	"fmt"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// newFleet returns a table with a pool and the rows of so many registered replicas.
func newFleet(t testing.TB, replicas int) *Table {
	t.Helper()
	table := New()
	first := &wire.TableChange{ChangeId: "pool", Cells: []*wire.CellChange{{Row: "p", Column: ColumnKind, Value: string(Pool)}}}
	for number := range replicas {
		first.Cells = append(first.Cells, registrationOf(number, 1)...)
	}
	if result := table.Apply(first); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	return table
}

// registrationOf returns the cells that a replica's registration sets.
func registrationOf(number, sequence int) []*wire.CellChange {
	name := fmt.Sprintf("r%05d", number)
	cells := [][2]string{{ColumnKind, string(Backend)}, {ColumnPool, "p"}, {ColumnAddress, fmt.Sprintf("10.0.%d.%d:80", number/250, number%250+1)},
		{ColumnZone, "z"}, {ColumnState, string(Active)}, {ColumnMaxInFlight, "16"}, {ColumnSequence, fmt.Sprint(sequence)}}
	var changes []*wire.CellChange
	for _, cell := range cells {
		changes = append(changes, &wire.CellChange{Row: name, Column: cell[0], Value: cell[1]})
	}
	return changes
}

// drainOf returns the change that drains one replica.
func drainOf(table *Table, number, sequence int) *wire.TableChange {
	name := fmt.Sprintf("r%05d", number)
	return &wire.TableChange{ChangeId: fmt.Sprintf("drain-%d-%d", number, sequence), BaseVersion: table.Version(), Note: ForceNote, Cells: []*wire.CellChange{
		{Row: name, Column: ColumnState, Value: string(Draining)}, {Row: name, Column: ColumnSequence, Value: fmt.Sprint(sequence)}}}
}

// BenchmarkChange applies one replica's change to a large table, as a control node does.
func BenchmarkChange(b *testing.B) {
	for _, replicas := range []int{300, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			table := newFleet(b, replicas)
			for number := 0; b.Loop(); number++ {
				table.Apply(drainOf(table, number%replicas, 2+number/replicas))
			}
		})
	}
}

// BenchmarkDelta builds the update for one change since the previous version.
func BenchmarkDelta(b *testing.B) {
	for _, replicas := range []int{300, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			table := newFleet(b, replicas)
			before := table.Version()
			table.Apply(drainOf(table, 1, 2))
			for b.Loop() {
				table.UpdateSince(before)
			}
		})
	}
}

// BenchmarkFollow applies the update for one replica's change to a view, as a process that follows the table does.
func BenchmarkFollow(b *testing.B) {
	for _, replicas := range []int{300, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			table := newFleet(b, replicas)
			view, err := NewView().Apply(table.UpdateSince(0))
			if err != nil {
				b.Fatal(err)
			}
			table.Apply(drainOf(table, 1, 2))
			update := table.UpdateSince(view.Version())
			for b.Loop() {
				if _, err := view.Apply(update); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkReadWhole builds a view from the whole table, as a process without a view does.
func BenchmarkReadWhole(b *testing.B) {
	table := newFleet(b, 3000)
	for b.Loop() {
		if _, err := NewView().Apply(table.UpdateSince(0)); err != nil {
			b.Fatal(err)
		}
	}
}

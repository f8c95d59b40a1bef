package table

import (
	"fmt"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// fleetOf makes a table of a pool with replicas as registrations make them.
func fleetOf(t testing.TB, replicas int) *Table {
	t.Helper()
	made := New()
	first := &wire.TableChange{ChangeId: "pool", Cells: []*wire.CellChange{{Row: "p", Column: ColumnKind, Value: string(Pool)}}}
	for number := range replicas {
		first.Cells = append(first.Cells, registrationOf(number, 1)...)
	}
	if result := made.Apply(first); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	return made
}

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

func drainOf(made *Table, number, sequence int) *wire.TableChange {
	name := fmt.Sprintf("r%05d", number)
	return &wire.TableChange{ChangeId: fmt.Sprintf("drain-%d-%d", number, sequence), BaseVersion: made.Version(), Note: ForceNote, Cells: []*wire.CellChange{
		{Row: name, Column: ColumnState, Value: string(Draining)}, {Row: name, Column: ColumnSequence, Value: fmt.Sprint(sequence)}}}
}

// BenchmarkChange is one replica's change of a large table at the control nodes.
func BenchmarkChange(b *testing.B) {
	for _, replicas := range []int{300, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			made := fleetOf(b, replicas)
			for number := 0; b.Loop(); number++ {
				made.Apply(drainOf(made, number%replicas, 2+number/replicas))
			}
		})
	}
}

// BenchmarkDelta is the update that one change makes for the holders of the version before.
func BenchmarkDelta(b *testing.B) {
	for _, replicas := range []int{300, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			made := fleetOf(b, replicas)
			before := made.Version()
			made.Apply(drainOf(made, 1, 2))
			for b.Loop() {
				made.Update(before)
			}
		})
	}
}

// BenchmarkFollow is one change of one replica at a process that follows the table.
func BenchmarkFollow(b *testing.B) {
	for _, replicas := range []int{300, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			made := fleetOf(b, replicas)
			view, err := NewView().Apply(made.Update(0))
			if err != nil {
				b.Fatal(err)
			}
			made.Apply(drainOf(made, 1, 2))
			update := made.Update(view.Version())
			for b.Loop() {
				if _, err := view.Apply(update); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkReadWhole is a read of the whole table, as a process without a view makes it.
func BenchmarkReadWhole(b *testing.B) {
	made := fleetOf(b, 3000)
	for b.Loop() {
		if _, err := NewView().Apply(made.Update(0)); err != nil {
			b.Fatal(err)
		}
	}
}

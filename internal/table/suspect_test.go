package table

import (
	"fmt"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestSuspectsAreNamedByTheirDigests guards against suspects that no request can be matched with. A suspect's name must
// be the prefix and a digest of 16 lower-case hexadecimal digits, rows of other kinds must not have the prefix, and the
// view must list suspects as they are added and removed.
func TestSuspectsAreNamedByTheirDigests(t *testing.T) {
	table := New()
	changes := 0
	apply := func(want bool, change *wire.TableChange) {
		t.Helper()
		changes++
		change.ChangeId, change.BaseVersion, change.Operator = fmt.Sprint(changes), table.Version(), "test"
		result := table.Apply(change)
		if accepted := result.GetOutcome() == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED; accepted != want {
			t.Fatalf("change of %v: got %v, want the opposite outcome", change.GetCells(), result)
		}
	}
	suspects := func() (names []string) {
		view, err := NewView().Apply(table.UpdateSince(0))
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range view.Suspects() {
			names = append(names, fmt.Sprint(row.Name, " ", row.Crashes))
		}
		return names
	}
	for _, name := range []string{"suspect.1", "suspect.00000000000000AB", "other", "suspect.00000000000000xy"} {
		apply(false, &wire.TableChange{Cells: cellsOf(name, ColumnKind, "suspect")})
	}
	apply(false, &wire.TableChange{Cells: cellsOf("suspect.00000000000000ab", ColumnKind, "pool")})
	apply(true, &wire.TableChange{Cells: cellsOf("suspect.00000000000000ab", ColumnKind, "suspect")})
	apply(true, &wire.TableChange{Cells: cellsOf("suspect.00000000000000aa", ColumnKind, "suspect", ColumnCrashes, "2")})
	apply(true, &wire.TableChange{Cells: cellsOf("pool", ColumnKind, "pool")})
	if got := fmt.Sprint(suspects()); got != "[suspect.00000000000000aa 2 suspect.00000000000000ab 1]" {
		t.Errorf("got suspects %s, want the digests ending in aa with 2 crashes and ab with 1", got)
	}
	apply(true, &wire.TableChange{RemoveRows: []string{"suspect.00000000000000aa"}})
	if got := suspects(); len(got) != 1 {
		t.Errorf("got suspects %v after a removal, want one", got)
	}
}

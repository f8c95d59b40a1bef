package table

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

var incrementalTexts = append([]string{
	"c kind backend", "c pool q", "c pool p", "c address 10.0.0.2:1", "c live_room 90", "c max_in_flight 5", "-c", "q state draining", "q max_in_flight 3",
	"p live_room 2", "r kind route", "r host h", "r path_prefix /a/", "r pools p:1", "r pools q:1", "-r", "s kind route", "s host h", "s path_prefix /a/",
	"s pools p:1",
	"suspect.00000000000000ab kind suspect", "suspect.00000000000000ab crashes 2", "-suspect.00000000000000ab", "suspect.00000000000000ab kind pool",
}, drawnTexts...)

// checkWholeTable checks every row of the table as the draft would leave it, after resolving all rows again from their
// cells.
func checkWholeTable(table *Table, d *draft, change *wire.TableChange) []*wire.CellRefusal {
	own := map[string]map[string]string{}
	for name := range table.rows {
		own[name] = table.copyCells(name)
	}
	before := NewView().withRows(table.version, own)
	for name, cells := range d.rows {
		own[name] = cells
	}
	after := NewView().withRows(table.version+1, own)
	refusals := append(append(checkRows(after.Rows(), after), checkRoutes(after)...), checkTenants(after)...)
	if len(refusals) == 0 && !isForced(change) {
		refusals = checkPoolsServed(before, after, d)
	}
	return refusals
}

// TestIncrementalCheckEqualsWholeCheck guards against a check of the changed rows only that misses an invalid table,
// and against typed rows that go stale when they are shared. It checks random changes both by the changed rows and by
// the whole table. Refusals must be equal, and so must the typed rows after the change and those resolved from scratch.
func TestIncrementalCheckEqualsWholeCheck(t *testing.T) {
	var accepted, refused int
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			next := change(fmt.Sprint(step), table.Version(), rapid.SliceOfN(rapid.SampledFrom(incrementalTexts), 1, 6).Draw(t, "texts")...)
			if rapid.Bool().Draw(t, "forced") {
				next.Note = ForceNote
			}
			if d, wrong := table.buildDraft(next); len(wrong) == 0 {
				after := table.view.withRows(table.version+1, d.rows)
				want, got := checkWholeTable(table, d, next), table.check(d, after, next)
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("change %v got refusals %v, want those of the whole table: %v", next, got, want)
				}
			}
			if table.Apply(next).GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
				refused++
				continue
			}
			accepted++
			fresh, err := NewView().Apply(table.UpdateSince(0))
			if err != nil {
				t.Fatal(err)
			}
			if got, want := describe(table.view), describe(fresh); got != want {
				t.Fatalf("after the change:\n%s\nfresh:\n%s", got, want)
			}
		}
	})
	if accepted == 0 || refused == 0 {
		t.Fatalf("%d changes accepted and %d refused, want some of each", accepted, refused)
	}
}

// TestUnchangedRowsAreShared checks that a change resolves only the rows that it touches. Readers compare rows by
// pointer to find those that changed.
func TestUnchangedRowsAreShared(t *testing.T) {
	table := newFleet(t, 40)
	before, err := NewView().Apply(table.UpdateSince(0))
	if err != nil {
		t.Fatal(err)
	}
	table.Apply(drainOf(table, 7, 2))
	after, err := before.Apply(table.UpdateSince(before.Version()))
	if err != nil {
		t.Fatal(err)
	}
	var renewed []string
	for _, row := range after.Rows() {
		if before.Row(row.Name) != row {
			renewed = append(renewed, row.Name)
		}
	}
	if len(renewed) != 1 || renewed[0] != "r00007" || after.Row("r00007").State != Draining || len(after.Backends("p")) != 40 {
		t.Fatalf("resolved rows %v, want r00007 only, draining, among 40 back ends", renewed)
	}
}

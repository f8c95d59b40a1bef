package configure

import (
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// withShares returns an example that uses the columns of level compat.Shares.
func withShares(revision uint64, level compat.Level) *Configuration {
	c := withTenants(revision, Tenant{Name: "One", Rate: 5}, Tenant{Name: "Two", Rate: 7})
	c.Pools[0].SharedSlots, c.Level = true, level
	return c
}

// readRow returns a row by a read of the whole table, and fails the test if there is none.
func readRow(t *testing.T, control *fakeControl, name string) *table.Row {
	t.Helper()
	view, err := ReadView(t.Context(), control, nil)
	if err != nil {
		t.Fatal(err)
	}
	row := view.Row(name)
	if row == nil {
		t.Fatal("missing row", name)
	}
	return row
}

// TestColumnsAreSupplementedOnceTheirLevelIsInForce guards against changes that older builds refuse. Below their level,
// columns must be neither written nor cleared. Once the level is in force, Supplement must add the missing cells of the
// table's configuration, but not change cells that an operator has set since, and not write another configuration.
func TestColumnsAreSupplementedOnceTheirLevelIsInForce(t *testing.T) {
	control := &fakeControl{table: table.New()}
	importer := &Importer{Control: control, Operator: "test"}
	if err := importer.Put(t.Context(), withShares(1, compat.Base)); err != nil {
		t.Fatal(err)
	}
	for _, cell := range control.table.UpdateSince(0).GetRows() {
		if text := cell.String(); strings.Contains(text, table.ColumnSharedSlots) || strings.Contains(text, table.ColumnRate) {
			t.Fatal("a column was written below its level:", text)
		}
	}
	set := &wire.TableChange{ChangeId: "set", Operator: "somebody", BaseVersion: control.table.Version(),
		Cells: []*wire.CellChange{{Row: tenantPrefix + "Two", Column: table.ColumnRate, Value: "9"}}}
	if result := control.table.Apply(set); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	for range 2 {
		if err := importer.Supplement(t.Context(), withShares(1, compat.Shares)); err != nil {
			t.Fatal(err)
		}
	}
	if control.table.Version() != 3 {
		t.Errorf("table version %d after the second Supplement, want 3", control.table.Version())
	}
	if !readRow(t, control, "a").SharedSlots || readRow(t, control, tenantPrefix+"One").Rate != 5 || readRow(t, control, tenantPrefix+"Two").Rate != 9 {
		t.Error("a cell is missing after Supplement, or an operator's cell was changed")
	}
	if err := importer.Supplement(t.Context(), withShares(2, compat.Shares)); err != nil || control.table.Version() != 3 {
		t.Error("Supplement wrote a configuration that is not the table's, or failed", err)
	}
	plain := withTenants(2, Tenant{Name: "One"}, Tenant{Name: "Two"})
	plain.Level = compat.Shares
	if err := importer.Put(t.Context(), plain); err != nil {
		t.Fatal(err)
	}
	if readRow(t, control, "a").SharedSlots || readRow(t, control, tenantPrefix+"Two").Rate != 0 {
		t.Error("a later configuration without the settings did not clear their cells")
	}
}

package operator

import (
	"testing"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/table"
)

// Limits of a tenant are planned only if the level in force includes their columns, because older builds do not know
// these. Limits that are not named stay, and invalid ones are refused.
func TestLimitsOfATenantAreSetFromTheirLevelOn(t *testing.T) {
	row := Row{Name: "tenant.shop", Cells: map[string]Cell{table.ColumnKind: {Value: string(table.Tenant)}, table.ColumnTenantName: {Value: "shop"},
		table.ColumnRate: {Value: "3"}, table.ColumnBurst: {Value: "9"}}}
	sheet := &Sheet{Version: 4, Rows: []Row{row}}
	if _, err := PlanTenantSet(sheet, "shop", TenantLimits{Rate: "5"}, compat.Base); !trace.IsBadParameter(err) {
		t.Error("planned below the level, want a bad parameter; got error:", err)
	}
	plan, err := PlanTenantSet(sheet, "shop", TenantLimits{Rate: "5", Weight: "200"}, compat.Shares)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, edit := range plan.Edits {
		got[edit.Column] = edit.To
	}
	if len(got) != 2 || got[table.ColumnRate] != "5" || got[table.ColumnTenantWeight] != "200" || plan.Base != 4 {
		t.Errorf("got plan %+v, want edits of rate to 5 and of weight to 200 against version 4", plan)
	}
	for _, limits := range []TenantLimits{{Weight: "0"}, {Rate: "many"}, {Concurrency: "-1"}} {
		if _, err := PlanTenantSet(sheet, "shop", limits, compat.Shares); !trace.IsBadParameter(err) {
			t.Errorf("limits %+v: got error %v, want a bad parameter", limits, err)
		}
	}
	if _, err := PlanTenantSet(sheet, "nobody", TenantLimits{Rate: "5"}, compat.Shares); !trace.IsBadParameter(err) {
		t.Error(err)
	}
}

package operator

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TenantLimits are a tenant's weight and quota as texts. An empty one leaves the present value.
type TenantLimits struct {
	Weight, Rate, Burst, Concurrency string
}

// ReadLevel returns the compatibility level in force for the control group.
func ReadLevel(ctx context.Context, control Control) (compat.Level, error) {
	view, err := control.Query(ctx, controlGroup, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return compat.Base, trace.Wrap(err)
	}
	return compat.Level(view.GetStatus().GetLevel()), nil
}

// PlanTenantSet plans to change limits of a tenant. It is refused with trace.BadParameter below the level that
// includes the columns, because older builds do not know them.
func PlanTenantSet(sheet *Sheet, name string, limits TenantLimits, level compat.Level) (*Plan, error) {
	if !level.Includes(compat.Shares) {
		return nil, trace.BadParameter("weights and quotas need %s, and %s is in force: some process is of an older build", compat.Shares, level)
	}
	row, err := findTenant(sheet, name)
	if err != nil {
		return nil, err
	}
	plan := &Plan{Base: sheet.Version}
	for _, cell := range []struct{ column, value string }{{table.ColumnTenantWeight, limits.Weight}, {table.ColumnRate, limits.Rate},
		{table.ColumnBurst, limits.Burst}, {table.ColumnConcurrency, limits.Concurrency}} {
		if cell.value == "" {
			continue
		}
		value, err := canonicalValue(cell.column, cell.value)
		if err != nil {
			return nil, trace.BadParameter("%s: %v", cell.column, err)
		}
		plan.addEdit(row, row.Name, cell.column, value)
	}
	return plan, nil
}

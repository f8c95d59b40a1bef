package fleet

import (
	"context"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Initial limits in the table.
const (
	modelInFlight  = "64"
	modelLiveRoom  = "16"
	modelQueue     = "512"
	modelQueueWait = "20000"
	callInFlight   = "128"
	callQueue      = "512"
	callQueueWait  = "5000"
)

// createTable creates the first version of the table.
func (f *fleet) createTable(ctx context.Context) error {
	change := &wire.TableChange{ChangeId: "create", Operator: "fleet", Cells: f.firstCells()}
	result, _, err := f.client.ChangeTable(ctx, change, true)
	if err != nil {
		return trace.Wrap(err)
	}
	if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		return trace.BadParameter("the table was not accepted: %v", result)
	}
	f.evidence.table.recordCreation(result.Version, change.Cells)
	return nil
}

// cellList is a list of cells under construction.
type cellList []*wire.CellChange

// row adds cells of a row, given as column and value in turn.
func (l *cellList) row(name string, cells ...string) {
	for index := 0; index+1 < len(cells); index += 2 {
		*l = append(*l, &wire.CellChange{Row: name, Column: cells[index], Value: cells[index+1]})
	}
}

func (f *fleet) firstCells() []*wire.CellChange {
	deployment := f.config.Deployment
	pool, backend := string(table.Pool), string(table.Backend)
	var cells cellList
	cells.row(poolModel, table.ColumnKind, pool, table.ColumnService, string(table.Engine), table.ColumnMaxInFlight, modelInFlight,
		table.ColumnLiveReserve, modelLiveRoom, table.ColumnQueueLimit, modelQueue, table.ColumnQueueWait, modelQueueWait,
		table.ColumnClassOrder, "live,rollout", table.ColumnStalenessBound, strconv.FormatUint(deployment.Trainer.StalenessBound, 10))
	cells.row(deployment.ApplicationPool, table.ColumnKind, pool, table.ColumnService, string(table.Application),
		table.ColumnMaxInFlight, callInFlight, table.ColumnQueueLimit, callQueue, table.ColumnQueueWait, callQueueWait)
	cells.row(poolNarrow, table.ColumnKind, pool, table.ColumnService, string(table.Application),
		table.ColumnMaxInFlight, "1", table.ColumnQueueLimit, "0")
	for _, part := range f.engines {
		cells.row(part.name, table.ColumnKind, backend, table.ColumnPool, poolModel, table.ColumnAddress, part.address, table.ColumnZone, part.zone)
	}
	for _, part := range f.applications {
		cells.row(part.name, table.ColumnKind, backend, table.ColumnPool, deployment.ApplicationPool, table.ColumnAddress, part.address, table.ColumnZone, part.zone)
		cells.row(narrowRow(part.name), table.ColumnKind, backend, table.ColumnPool, poolNarrow, table.ColumnAddress, part.address, table.ColumnZone, part.zone)
	}
	return cells
}

// narrowRow returns the row of an application replica in the narrow pool.
func narrowRow(replica string) string { return poolNarrow + "-" + replica }

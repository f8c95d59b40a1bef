package table

import (
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Snapshot returns the whole state. Equal tables have equal snapshots. The snapshot shares messages with the table, so
// encode it before the next Apply.
func (t *Table) Snapshot() *wire.TableSnapshot {
	snapshot := &wire.TableSnapshot{
		Version: t.version, RemovalFloor: t.removalFloor,
		History: t.history, Changes: t.changes.records(),
	}
	for _, name := range t.sortedRows() {
		snapshot.Rows = append(snapshot.Rows, wireRow(name, t.rows[name], true))
	}
	for _, removal := range t.removed {
		snapshot.Removed = append(snapshot.Removed, &wire.RemovedRow{
			Name: removal.name, Version: removal.version, Operator: removal.operator,
		})
	}
	return snapshot
}

// Restore replaces the state with that of a snapshot, except for the level in force, which it leaves as it is. The
// table retains the snapshot's messages. It fails, without changing the table, if a cell is newer than the snapshot or
// a kept result has no change id.
func (t *Table) Restore(snapshot *wire.TableSnapshot) error {
	restored := NewUnsafe(t.unsafe)
	restored.level = t.level
	restored.version, restored.removalFloor = snapshot.GetVersion(), snapshot.GetRemovalFloor()
	restored.history = snapshot.GetHistory()
	for _, row := range snapshot.GetRows() {
		stored, err := restoreRow(row, snapshot.GetVersion())
		if err != nil {
			return trace.Wrap(err)
		}
		stored.name = row.GetName()
		restored.rows[row.GetName()] = stored
		for column := range stored.cells {
			restored.countOptional(column, 1)
		}
	}
	restored.recency = newRecency(restored.rows)
	for _, removal := range snapshot.GetRemoved() {
		restored.listRemoval(removedRow{
			name: removal.GetName(), version: removal.GetVersion(), operator: removal.GetOperator(),
		})
	}
	for _, record := range snapshot.GetChanges() {
		if record.GetResult().GetChangeId() == "" {
			return trace.BadParameter("snapshot remembers a change without an id")
		}
		restored.changes.put(record.GetDigest(), record.GetResult())
	}
	restored.view = restored.buildView()
	restored.forwarding = newForwarding(restored.view)
	*t = *restored
	return nil
}

// restoreRow converts a row of a snapshot with the given version. It retains cells of columns that this build does not
// know, so that they are part of later snapshots.
func restoreRow(row *wire.TableRow, version uint64) (*storedRow, error) {
	stored := &storedRow{cells: make(map[string]storedCell, len(row.GetCells()))}
	for _, cell := range row.GetCells() {
		if cell.GetVersion() > version {
			return nil, trace.BadParameter("snapshot has a cell of row %q above its version", row.GetName())
		}
		stored.cells[cell.GetColumn()] = storedCell{
			value: cell.GetValue(), version: cell.GetVersion(), operator: cell.GetOperator(),
		}
		stored.version = max(stored.version, cell.GetVersion())
	}
	return stored, nil
}

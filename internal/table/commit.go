package table

import (
	"fmt"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// commit makes a draft that passed all checks the table's next version.
func (t *Table) commit(d *draft, change *wire.TableChange) {
	t.version++
	for _, name := range d.removed {
		t.removeRow(name, change)
	}
	for _, cell := range d.cells {
		t.setCell(cell, change)
	}
	t.trim()
}

func (t *Table) removeRow(name string, change *wire.TableChange) {
	stored := t.rows[name]
	for _, column := range sortedColumns(stored.cells) {
		t.countOptional(column, -1)
		if cell := stored.cells[column]; cell.value != "" {
			t.recordHistory(change, name, column, cell.value, "")
		}
	}
	delete(t.rows, name)
	t.recency.drop(stored)
	t.listRemoval(removedRow{name: name, version: t.version, operator: change.GetOperator()})
}

func (t *Table) setCell(cell *wire.CellChange, change *wire.TableChange) {
	stored := t.rows[cell.GetRow()]
	if stored == nil {
		stored = &storedRow{name: cell.GetRow(), cells: map[string]storedCell{}}
		t.rows[cell.GetRow()] = stored
		t.moveRemovalToCells(cell.GetRow())
	}
	stored.version = t.version
	t.recency.touch(stored)
	if _, exists := stored.cells[cell.GetColumn()]; !exists {
		t.countOptional(cell.GetColumn(), 1)
	}
	t.recordHistory(change, cell.GetRow(), cell.GetColumn(), stored.cells[cell.GetColumn()].value, cell.GetValue())
	stored.cells[cell.GetColumn()] = storedCell{value: cell.GetValue(), version: t.version, operator: change.GetOperator()}
}

// moveRemovalToCells drops an earlier removal of a row that exists again. A change based on a version before the
// removal must still conflict in every column, so the removal is recorded as a cleared cell of each column.
func (t *Table) moveRemovalToCells(name string) {
	removal, ok := t.removals[name]
	if !ok {
		return
	}
	for position := range columns {
		column := &columns[position]
		if !t.isKnownToAll(column) {
			continue
		}
		t.countOptional(column.Name, 1)
		t.rows[name].cells[column.Name] = storedCell{version: removal.version, operator: removal.operator}
	}
	delete(t.removals, name)
	t.removed = slices.DeleteFunc(t.removed, func(listed removedRow) bool { return listed.name == name })
}

// listRemoval adds a removal to those that are kept.
func (t *Table) listRemoval(removal removedRow) {
	t.removed = append(t.removed, removal)
	t.removals[removal.name] = removal
}

func (t *Table) recordHistory(change *wire.TableChange, row, column, from, to string) {
	t.history = append(t.history, &wire.HistoryEntry{
		Version: t.version, Operator: change.GetOperator(), AtUnixMillis: change.GetAtUnixMillis(),
		Row: row, Column: column, From: DisplayValue(column, from), To: DisplayValue(column, to),
		ChangeId: change.GetChangeId(), Note: change.GetNote(),
	})
}

// DisplayValue returns a cell's value for display in the history, refusals and lists. For a document it returns the
// length and digest in place of the text.
func DisplayValue(column, value string) string {
	if known := columnIndex[column]; known == nil || known.Type != Text || value == "" {
		return value
	}
	return fmt.Sprintf("%d bytes, xxhash %016x", len(value), xxhash.Sum64String(value))
}

// trim drops the oldest history entries and removals above their bounds.
func (t *Table) trim() {
	if surplus := len(t.history) - MaximumHistory; surplus > 0 {
		clear(t.history[:surplus])
		t.history = t.history[surplus:] // append moves the rest to a new array once this one is full
	}
	if surplus := len(t.removed) - MaximumRemoved; surplus > 0 {
		t.removalFloor = t.removed[surplus-1].version
		for _, dropped := range t.removed[:surplus] {
			delete(t.removals, dropped.name)
		}
		t.removed = t.removed[surplus:]
	}
}

// UpdateSince returns the update from fromVersion to the current version. It is a delta if all removals since then are
// still listed, and the whole table otherwise. If fromVersion is the current version or newer, the update is empty and
// ends at fromVersion.
func (t *Table) UpdateSince(fromVersion uint64) *wire.TableUpdate {
	if fromVersion >= t.version && fromVersion > 0 {
		return &wire.TableUpdate{FromVersion: fromVersion, ToVersion: fromVersion}
	}
	return t.updateSince(fromVersion, func(*Row) bool { return true })
}

// updateSince returns the update from fromVersion, which is 0 or below the current version, with the changed rows that
// are covered. Removals are always included.
func (t *Table) updateSince(fromVersion uint64, covers func(*Row) bool) *wire.TableUpdate {
	if fromVersion < t.removalFloor {
		fromVersion = 0
	}
	update := &wire.TableUpdate{FromVersion: fromVersion, ToVersion: t.version, ForwardingVersion: t.forwarding.version}
	for _, stored := range t.recency.since(fromVersion) {
		if row := t.view.Row(stored.name); row == nil || covers(row) {
			update.Rows = append(update.Rows, wireRow(stored.name, stored, false))
		}
	}
	if fromVersion == 0 {
		return update
	}
	first := sort.Search(len(t.removed), func(position int) bool { return t.removed[position].version > fromVersion })
	for _, removal := range t.removed[first:] {
		update.RemovedRows = append(update.RemovedRows, removal.name)
	}
	sort.Strings(update.RemovedRows)
	return update
}

// wireRow encodes a row with its cells in order of column. Cleared cells are included only if cleared is set.
func wireRow(name string, stored *storedRow, cleared bool) *wire.TableRow {
	row := &wire.TableRow{Name: name}
	for _, column := range sortedColumns(stored.cells) {
		cell := stored.cells[column]
		if cell.value != "" || cleared {
			row.Cells = append(row.Cells, &wire.TableCell{
				Column: column, Value: cell.value, Version: cell.version, Operator: cell.operator,
			})
		}
	}
	return row
}

// History returns up to limit history entries of a row and column, newest first. An empty row or column matches all,
// and limit 0 returns all entries that are kept (at most MaximumHistory).
func (t *Table) History(row, column string, limit int) []*wire.HistoryEntry {
	var found []*wire.HistoryEntry
	for position := len(t.history) - 1; position >= 0; position-- {
		entry := t.history[position]
		if (row == "" || row == entry.GetRow()) && (column == "" || column == entry.GetColumn()) {
			found = append(found, entry)
		}
		if limit > 0 && len(found) == limit {
			break
		}
	}
	return found
}

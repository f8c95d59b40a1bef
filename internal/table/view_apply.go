package table

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Apply returns the view after the update. The receiver is never modified. An update to a version that the view already
// has changes nothing, so late and duplicate updates are harmless; but a whole table of the view's version replaces what
// the view has, which may be a part of it. Columns and kinds of row that this build does not
// know are skipped, because a newer control node may send updates to an older process during an upgrade. Apply fails
// with *GapError, or with an error for a malformed row or value.
func (v *View) Apply(update *wire.TableUpdate) (*View, error) {
	if update == nil || update.GetToVersion() < v.version || update.GetToVersion() == v.version && update.GetFromVersion() > 0 {
		return v, nil
	}
	if update.GetFromVersion() > v.version {
		return nil, &GapError{From: update.GetFromVersion(), Held: v.version}
	}
	changed := make(map[string]map[string]string, len(update.GetRows())+len(update.GetRemovedRows()))
	for _, name := range update.GetRemovedRows() {
		changed[name] = nil
	}
	for _, row := range update.GetRows() {
		cells, err := readRow(row)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if !isKnownKind(cells[ColumnKind]) {
			cells = nil // skip a kind that only newer builds know
		}
		changed[row.GetName()] = cells
	}
	if update.GetFromVersion() == 0 { // the whole table
		v.rows.Root().Walk(func(name []byte, _ *Row) bool {
			if _, listed := changed[string(name)]; !listed {
				changed[string(name)] = nil
			}
			return false
		})
	}
	return v.withRows(update.GetToVersion(), changed), nil
}

func isKnownKind(kind string) bool { return slices.Contains(everyKind, RowKind(kind)) }

// readRow returns the canonical cells of a row in an update. For a row of an unknown kind, it returns the kind only.
func readRow(row *wire.TableRow) (map[string]string, error) {
	if _, err := canonicalName(row.GetName()); err != nil {
		return nil, trace.Wrap(err, "row name in a table update")
	}
	cells := make(map[string]string, len(row.GetCells()))
	for _, cell := range row.GetCells() {
		column, known := columnIndex[cell.GetColumn()]
		if !known || cell.GetValue() == "" {
			continue
		}
		if column.Name == ColumnKind && !isKnownKind(cell.GetValue()) {
			return map[string]string{ColumnKind: cell.GetValue()}, nil
		}
		canonical, err := column.Canonical(cell.GetValue())
		if err != nil {
			return nil, trace.Wrap(err, "row %q, column %q in a table update", row.GetName(), column.Name)
		}
		cells[column.Name] = canonical
	}
	if cells[ColumnKind] == "" {
		return nil, trace.BadParameter("row %q in a table update has no kind", row.GetName())
	}
	return cells, nil
}

// withRows returns the view with the changed rows replaced by the given cells; nil cells remove a row. It resolves only
// rows that change themselves or whose pool changes, and shares the others with v.
func (v *View) withRows(version uint64, changed map[string]map[string]string) *View {
	differing := v.findDiffering(changed)
	if version == v.version && len(differing) == 0 {
		return v
	}
	next := v.edit(version)
	for name, cells := range differing {
		if previous := v.Row(name); previous != nil {
			next.remove(previous)
		}
		if cells != nil {
			next.add(resolve(name, cells, v.cellsAfter(cells[ColumnPool], differing)))
		}
	}
	return next.finish()
}

// findDiffering returns the new cells of the changed rows that differ from the view's, and the cells of all back ends
// whose pool differs.
func (v *View) findDiffering(changed map[string]map[string]string) map[string]map[string]string {
	differing := make(map[string]map[string]string, len(changed))
	poolChanged := false
	for name, cells := range changed {
		previous := v.Row(name)
		if cells == nil && previous == nil || previous != nil && cells != nil && maps.Equal(previous.explicit, cells) {
			continue
		}
		differing[name] = cells
		poolChanged = poolChanged || previous != nil && previous.Kind == Pool || cells[ColumnKind] == string(Pool)
	}
	if !poolChanged {
		return differing
	}
	v.rows.Root().Walk(func(_ []byte, row *Row) bool {
		_, changes := differing[row.explicit[ColumnPool]]
		if _, listed := differing[row.Name]; changes && !listed {
			differing[row.Name] = row.explicit
		}
		return false
	})
	return differing
}

// cellsAfter returns a row's own cells after the differing rows are replaced; nil if there is no such row.
func (v *View) cellsAfter(name string, differing map[string]map[string]string) map[string]string {
	if cells, listed := differing[name]; listed {
		return cells
	}
	if previous := v.Row(name); previous != nil {
		return previous.explicit
	}
	return nil
}

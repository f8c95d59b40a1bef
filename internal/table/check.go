package table

import (
	"maps"
	"slices"
	"strings"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// check returns the reasons why the table would be invalid after the draft. Every row was valid before, so every
// problem comes from this change. For a change of back ends and suspects only, which a large fleet sends often, it
// checks just the changed rows, because no other row depends on them.
func (t *Table) check(d *draft, after *View, change *wire.TableChange) []*wire.CellRefusal {
	if after.Len() > MaximumRows {
		return refuseWholeChange("table would have too many rows")
	}
	before := t.view
	var refusals []*wire.CellRefusal
	if d.changesOnlyLeaves(before, after) {
		refusals = checkRows(d.changedRows(after), after)
	} else {
		refusals = append(append(checkRows(after.Rows(), after), checkRoutes(after)...), checkTenants(after)...)
	}
	if len(refusals) == 0 && !isForced(change) {
		refusals = checkPoolsServed(before, after, d)
	}
	return refusals
}

// buildView returns the stored rows as typed rows, without rows of a kind that this build does not know.
func (t *Table) buildView() *View {
	own := make(map[string]map[string]string, len(t.rows))
	for name := range t.rows {
		if cells := t.copyCells(name); isKnownKind(cells[ColumnKind]) {
			own[name] = cells
		}
	}
	return NewView().withRows(t.version, own)
}

// checkRows checks rows of a view in the given order.
func checkRows(rows []*Row, after *View) []*wire.CellRefusal {
	var refusals []*wire.CellRefusal
	for _, row := range rows {
		refusals = append(refusals, checkRow(row, after)...)
	}
	return refusals
}

// changedRows returns the draft's rows as they are in the view after it, in order of name and without removed ones.
func (d *draft) changedRows(after *View) []*Row {
	var rows []*Row
	for _, name := range slices.Sorted(maps.Keys(d.rows)) {
		if row := after.Row(name); row != nil {
			rows = append(rows, row)
		}
	}
	return rows
}

// changesOnlyLeaves reports whether no other row depends on any row that the draft changes, before or after the change.
func (d *draft) changesOnlyLeaves(before, after *View) bool {
	for name := range d.rows {
		for _, view := range []*View{before, after} {
			if row := view.Row(name); row != nil && row.Kind != Backend && row.Kind != Suspect {
				return false
			}
		}
	}
	return true
}

func checkRow(row *Row, after *View) []*wire.CellRefusal {
	var refusals []*wire.CellRefusal
	refuse := func(column, reason string) {
		refusals = append(refusals, &wire.CellRefusal{Row: row.Name, Column: column, Reason: reason})
	}
	if row.Kind == "" {
		refuse(ColumnKind, "a row needs a kind")
		return refusals
	}
	if reserved := checkReservedName(row); reserved != nil {
		return reserved
	}
	if row.Kind == Backend {
		switch pool := after.Row(row.Pool); {
		case row.Pool == "":
			refuse(ColumnPool, "a back end needs a pool")
		case pool == nil:
			refuse(ColumnPool, "pool "+row.Pool+" does not exist, or is removed while it has this back end")
		case pool.Kind != Pool:
			refuse(ColumnPool, row.Pool+" is not a pool")
		}
		if row.Address == "" {
			refuse(ColumnAddress, "a back end needs an address")
		}
	}
	switch row.Kind {
	case Route:
		return checkRoute(row, after)
	case Tenant:
		return checkTenant(row)
	case Suspect:
		return checkSuspect(row)
	}
	if row.LiveReserve > row.MaxInFlight {
		refuse(ColumnLiveReserve, "live_room is above max_in_flight")
	}
	return refusals
}

// isForced reports whether the change's note contains ForceNote as a word, in any case.
func isForced(change *wire.TableChange) bool {
	for _, word := range strings.Fields(change.GetNote()) {
		if strings.EqualFold(strings.Trim(word, ".,:;!"), ForceNote) {
			return true
		}
	}
	return false
}

// checkPoolsServed refuses a change that leaves an existing pool without any serving back end although it had one.
func checkPoolsServed(before, after *View, d *draft) []*wire.CellRefusal {
	var refusals []*wire.CellRefusal
	for _, pool := range after.Pools() {
		if hasServing(before, pool.Name) && !hasServing(after, pool.Name) {
			refusals = append(refusals, refuseUnservedPool(pool.Name, before, after, d)...)
		}
	}
	return refusals
}

// hasServing reports whether some back end of a pool accepts new work.
func hasServing(view *View, pool string) bool {
	return slices.ContainsFunc(view.Backends(pool), (*Row).Serving)
}

// refuseUnservedPool refuses the cells and row removals by which the change takes the pool's last serving back ends.
func refuseUnservedPool(pool string, before, after *View, d *draft) []*wire.CellRefusal {
	reason := "pool " + pool + " would have no back end that takes new work; write " + ForceNote + " in the note to do it all the same"
	concerns := func(name string) bool {
		if name == pool {
			return true
		}
		old, now := before.Row(name), after.Row(name)
		return (old != nil && old.Kind == Backend && old.Pool == pool) || (now != nil && now.Kind == Backend && now.Pool == pool)
	}
	var refusals []*wire.CellRefusal
	for _, name := range d.removed {
		if concerns(name) {
			refusals = append(refusals, &wire.CellRefusal{Row: name, Reason: reason})
		}
	}
	for _, cell := range d.cells {
		affectsServing := cell.GetColumn() == ColumnState || cell.GetColumn() == ColumnWeight || cell.GetColumn() == ColumnPool
		if affectsServing && concerns(cell.GetRow()) {
			refusals = append(refusals, &wire.CellRefusal{Row: cell.GetRow(), Column: cell.GetColumn(), Reason: reason})
		}
	}
	return refusals
}

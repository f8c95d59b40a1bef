package table

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// GapError is returned when an update starts at a version above the view's. The holder of the view has to request an
// update from the version that it holds.
type GapError struct {
	From uint64 // version at which the update starts
	Held uint64 // version of the view
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("table update starts at version %d, held is %d", e.From, e.Held)
}

// View is one version of the table with typed rows. It is immutable and safe for concurrent use.
type View struct {
	version  uint64
	rows     map[string]*Row
	names    []string          // sorted
	backends map[string][]*Row // by pool and then name, without removed ones
	// accessVersion is the version of the last change of a listener or tenant.
	accessVersion uint64
	suspects      []*Row // in order of name
	started       int    // number of rows with a known start
}

// NewView returns the empty view at version 0.
func NewView() *View {
	return &View{rows: map[string]*Row{}, backends: map[string][]*Row{}}
}

// Version returns the version of the table in the view; 0 before the first update.
func (v *View) Version() uint64 { return v.version }

// AccessVersion returns the version of the last change of a listener or tenant. Data derived from the listeners and
// tenants of one view is valid for every later view with the same number.
func (v *View) AccessVersion() uint64 { return v.accessVersion }

// Row returns the row with the name, of any kind; nil if there is none.
func (v *View) Row(name string) *Row { return v.rows[name] }

// Rows returns all rows in order of name.
func (v *View) Rows() []*Row {
	rows := make([]*Row, 0, len(v.names))
	for _, name := range v.names {
		rows = append(rows, v.rows[name])
	}
	return rows
}

// Backend returns the back end's row with the given Row.Instance. It returns nil if there is no such back end, or if
// the row describes another start of it.
func (v *View) Backend(instance string) *Row {
	named := incarnation.Parse(instance)
	if row := v.findBackend(named.ID); row != nil && row.Incarnation().Compare(named) == incarnation.Same {
		return row
	}
	return nil
}

// HasRestarted reports whether the back end is known to have restarted after the start that instance names. The named
// instance then no longer holds or runs any request.
func (v *View) HasRestarted(instance string) bool {
	named := incarnation.Parse(instance)
	row := v.findBackend(named.ID)
	return row != nil && row.Incarnation().Compare(named) == incarnation.Newer
}

// IsKnownRestarted is HasRestarted for an instance that names its start, and false for one that does not. An instance
// without a recorded start may be the same start as the one that is recorded now, so its requests continue until its
// connection fails.
func (v *View) IsKnownRestarted(instance string) bool {
	return incarnation.Parse(instance).Start > 0 && v.HasRestarted(instance)
}

// findBackend returns the row with the name if it is a back end, nil otherwise.
func (v *View) findBackend(name string) *Row {
	if row := v.rows[name]; row != nil && row.Kind == Backend {
		return row
	}
	return nil
}

// Pool returns the row of the named pool; nil if there is no such pool.
func (v *View) Pool(name string) *Row {
	if row := v.rows[name]; row != nil && row.Kind == Pool {
		return row
	}
	return nil
}

// Pools returns the rows of all pools in order of name.
func (v *View) Pools() []*Row {
	var pools []*Row
	for _, name := range v.names {
		if row := v.rows[name]; row.Kind == Pool {
			pools = append(pools, row)
		}
	}
	return pools
}

// Suspects returns the rows of all suspects in order of name. The slice is shared and must not be modified.
func (v *View) Suspects() []*Row { return v.suspects }

// Backends returns the active and draining back ends of a pool in order of name. The slice is shared and must not be
// modified.
func (v *View) Backends(pool string) []*Row { return v.backends[pool] }

// Apply returns the view after the update. The receiver is never modified. An update to a version that the view already
// has changes nothing, so late and duplicate updates are harmless. Columns and kinds of row that this build does not
// know are skipped, because a newer control node may send updates to an older process during an upgrade. Apply fails
// with *GapError, or with an error for a malformed row or value.
func (v *View) Apply(update *wire.TableUpdate) (*View, error) {
	if update == nil || update.GetToVersion() <= v.version {
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
		for name := range v.rows {
			if _, listed := changed[name]; !listed {
				changed[name] = nil
			}
		}
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
// rows that change themselves or whose pool changes, and shares the others with v. The cost is therefore that of the
// changed rows, plus a copy of the map of rows.
func (v *View) withRows(version uint64, changed map[string]map[string]string) *View {
	next := &View{version: version, rows: maps.Clone(v.rows), names: v.names, backends: maps.Clone(v.backends), accessVersion: v.accessVersion,
		suspects: v.suspects, started: v.started}
	differing := v.findDiffering(changed)
	var added, removed []string
	pools := map[string]map[string]bool{} // by pool, back ends whose entry in the pool's list has to be updated
	touch := func(row *Row) {
		if row == nil || row.Kind != Backend {
			return
		}
		if pools[row.Pool] == nil {
			pools[row.Pool] = map[string]bool{}
		}
		pools[row.Pool][row.Name] = true
	}
	suspectsChange := false
	for name, cells := range differing {
		previous := v.rows[name]
		touch(previous)
		next.started -= countStart(previous)
		suspectsChange = suspectsChange || strings.HasPrefix(name, SuspectPrefix)
		if isAccessRow(previous) || cells[ColumnKind] == string(Tenant) || cells[ColumnKind] == string(Listener) {
			next.accessVersion = version
		}
		switch {
		case cells == nil:
			delete(next.rows, name)
			removed = append(removed, name)
			continue
		case previous == nil:
			added = append(added, name)
		}
		next.rows[name] = resolve(name, cells, v.cellsAfter(cells[ColumnPool], differing))
		touch(next.rows[name])
		next.started += countStart(next.rows[name])
	}
	if len(added)+len(removed) > 0 {
		next.names = mergeNames(v.names, added, removed)
	}
	for pool, names := range pools {
		next.updateBackends(pool, names)
	}
	if suspectsChange {
		next.listSuspects()
	}
	return next
}

// countStart returns 1 for a row with a known start, and 0 otherwise.
func countStart(row *Row) int {
	if row == nil || row.Start == 0 {
		return 0
	}
	return 1
}

// HasStarts reports whether some row holds the start of its back end. If so, all builds in the cluster know the
// column.
func (v *View) HasStarts() bool { return v.started > 0 }

// listSuspects rebuilds the list of suspects, which is short.
func (v *View) listSuspects() {
	v.suspects = nil
	first, _ := slices.BinarySearch(v.names, SuspectPrefix)
	for _, name := range v.names[first:] {
		if !strings.HasPrefix(name, SuspectPrefix) {
			return
		}
		if row := v.rows[name]; row.Kind == Suspect {
			v.suspects = append(v.suspects, row)
		}
	}
}

// isAccessRow reports whether a row controls who may call the gateways.
func isAccessRow(row *Row) bool {
	return row != nil && (row.Kind == Tenant || row.Kind == Listener)
}

// findDiffering returns the new cells of the changed rows that differ from the view's, and the cells of all back ends
// whose pool differs.
func (v *View) findDiffering(changed map[string]map[string]string) map[string]map[string]string {
	differing := make(map[string]map[string]string, len(changed))
	poolChanged := false
	for name, cells := range changed {
		previous := v.rows[name]
		if cells == nil && previous == nil || previous != nil && cells != nil && maps.Equal(previous.explicit, cells) {
			continue
		}
		differing[name] = cells
		poolChanged = poolChanged || previous != nil && previous.Kind == Pool || cells[ColumnKind] == string(Pool)
	}
	if !poolChanged {
		return differing
	}
	for name, row := range v.rows {
		if _, changes := differing[row.explicit[ColumnPool]]; !changes {
			continue
		}
		if _, listed := differing[name]; !listed {
			differing[name] = row.explicit
		}
	}
	return differing
}

// cellsAfter returns a row's own cells after the differing rows are replaced; nil if there is no such row.
func (v *View) cellsAfter(name string, differing map[string]map[string]string) map[string]string {
	if cells, listed := differing[name]; listed {
		return cells
	}
	if previous := v.rows[name]; previous != nil {
		return previous.explicit
	}
	return nil
}

// mergeNames returns the names, sorted, with the added names and without the removed ones.
func mergeNames(names, added, removed []string) []string {
	isRemoved := make(map[string]bool, len(removed))
	for _, name := range removed {
		isRemoved[name] = true
	}
	merged := make([]string, 0, len(names)+len(added)-len(removed))
	for _, name := range names {
		if !isRemoved[name] {
			merged = append(merged, name)
		}
	}
	merged = append(merged, added...)
	slices.Sort(merged)
	return merged
}

// updateBackends updates the entries of the named rows in a pool's list of back ends.
func (v *View) updateBackends(pool string, names map[string]bool) {
	listed := make([]*Row, 0, len(v.backends[pool])+len(names))
	for _, row := range v.backends[pool] {
		if !names[row.Name] {
			listed = append(listed, row)
		}
	}
	for name := range names {
		if row := v.rows[name]; row != nil && row.Kind == Backend && row.Pool == pool && row.State != Removed {
			listed = append(listed, row)
		}
	}
	if len(listed) == 0 {
		delete(v.backends, pool)
		return
	}
	slices.SortFunc(listed, func(a, b *Row) int { return strings.Compare(a.Name, b.Name) })
	v.backends[pool] = listed
}

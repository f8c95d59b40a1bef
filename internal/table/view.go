package table

import (
	"fmt"
	"maps"
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// GapError is returned when an update starts above the view's version: the holder must say which version
// it holds and gets a fitting update.
type GapError struct {
	From uint64 // version that the update starts at
	Held uint64 // version that the view shows
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("table update starts at version %d, held is %d", e.From, e.Held)
}

// View is one version of the table with typed rows. It is immutable and safe to share.
type View struct {
	version  uint64
	rows     map[string]*Row
	names    []string // sorted
	backends map[string][]*Row
}

// NewView returns the empty view at version 0.
func NewView() *View {
	return &View{rows: map[string]*Row{}, backends: map[string][]*Row{}}
}

// Version returns the table version that the view shows; 0 before the first update.
func (v *View) Version() uint64 { return v.version }

// Row returns a row of any kind; nil if there is none of the name.
func (v *View) Row(name string) *Row { return v.rows[name] }

// Rows returns all rows by name.
func (v *View) Rows() []*Row {
	rows := make([]*Row, 0, len(v.names))
	for _, name := range v.names {
		rows = append(rows, v.rows[name])
	}
	return rows
}

// Pool returns a pool's row; nil if there is no pool of the name.
func (v *View) Pool(name string) *Row {
	if row := v.rows[name]; row != nil && row.Kind == Pool {
		return row
	}
	return nil
}

// Pools returns the pools' rows by name.
func (v *View) Pools() []*Row {
	var pools []*Row
	for _, name := range v.names {
		if row := v.rows[name]; row.Kind == Pool {
			pools = append(pools, row)
		}
	}
	return pools
}

// Backends returns the back ends of a pool by name, active and draining, without removed ones. The slice
// is shared: do not change it.
func (v *View) Backends(pool string) []*Row { return v.backends[pool] }

// Apply returns the view that the update leads to. An update to a version that is already held changes
// nothing, so that late and doubled updates are harmless. Errors: *GapError; a malformed row or value. The
// receiver is unchanged in every case. A column that this program does not know is skipped: a newer control
// node may serve an older holder during an upgrade.
func (v *View) Apply(update *wire.TableUpdate) (*View, error) {
	if update == nil || update.GetToVersion() <= v.version {
		return v, nil
	}
	if update.GetFromVersion() > v.version {
		return nil, &GapError{From: update.GetFromVersion(), Held: v.version}
	}
	own := make(map[string]map[string]string, len(v.rows)+len(update.GetRows()))
	if update.GetFromVersion() > 0 {
		for name, row := range v.rows {
			own[name] = row.explicit
		}
	}
	for _, name := range update.GetRemovedRows() {
		delete(own, name)
	}
	for _, row := range update.GetRows() {
		cells, err := readRow(row)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		own[row.GetName()] = cells
	}
	return v.rebuild(update.GetToVersion(), own), nil
}

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

// rebuild resolves the rows that changed themselves or whose pool did, and keeps the others.
func (v *View) rebuild(version uint64, own map[string]map[string]string) *View {
	next := &View{version: version, rows: make(map[string]*Row, len(own)), backends: map[string][]*Row{}}
	same := func(name string) bool {
		held := v.rows[name]
		return held != nil && own[name] != nil && maps.Equal(held.explicit, own[name])
	}
	for name, cells := range own {
		pool := cells[ColumnPool]
		if same(name) && (pool == "" || same(pool)) {
			next.rows[name] = v.rows[name]
		} else {
			next.rows[name] = resolve(name, cells, own[pool])
		}
		next.names = append(next.names, name)
	}
	sort.Strings(next.names)
	for _, name := range next.names {
		if row := next.rows[name]; row.Kind == Backend && row.State != Removed {
			next.backends[row.Pool] = append(next.backends[row.Pool], row)
		}
	}
	return next
}

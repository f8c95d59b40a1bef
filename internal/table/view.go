package table

import (
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"github.com/tamarindring/tamarindring/internal/incarnation"
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

// View is one version of the table with typed rows. It is immutable and safe for concurrent use. Successive views share
// whatever does not change between them, so that a new view costs what its changed rows cost.
type View struct {
	version uint64
	rows    *iradix.Tree[*Row] // by name
	lists   map[listName]*rowList
	// addresses holds all back ends by address, in order of name.
	addresses *iradix.Tree[[]*Row]
	// accessVersion is the version of the last change of a listener or tenant.
	accessVersion uint64
	started       int // number of rows with a known start
	registered    int // number of back ends that registered themselves and are not removed
}

// NewView returns the empty view at version 0.
func NewView() *View {
	return &View{rows: iradix.New[*Row](), addresses: iradix.New[[]*Row](), lists: map[listName]*rowList{}}
}

// Version returns the version of the table in the view; 0 before the first update.
func (v *View) Version() uint64 { return v.version }

// AccessVersion returns the version of the last change of a listener or tenant. Data derived from the listeners and
// tenants of one view is valid for every later view with the same number.
func (v *View) AccessVersion() uint64 { return v.accessVersion }

// Len returns the number of rows.
func (v *View) Len() int { return v.rows.Len() }

// Row returns the row with the name, of any kind; nil if there is none.
func (v *View) Row(name string) *Row {
	row, _ := v.rows.Get([]byte(name))
	return row
}

// Rows returns all rows in order of name. The cost grows with the whole table: readers of one kind of row use OfKind,
// and readers of one pool or address use Backends or AtAddress.
func (v *View) Rows() []*Row {
	rows := make([]*Row, 0, v.rows.Len())
	v.rows.Root().Walk(func(_ []byte, row *Row) bool {
		rows = append(rows, row)
		return false
	})
	return rows
}

// OfKind returns the rows of a kind other than Backend in order of name. The slice is shared and must not be modified.
func (v *View) OfKind(kind RowKind) []*Row { return v.lists[listName{kind: kind}].sorted() }

// AtAddress returns the back ends with the address, removed ones included, in order of name. The slice is shared and
// must not be modified.
func (v *View) AtAddress(address string) []*Row {
	rows, _ := v.addresses.Get([]byte(address))
	return rows
}

// Registered returns the number of back ends that registered themselves and are not removed.
func (v *View) Registered() int { return v.registered }

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
	if row := v.Row(name); row != nil && row.Kind == Backend {
		return row
	}
	return nil
}

// Pool returns the row of the named pool; nil if there is no such pool.
func (v *View) Pool(name string) *Row {
	if row := v.Row(name); row != nil && row.Kind == Pool {
		return row
	}
	return nil
}

// Pools returns the rows of all pools in order of name. The slice is shared and must not be modified.
func (v *View) Pools() []*Row { return v.OfKind(Pool) }

// Suspects returns the rows of all suspects in order of name. The slice is shared and must not be modified.
func (v *View) Suspects() []*Row { return v.OfKind(Suspect) }

// HasStarts reports whether some row holds the start of its back end. If so, all builds in the cluster know the
// column.
func (v *View) HasStarts() bool { return v.started > 0 }

// Backends returns the active and draining back ends of a pool in order of name. The slice is shared and must not be
// modified.
func (v *View) Backends(pool string) []*Row { return v.lists[listName{Backend, pool}].sorted() }

package table

import (
	"maps"
	"slices"
	"strings"
	"sync"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// rowList is a set of rows. It is immutable and safe for concurrent use.
type rowList struct {
	byName *iradix.Tree[*Row]
	once   sync.Once
	list   []*Row // in order of name; built by the first call of sorted
}

// sorted returns the rows in order of name. The slice is shared and must not be modified. The zero rowList and nil have
// no rows.
func (l *rowList) sorted() []*Row {
	if l == nil {
		return nil
	}
	l.once.Do(func() {
		l.list = make([]*Row, 0, l.byName.Len())
		l.byName.Root().Walk(func(_ []byte, row *Row) bool {
			l.list = append(l.list, row)
			return false
		})
	})
	return l.list
}

// listName identifies a list of rows: the rows of a kind other than Backend, or the back ends of a pool that are not
// removed.
type listName struct {
	kind RowKind
	pool string // of back ends; empty for other kinds
}

// listed returns the list that has the row, and false if none has it.
func (r *Row) listed() (listName, bool) {
	if r.Kind != Backend {
		return listName{kind: r.Kind}, true
	}
	return listName{kind: Backend, pool: r.Pool}, r.State != Removed
}

// viewEdit builds the next view from an earlier one by replacing rows.
type viewEdit struct {
	next      *View
	rows      *iradix.Txn[*Row]
	addresses *iradix.Txn[[]*Row]
	lists     map[listName]*iradix.Txn[*Row] // the changed lists
}

// edit begins the view that follows v.
func (v *View) edit(version uint64) *viewEdit {
	next := *v
	next.version = version
	return &viewEdit{next: &next, rows: v.rows.Txn(), addresses: v.addresses.Txn(), lists: map[listName]*iradix.Txn[*Row]{}}
}

// remove removes a row from all indexes.
func (e *viewEdit) remove(row *Row) {
	e.count(row, -1)
	e.rows.Delete([]byte(row.Name))
	if name, ok := row.listed(); ok {
		e.list(name).Delete([]byte(row.Name))
	}
	if row.Kind != Backend {
		return
	}
	if others := withoutRow(e.atAddress(row.Address), row.Name); len(others) > 0 {
		e.addresses.Insert([]byte(row.Address), others)
	} else {
		e.addresses.Delete([]byte(row.Address))
	}
}

// add adds a row to all indexes.
func (e *viewEdit) add(row *Row) {
	e.count(row, 1)
	e.rows.Insert([]byte(row.Name), row)
	if name, ok := row.listed(); ok {
		e.list(name).Insert([]byte(row.Name), row)
	}
	if row.Kind == Backend {
		e.addresses.Insert([]byte(row.Address), withRow(e.atAddress(row.Address), row))
	}
}

// count adds change to the counts that include the row, and records a change of a listener or tenant.
func (e *viewEdit) count(row *Row, change int) {
	if row.Start != 0 {
		e.next.started += change
	}
	if row.IsRegistered() && row.State != Removed {
		e.next.registered += change
	}
	if row.Kind == Tenant || row.Kind == Listener {
		e.next.accessVersion = e.next.version
	}
}

func (e *viewEdit) atAddress(address string) []*Row {
	rows, _ := e.addresses.Get([]byte(address))
	return rows
}

// list returns the transaction that changes a list.
func (e *viewEdit) list(name listName) *iradix.Txn[*Row] {
	if open := e.lists[name]; open != nil {
		return open
	}
	byName := iradix.New[*Row]()
	if current := e.next.lists[name]; current != nil {
		byName = current.byName
	}
	e.lists[name] = byName.Txn()
	return e.lists[name]
}

// finish returns the next view. The edit must not be used afterwards.
func (e *viewEdit) finish() *View {
	next := e.next
	next.rows, next.addresses = e.rows.Commit(), e.addresses.Commit()
	next.lists = maps.Clone(next.lists)
	for name, changed := range e.lists {
		if byName := changed.Commit(); byName.Len() > 0 {
			next.lists[name] = &rowList{byName: byName}
		} else {
			delete(next.lists, name)
		}
	}
	return next
}

// withRow returns a copy of rows, which are in order of name, with the row added or replaced.
func withRow(rows []*Row, row *Row) []*Row {
	at, found := slices.BinarySearchFunc(rows, row.Name, compareName)
	changed := slices.Clone(rows)
	if found {
		changed[at] = row
		return changed
	}
	return slices.Insert(changed, at, row)
}

// withoutRow returns a copy of rows, which are in order of name, without the named one.
func withoutRow(rows []*Row, name string) []*Row {
	at, found := slices.BinarySearchFunc(rows, name, compareName)
	if !found {
		return rows
	}
	return slices.Delete(slices.Clone(rows), at, at+1)
}

func compareName(row *Row, name string) int { return strings.Compare(row.Name, name) }

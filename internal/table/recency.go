package table

import (
	"cmp"
	"container/list"
	"slices"
	"strings"
)

// recency holds the rows in order of their last change, so that the rows that changed after a version are found without
// a look at the others. Use newRecency.
type recency struct {
	rows *list.List // of *storedRow, the latest change last
}

// newRecency returns the order of rows whose versions are set.
func newRecency(rows map[string]*storedRow) recency {
	ordered := recency{rows: list.New()}
	sorted := make([]*storedRow, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, row)
	}
	slices.SortFunc(sorted, func(a, b *storedRow) int { return cmp.Compare(a.version, b.version) })
	for _, row := range sorted {
		ordered.touch(row)
	}
	return ordered
}

// touch makes a row the one that changed last.
func (r *recency) touch(row *storedRow) {
	if row.place == nil {
		row.place = r.rows.PushBack(row)
		return
	}
	r.rows.MoveToBack(row.place)
}

// drop removes a row.
func (r *recency) drop(row *storedRow) {
	r.rows.Remove(row.place)
	row.place = nil
}

// since returns the rows that changed after a version, in order of name.
func (r *recency) since(version uint64) []*storedRow {
	var changed []*storedRow
	for place := r.rows.Back(); place != nil; place = place.Prev() {
		row := place.Value.(*storedRow)
		if row.version <= version {
			break
		}
		changed = append(changed, row)
	}
	slices.SortFunc(changed, func(a, b *storedRow) int { return strings.Compare(a.name, b.name) })
	return changed
}

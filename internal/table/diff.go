package table

import "strings"

// DiffRows compares two lists of rows in order of name, such as those of View.Backends, and returns the rows that are only
// in the first one and those that are only in the second. A row that has changed is in both results. Rows that have not
// changed are shared between views, so that the comparison is cheap.
func DiffRows(before, after []*Row) (removed, added []*Row) {
	if len(before) == len(after) && (len(before) == 0 || &before[0] == &after[0]) {
		return nil, nil
	}
	for len(before) > 0 && len(after) > 0 {
		if before[0] == after[0] {
			before, after = before[1:], after[1:]
			continue
		}
		order := strings.Compare(before[0].Name, after[0].Name)
		if order <= 0 {
			removed, before = append(removed, before[0]), before[1:]
		}
		if order >= 0 {
			added, after = append(added, after[0]), after[1:]
		}
	}
	return append(removed, before...), append(added, after...)
}

// PoolsOf returns the pools that have an entry in either of two sets of lists.
func PoolsOf(before, after map[string][]*Row) []string {
	pools := make([]string, 0, len(after))
	for pool := range after {
		pools = append(pools, pool)
	}
	for pool := range before {
		if _, listed := after[pool]; !listed {
			pools = append(pools, pool)
		}
	}
	return pools
}

package main

import "sort"

// sortBy sorts a slice.
func sortBy[T any](all []T, less func(a, b T) bool) {
	sort.SliceStable(all, func(i, j int) bool { return less(all[i], all[j]) })
}

// Package defaults fills in settings that were left at their zero value.
package defaults

// Set gives *field the value unless it has one other than its type's zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

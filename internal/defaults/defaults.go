// Package defaults sets default values of configuration fields.
package defaults

// Set sets *field to value if it has its type's zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Package table is the operators' table: rows are pools and back ends, columns are typed weights and
// limits. Table is the authoritative copy inside the replicated state machine of the control group; View
// is the immutable copy that gateways and coordinators act on.
//
// Versions: the whole table has one number that rises by one with each accepted change, and every cell
// remembers the number that set it. A change names the version it was made against and conflicts only if a
// cell that it touches was set later. docs/design/table.md weighs this against row and whole-table checks.
//
// The package is pure: no clock, no goroutine, no I/O. Table must be applied in log order by one goroutine;
// a View may be shared freely.
package table

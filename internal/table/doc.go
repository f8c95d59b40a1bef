// Package table implements the operators' table, which holds the configuration of a cluster. Its rows are pools, back
// ends, routes, listeners, tenants, documents and suspect requests; its columns are typed settings such as weights and
// limits. Table is the authoritative copy inside the replicated state machine of the control group. View is the
// immutable copy that gateways and coordinators read.
//
// The table has one version number, which increases by one with each accepted change. Every cell records the version
// that set it. A change names the version that it is based on, and conflicts only if a cell that it touches was set
// after that version. docs/design/table.md compares this with conflict checks by row and by whole table.
//
// The package uses no clock, no goroutine and no I/O. Changes must be applied to a Table in log order by one goroutine.
// A View is safe for concurrent use.
package table

// Package poisonguard is the runtime of package poison in one process: it permits the runs of requests, reports under which of them back
// ends crashed to the table of the control group, which all processes follow under their leases, and claims the runs of suspects there.
//
// A process that can't reach the control group judges by what it has seen itself and loses its lease within a second or so, after
// which it sends nothing at all.
package poisonguard

// Package poisonguard applies package poison in one process. It permits runs of requests, reports the requests under
// which back ends crashed to the table of the control group, and claims the runs of suspects there. All processes
// follow this table under their leases.
//
// A process that cannot reach the control group decides by the crashes that it observed itself. It loses its lease
// within about one second and then sends nothing at all.
package poisonguard

// Package lease decides when a process may act on its view of the table, and when a table version is certainly in
// force in all processes.
//
// A Holder (in each gateway and coordinator) may act only until its lease ends, counted from the moment at which it
// sent the renewal. A Granter (in the leader of the control group) counts the same lease from the moment at which the
// renewal arrived, and for longer by a margin for clocks that run at different speeds. A Holder therefore always
// stops before its Granter considers the lease ended. After a renewal arrived and before answering it, the leader
// must confirm its leadership with a quorum. A deposed leader then grants nothing, and its last grants end within one
// lease of the election. docs/design/table.md has the argument, models/lease.pml the checked model.
//
// Times are time.Duration values on one process's monotonic clock, since an arbitrary start; the two sides never
// compare their clocks. The package is pure and not safe for concurrent use: guard it with the owner's lock.
package lease

// Package lease decides when a process may act on its table view, and when a table version is certainly in
// force everywhere.
//
// A Holder (in each gateway and coordinator) may act only until its lease ends, counted from the moment it
// sent the renewal. A Granter (in the leader of the control group) counts the same lease from the moment the
// renewal arrived, and longer by a margin for clocks that run at different speeds, so a Holder always stops
// before its Granter thinks so. The leader must confirm its leadership with a quorum after a renewal arrived
// and before it answers it: a deposed leader then grants nothing, and its last grants end within one lease
// of the election. docs/design/table.md has the argument, models/lease.pml the checked model.
//
// Times are time.Duration on one process's monotonic clock, since an arbitrary start; the two sides never
// compare theirs. The package is pure and not safe for concurrent use: guard it with the owner's lock.
package lease

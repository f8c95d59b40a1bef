package raft

import "fmt"

// invariantState holds the values that never decrease, as of the last check.
type invariantState struct {
	term, commit, applied uint64
}

// checkInvariants panics if an invariant of this package is violated. Messages from peers cannot cause that: Step
// rejects those that contradict what is committed.
func (n *Node) checkInvariants() {
	l := &n.log
	switch {
	case n.term < n.lastChecked.term:
		n.failInvariant("the term decreased from %d to %d", n.lastChecked.term, n.term)
	case l.commit < n.lastChecked.commit:
		n.failInvariant("the commit index decreased from %d to %d", n.lastChecked.commit, l.commit)
	case l.applied < n.lastChecked.applied:
		n.failInvariant("the applied index decreased from %d to %d", n.lastChecked.applied, l.applied)
	case l.applied > l.applying || l.applying > l.commit || l.commit > l.lastIndex():
		n.failInvariant("applied %d, applying %d, commit %d, last index %d are not in ascending order", l.applied, l.applying, l.commit, l.lastIndex())
	case l.stable > l.lastIndex() || l.offset > l.commit:
		n.failInvariant("stable %d is past last index %d, or offset %d is past commit %d", l.stable, l.lastIndex(), l.offset, l.commit)
	case n.role == Leader && n.leader != n.id:
		n.failInvariant("its role is leader, but the leader it knows is node %x", n.leader)
	}
	n.lastChecked = invariantState{term: n.term, commit: l.commit, applied: l.applied}
}

func (n *Node) failInvariant(format string, arguments ...any) {
	panic(fmt.Sprintf("raft: node %x: broken invariant: %s", n.id, fmt.Sprintf(format, arguments...)))
}

package raft

import "fmt"

// seen is what the last check saw of the values that only ever grow.
type seen struct {
	term, commit, applied uint64
}

// checkInvariants panics if this package has broken its own rules. Messages from peers cannot cause it:
// Step refuses those that contradict what is committed.
func (n *Node) checkInvariants() {
	l := &n.log
	switch {
	case n.term < n.seen.term:
		n.broken("the term fell from %d to %d", n.seen.term, n.term)
	case l.commit < n.seen.commit:
		n.broken("the commit index fell from %d to %d", n.seen.commit, l.commit)
	case l.applied < n.seen.applied:
		n.broken("the applied index fell from %d to %d", n.seen.applied, l.applied)
	case l.applied > l.handed || l.handed > l.commit || l.commit > l.last():
		n.broken("applied %d, handed out %d, commit %d, last index %d", l.applied, l.handed, l.commit, l.last())
	case l.stable > l.last() || l.offset > l.commit:
		n.broken("stable %d, last index %d, offset %d, commit %d", l.stable, l.last(), l.offset, l.commit)
	case n.role == Leader && n.leader != n.id:
		n.broken("it leads but takes node %x for the leader", n.leader)
	}
	n.seen = seen{term: n.term, commit: l.commit, applied: l.applied}
}

func (n *Node) broken(format string, arguments ...any) {
	panic(fmt.Sprintf("raft: node %x: broken invariant: %s", n.id, fmt.Sprintf(format, arguments...)))
}

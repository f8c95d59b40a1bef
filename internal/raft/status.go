package raft

// Status returns this node's view of its group. The configuration is the one in force on this node. Match is empty
// unless the node leads.
func (n *Node) Status() Status {
	status := Status{
		ID: n.id, Role: n.role, Leader: n.leader, Term: n.term, Vote: n.vote,
		Commit: n.log.commit, Applied: n.log.applied, Stable: n.log.stable, FirstIndex: n.log.firstIndex(),
		LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(),
		Configuration: n.configuration().Clone(),
	}
	for _, p := range n.progress {
		status.Match = append(status.Match, Progress{Node: p.node, Match: p.match,
			Learner: status.Configuration.IsLearner(p.node), RecentActive: n.isActive(p), Heard: p.repliedInTerm || p.node == n.id})
	}
	return status
}

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "unknown"
}

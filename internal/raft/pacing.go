package raft

// Elections are paced so that one can complete before the next one starts, even on slow disks: a vote counts only
// after a sync of the candidate and a sync of the voter. Three rules achieve this without changing what a vote means.
// Without them, five nodes that restarted together with syncs of 100 ms reached term 295 after 60 s and had no
// leader.
//
//   - Election timeouts double with each term that passes without a leader.
//   - The election timer stops while the node's own term and vote are being synced.
//   - A node that prefers one candidate rejects pre-votes for others for one election timeout.

const (
	// initialTimeoutDivisor divides ElectionTicks until the node has seen a leader.
	initialTimeoutDivisor = 5
	// maxTimeoutFactor bounds the growth of election timeouts, as a multiple of ElectionTicks. With 10 ticks of 50 ms
	// a node waits between 4 s and 8 s at most, long enough for an election whose syncs take 1.5 s each.
	maxTimeoutFactor = 8
)

// randomizeElectionTimeout draws the number of ticks without a leader after which this node starts a pre-vote.
func (n *Node) randomizeElectionTimeout() {
	least := n.minElectionTimeout()
	n.electionTimeout = least + n.config.Random.Intn(least) + n.config.CampaignDelayTicks
}

// minElectionTimeout returns the lower bound of the randomized election timeout, in ticks. The bound is shorter until
// this node has seen a leader since its start: after a power loss all nodes start without a leader, and voters that
// hear a live leader ignore this node's requests, so that they cannot disturb it. The bound doubles with each term
// without a leader. These terms follow from the log, so restarted nodes back off as much as running ones. A pre-vote
// that fails starts no term and causes no backoff, so nodes that restart find each other at once.
func (n *Node) minElectionTimeout() int {
	least := n.config.ElectionTicks
	if !n.leaderSeen {
		least = max(least/initialTimeoutDivisor, n.config.HeartbeatTicks)
	}
	limit := maxTimeoutFactor * n.config.ElectionTicks
	for leaderless := n.term - n.lastLeaderTerm; leaderless > 0 && least < limit; leaderless-- {
		least *= 2
	}
	return min(least, limit)
}

// tickElection advances the election timer of a node that is not the leader, and reports whether it has expired.
func (n *Node) tickElection() bool {
	if n.leader == None && n.hasUnsyncedTermOrVote() {
		return false
	}
	if n.preferenceTicks > 0 {
		n.preferenceTicks--
	}
	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return false
	}
	n.electionElapsed = 0
	return true
}

// hasUnsyncedTermOrVote reports whether this node's term or vote is not on its disk yet.
func (n *Node) hasUnsyncedTermOrVote() bool {
	return n.output.persisted.Term != n.term || n.output.persisted.Vote != n.vote
}

// preferCandidate makes this node reject pre-votes for candidates other than node for minElectionTimeout ticks.
func (n *Node) preferCandidate(node uint64) {
	n.preferredCandidate, n.preferenceTicks = node, n.minElectionTimeout()
}

// preferFirstCandidate prefers the first candidate for a pre-vote since a leader was heard or the term began. Later
// candidates are not preferred, because a node that campaigns repeatedly and cannot win could then block one that
// can.
func (n *Node) preferFirstCandidate(node uint64) {
	if n.preferredCandidate != None {
		return
	}
	n.preferCandidate(node)
	if node != n.id {
		n.leader = None // it was silent for an election timeout; otherwise this node would have ignored the request
		n.electionElapsed = 0
	}
}

// prefersOtherCandidate reports whether m requests a pre-vote while this node prefers another candidate.
func (n *Node) prefersOtherCandidate(m Message) bool {
	return n.preferenceTicks > 0 && n.preferredCandidate != m.From && !n.shouldAbandonPreVoteFor(m)
}

// clearPreferredCandidate ends the preference, because a term has begun or a leader was heard.
func (n *Node) clearPreferredCandidate() { n.preferredCandidate, n.preferenceTicks = None, 0 }

// recordLeader records that the current term has a leader.
func (n *Node) recordLeader() {
	n.clearPreferredCandidate()
	if n.leaderSeen && n.lastLeaderTerm == n.term {
		return
	}
	n.leaderSeen, n.lastLeaderTerm = true, n.term
	n.randomizeElectionTimeout()
}

package raft

// vote is one voter's answer in a pre-vote or an election.
type vote struct {
	node    uint64
	granted bool
}

// transferContext in the Context of a vote request marks an election that the leader requested. Voters don't ignore
// such a request although they hear a leader.
const transferContext = 1

// canCampaign reports whether this node may become leader: as a voter of its latest configuration, or of the
// committed one while the latest is uncommitted. In the second case it can be the only node whose log is up to date
// enough to win, and without it the group would have no leader.
func (n *Node) canCampaign() bool {
	latest := n.configurations.latest()
	if latest.configuration.IsVoter(n.id) {
		return true
	}
	return latest.index > n.log.commit && n.configurations.at(n.log.commit).IsVoter(n.id)
}

// campaignForPreVotes asks the voters whether they would grant this node a vote, without starting a new term, so that
// a node that was partitioned does not disrupt a healthy leader when it comes back.
func (n *Node) campaignForPreVotes() {
	n.role, n.leader, n.transferCampaign = PreCandidate, None, false
	n.resetRole()
	n.preferFirstCandidate(n.id)
	n.elections.PreCampaigns++
	n.requestVotes(MessagePreVote, n.term+1)
	n.recordPreVote(n.id, true) // a pre-vote is no promise and needs no sync
}

// campaign starts an election in a new term. The node's own vote counts only once it is synced; see Advance.
func (n *Node) campaign() {
	n.role, n.leader = Candidate, None
	n.term, n.vote = n.term+1, n.id
	n.votes, n.electionOpen = n.votes[:0], true
	n.resetRole()
	n.preferCandidate(n.id)
	n.output.selfVoteTerm = n.term
	n.elections.Campaigns++
	n.requestVotes(MessageVote, n.term)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	context := uint64(0)
	if n.transferCampaign {
		context = transferContext
	}
	for _, voter := range n.configuration().Voters {
		if voter != n.id {
			n.elections.requestCounts(voter, kind).Asked++
			n.send(Message{Kind: kind, To: voter, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Context: context})
		}
	}
}

// shouldIgnoreVoteRequest reports whether m requests a vote or pre-vote while this node hears a leader. Such a
// candidate was removed from the group or is partitioned from the leader, and an answer would let it disrupt the
// group.
func (n *Node) shouldIgnoreVoteRequest(m Message) bool {
	if m.Kind != MessagePreVote && m.Kind != MessageVote || m.Context == transferContext {
		return false
	}
	return n.leader != None && n.electionElapsed < n.config.ElectionTicks
}

// handleVoteRequest grants or rejects a vote in this term, or a pre-vote for a later one.
func (n *Node) handleVoteRequest(m Message) {
	canGrant := n.vote == m.From || n.vote == None && n.leader == None
	if m.Kind == MessagePreVote {
		canGrant = m.Term > n.term && !n.prefersOtherCandidate(m)
	}
	granted := canGrant && (n.log.isUpToDate(m.Index, m.LogTerm) || n.config.Unsafe.SkipLogUpToDateCheck)
	if granted && n.shouldAbandonPreVoteFor(m) {
		n.becomeFollower(n.term, None)
	}
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Term: n.term, Reject: !granted, Context: n.countVoteAnswer(m, granted)}
	if granted {
		reply.Term = m.Term
	}
	if m.Kind == MessageVote {
		reply.Kind = MessageVoteReply
		if granted {
			n.vote = m.From
			n.electionElapsed = 0
			n.preferCandidate(m.From)
		}
	} else if granted {
		n.preferFirstCandidate(m.From)
	}
	n.send(reply)
}

// shouldAbandonPreVoteFor reports whether this node gives up its own pre-vote in favor of the sender of m. Nodes that
// start together campaign at the same tick, win each other's pre-votes and would then split the votes of the term. Of
// two concurrent candidates only the one with the lower ID continues. A pre-vote is not binding, so this affects
// which candidate can win but not what a vote means.
func (n *Node) shouldAbandonPreVoteFor(m Message) bool {
	return n.role == PreCandidate && m.Kind == MessagePreVote && m.Term == n.term+1 && m.From < n.id
}

// handleVoteReply counts an answer in the running pre-vote or election, and drops stale ones. Votes count for the
// whole term, even if this node has started a pre-vote for the next one, because they arrive late if disks are slow.
func (n *Node) handleVoteReply(m Message) {
	switch {
	case n.role == PreCandidate && m.Kind == MessagePreVoteReply && (m.Reject || m.Term == n.term+1):
		n.recordPreVote(m.From, !m.Reject)
	case n.electionOpen && m.Kind == MessageVoteReply:
		n.recordVote(m.From, !m.Reject)
	}
}

// recordPreVote counts an answer to the pre-vote, and ends the pre-vote once a quorum has granted or rejected it.
func (n *Node) recordPreVote(node uint64, granted bool) {
	n.preVotes = addVote(n.preVotes, node, granted)
	quorum := n.configuration().Quorum()
	switch granted, rejected := n.tally(n.preVotes); {
	case granted >= quorum:
		n.campaign()
	case rejected >= quorum:
		n.becomeFollower(n.term, None)
	}
}

// recordVote counts a vote, and ends the election once a quorum has granted or rejected it.
func (n *Node) recordVote(node uint64, granted bool) {
	n.votes = addVote(n.votes, node, granted)
	quorum := n.configuration().Quorum()
	switch granted, rejected := n.tally(n.votes); {
	case granted >= quorum:
		n.becomeLeader()
	case rejected >= quorum && n.role == Candidate:
		n.becomeFollower(n.term, None)
	}
}

// addVote adds a node's answer, unless the node has answered before.
func addVote(answers []vote, node uint64, granted bool) []vote {
	for _, known := range answers {
		if known.node == node {
			return answers
		}
	}
	return append(answers, vote{node: node, granted: granted})
}

// tally counts the answers of the voters in the configuration in force.
func (n *Node) tally(answers []vote) (granted, rejected int) {
	configuration := n.configuration()
	for _, answer := range answers {
		switch {
		case !configuration.IsVoter(answer.node):
		case answer.granted:
			granted++
		default:
			rejected++
		}
	}
	return granted, rejected
}

// becomeLeader starts a leadership. The node's term and vote are synced at this point, so its appends may be sent
// before the next sync.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.electionOpen = Leader, n.id, false
	n.recordLeader()
	n.resetRole()
	n.addProgress()
	n.uncommittedBytes = n.log.dataSize(n.log.commit+1, n.log.lastIndex())
	n.heartbeatCommit = n.log.commit
	n.appendEntry(EntryCommand, nil)
}

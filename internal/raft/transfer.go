package raft

// TransferLeadership hands the leadership to a voter as soon as that voter holds the whole log. Proposals are
// rejected meanwhile, for at most an election timeout; after that the transfer is abandoned and this node continues
// as leader. Errors: ErrNotLeader, ErrTransferring, ErrNotMember.
func (n *Node) TransferLeadership(to uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.id {
		return nil
	}
	if n.transferTarget != None && n.transferTarget != to {
		return ErrTransferring
	}
	target := n.progressOf(to)
	if target == nil || !n.configuration().IsVoter(to) {
		return ErrNotMember
	}
	n.transferTarget, n.electionElapsed = to, 0
	n.flushNeeded = true
	n.finishTransfer(target)
	return nil
}

// ForceTransfer asks a voter to campaign at once, although it may lack entries that this leader has accepted but not
// stored. It is for a leader whose disk takes no writes: such a leader can neither send those entries nor commit
// them, so that TransferLeadership, which waits until the voter holds the whole log, would never complete. This node
// leads until it hears of a later term. Errors: ErrNotLeader, ErrNotMember.
func (n *Node) ForceTransfer(to uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.id || !n.configuration().IsVoter(to) {
		return ErrNotMember
	}
	n.sendUrgent(Message{Kind: MessageTimeoutNow, To: to})
	return nil
}

// finishTransfer tells the target of a transfer to campaign if it holds the whole log.
func (n *Node) finishTransfer(p *progress) {
	if n.role == Leader && p.node == n.transferTarget && p.match == n.log.lastIndex() {
		n.sendEarly(Message{Kind: MessageTimeoutNow, To: p.node})
	}
}

// handleTimeoutNow starts an election at once, without a pre-vote, because the leader requested it.
func (n *Node) handleTimeoutNow() {
	if n.role == Leader || !n.canCampaign() {
		return
	}
	n.transferCampaign = true
	n.campaign()
}

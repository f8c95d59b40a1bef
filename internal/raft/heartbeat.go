package raft

// tickLeader sends heartbeats and retries lost snapshots. The leader steps down if it heard from no quorum within an
// election timeout, since it may be partitioned from a newer leader, or if its disk hangs.
func (n *Node) tickLeader() {
	alive := 0
	configuration := n.configuration()
	for _, p := range n.progress {
		p.ticksSinceReply++
		p.ticksSinceDurableReply++
		n.retrySnapshot(p)
		if configuration.IsVoter(p.node) && n.isReachable(p) {
			alive++
		}
	}
	if alive < configuration.Quorum() || n.tickDiskStall() {
		n.becomeFollower(n.term, None)
		return
	}
	n.electionElapsed++
	if n.electionElapsed >= n.config.ElectionTicks {
		n.electionElapsed, n.transferTarget = 0, None
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.config.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.heartbeatCommit = n.log.commit
		n.sendHeartbeats()
	}
}

// tickDiskStall advances the timer of the outstanding write, and reports whether that write has taken as long as the
// longest election timeout (maxTimeoutFactor times ElectionTicks). Heartbeats don't wait for the leader's own write,
// but its commits do: without this check a group with one hung disk of five, the leader's, committed 1 of 1200
// commands in a minute, while the other nodes went on following.
func (n *Node) tickDiskStall() bool {
	if !n.output.readyOutstanding {
		n.outstandingReadyTicks = 0
		return false
	}
	n.outstandingReadyTicks++
	return n.outstandingReadyTicks >= maxTimeoutFactor*n.config.ElectionTicks
}

// sendHeartbeats sends a heartbeat to every other member. Each carries the latest read round, so that the next
// heartbeat makes up for a lost one.
func (n *Node) sendHeartbeats() {
	for _, p := range n.progress {
		if p.node != n.id {
			n.sendUrgent(Message{Kind: MessageHeartbeat, To: p.node, Commit: min(p.match, n.log.commit), Context: n.readRound})
		}
	}
}

// handleHeartbeatReply confirms read rounds and resends what was lost.
func (n *Node) handleHeartbeatReply(m Message) {
	p := n.progressOf(m.From)
	if n.role != Leader || p == nil {
		return
	}
	p.ticksSinceReply = 0
	if !m.Reject {
		p.ticksSinceDurableReply, p.repliedInTerm = 0, true
		n.resumeSending(p)
	}
	if m.Context > p.readRound && m.Context <= n.readRound {
		p.readRound = m.Context
		n.completeReads()
	}
}

// resumeSending resumes sending to a member that has processed and synced all messages before this heartbeat. A match
// index that has not moved since the previous reply indicates that an append or its reply was lost.
func (n *Node) resumeSending(p *progress) {
	p.probeSent = false
	stalled := p.match == p.matchAtLastReply && p.match < n.log.lastIndex()
	p.matchAtLastReply = p.match
	p.emptyAppendNeeded = p.emptyAppendNeeded || stalled
	if p.state == probing || stalled {
		n.flushNeeded = true
	}
}

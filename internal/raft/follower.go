package raft

// recognizeLeader records that a message of this term's leader arrived.
func (n *Node) recognizeLeader(leader uint64) {
	if n.role != Follower {
		n.becomeFollower(n.term, leader)
	}
	n.leader = leader
	n.electionElapsed = 0
	n.recordLeader()
}

// handleAppend appends a leader's entries to the log if the entry before them matches. The reply is queued in
// Messages, because it must not leave before the entries that it acknowledges are synced.
func (n *Node) handleAppend(m Message) error {
	if m.Index+uint64(len(m.Entries)) < n.log.commit || m.Index < n.log.commit && len(m.Entries) == 0 {
		n.recognizeLeader(m.From)
		n.send(Message{Kind: MessageAppendReply, To: m.From, Index: n.log.commit})
		return nil
	}
	entries, index, term := m.Entries, m.Index, m.LogTerm
	if index < n.log.commit { // entries up to the commit index are equal in both logs
		skip := n.log.commit - index
		index, term = n.log.commit, entries[skip-1].Term
		entries = entries[skip:]
	}
	if held, ok := n.log.term(index); ok && held != term && index <= n.log.commit {
		return newContradiction(m, "entry %d has term %d, but term %d is committed here", index, term, held)
	}
	n.recognizeLeader(m.From)
	if !n.log.matches(index, term) && !(n.config.Unsafe.SkipAppendMatchCheck && index <= n.log.lastIndex()) {
		hint, hintTerm := n.log.findConflictByTerm(index, term)
		if hint < n.log.commit { // both logs are equal up to the commit index
			hint = n.log.commit
			hintTerm, _ = n.log.term(hint)
		}
		n.send(Message{Kind: MessageAppendReply, To: m.From, Index: index, Reject: true,
			RejectHint: hint, LogTerm: hintTerm})
		return nil
	}
	last := index + uint64(len(entries))
	n.appendMissing(entries)
	n.log.commitTo(min(m.Commit, last))
	n.send(Message{Kind: MessageAppendReply, To: m.From, Index: last})
	return nil
}

// appendMissing appends the entries that the log does not hold yet, and truncates it first at an entry that
// conflicts.
func (n *Node) appendMissing(entries []Entry) {
	for i, entry := range entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= n.log.lastIndex() {
			n.log.truncate(entry.Index)
			n.configurations.truncate(entry.Index)
		}
		n.log.append(entries[i:]...)
		n.configurations.add(entries[i:])
		return
	}
}

// handleHeartbeat confirms that this node still follows the sender. The commit index in a heartbeat is never higher
// than what this node has acknowledged.
func (n *Node) handleHeartbeat(m Message) {
	n.recognizeLeader(m.From)
	n.log.commitTo(min(m.Commit, n.log.lastIndex()))
	reply := Message{Kind: MessageHeartbeatReply, To: m.From, Index: n.log.commit, Context: m.Context}
	n.send(reply)
	if n.output.readyOutstanding && n.output.persisted.Term == n.term {
		reply.Reject = true // tells the leader that the replies to earlier messages still wait for the disk
		n.sendUrgent(reply)
	}
}

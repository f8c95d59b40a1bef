package raft

import (
	"cmp"
	"slices"

	"github.com/gravitational/trace"
)

// Propose appends a command to the log if this node leads, and returns the index and term of its entry. A later
// leader may replace the entry, so the caller has to compare the term of the entry that is applied at index. Errors:
// ErrNotLeader, ErrTransferring, ErrOverloaded, and trace.BadParameter for an empty command; with any of them nothing
// was appended.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if len(data) == 0 {
		return 0, 0, trace.BadParameter("raft: a command is empty")
	}
	if err := n.checkProposal(len(data)); err != nil {
		return 0, 0, err
	}
	defer n.checkInvariants()
	return n.appendEntry(EntryCommand, data), n.term, nil
}

// checkProposal returns the error with which a proposal of size bytes is rejected, or nil.
func (n *Node) checkProposal(size int) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transferTarget != None:
		return ErrTransferring
	case n.uncommittedBytes > 0 && n.uncommittedBytes+size > n.config.MaxUncommittedBytes:
		return ErrOverloaded
	}
	return nil
}

// ProposeChange appends a configuration change. It takes effect on each node as soon as it is in that node's log.
// Errors: those of Propose, ErrChangePending, ErrNotCaughtUp, ErrLastVoter, ErrQuorumAtRisk, ErrAlreadyMember,
// ErrNotMember, and trace.BadParameter for an unknown kind of change; with any of them nothing was appended.
func (n *Node) ProposeChange(change ConfigurationChange) (index, term uint64, err error) {
	if err := n.checkProposal(0); err != nil {
		return 0, 0, err
	}
	if n.configurations.latest().index > n.log.applied && !n.config.Unsafe.ConcurrentChanges {
		return 0, 0, ErrChangePending
	}
	if !n.hasCommittedInTerm() && !n.config.Unsafe.ChangeWithoutOwnCommit {
		return 0, 0, ErrChangePending
	}
	change.Result, err = n.configuration().apply(change)
	if err != nil {
		return 0, 0, err
	}
	if err := n.checkChange(change); err != nil {
		return 0, 0, err
	}
	defer n.checkInvariants()
	return n.appendEntry(EntryConfiguration, change.Encode()), n.term, nil
}

// checkChange rejects a change that would leave the group without a working quorum.
func (n *Node) checkChange(change ConfigurationChange) error {
	if change.Kind == AddLearner {
		return nil
	}
	if change.Kind == PromoteLearner {
		learner := n.progressOf(change.Node)
		if learner == nil || learner.state != replicating || learner.match < n.heartbeatCommit || !n.isActive(learner) {
			return ErrNotCaughtUp
		}
	}
	alive := 0
	for _, member := range n.progress {
		if change.Result.IsVoter(member.node) && n.isActive(member) {
			alive++
		}
	}
	if alive < change.Result.Quorum() {
		return ErrQuorumAtRisk
	}
	return nil
}

// hasCommittedInTerm reports whether an entry of the current term is committed. Before that the leader may not know
// of all entries that earlier leaders committed.
func (n *Node) hasCommittedInTerm() bool {
	term, _ := n.log.term(n.log.commit)
	return term == n.term
}

// appendEntry appends an entry to the leader's own log. The next Ready sends and syncs it, so that proposals made
// between two Readies are batched.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(entry)
	n.uncommittedBytes += len(data)
	n.flushNeeded = true
	if kind == EntryConfiguration {
		n.configurations.add([]Entry{entry})
		n.addProgress()
	}
	if n.config.Unsafe.CountUnsyncedSelf {
		n.acknowledgeSelf(n.log.lastIndex())
	}
	return entry.Index
}

// addProgress starts tracking members of the configuration in force that are not tracked yet.
func (n *Node) addProgress() {
	configuration := n.configuration()
	for _, list := range [][]uint64{configuration.Voters, configuration.Learners} {
		for _, node := range list {
			if n.progressOf(node) == nil {
				n.progress = append(n.progress, n.newProgress(node))
			}
		}
	}
	slices.SortFunc(n.progress, func(a, b *progress) int { return cmp.Compare(a.node, b.node) })
}

// removeObsoleteProgress stops tracking nodes that are not in the configuration in force.
func (n *Node) removeObsoleteProgress() {
	configuration := n.configuration()
	n.progress = slices.DeleteFunc(n.progress, func(p *progress) bool {
		return !configuration.IsVoter(p.node) && !configuration.IsLearner(p.node)
	})
}

func (n *Node) newProgress(node uint64) *progress {
	p := &progress{node: node, next: n.log.lastIndex() + 1}
	if node == n.id {
		p.match = n.log.stable
		return p
	}
	p.inflight.ring = make([]uint64, n.config.MaxInflightAppends)
	return p
}

func (n *Node) progressOf(node uint64) *progress {
	for _, p := range n.progress {
		if p.node == node {
			return p
		}
	}
	return nil
}

// isReachable reports whether any reply of the member arrived within the last election timeout. Its disk may hang.
func (n *Node) isReachable(p *progress) bool {
	return p.node == n.id || p.ticksSinceReply < n.config.ElectionTicks
}

// isActive reports whether the member has sent, within the last election timeout, a reply that waits for its disk. A
// member whose disk hangs still answers heartbeats, but it stores nothing new and must not count towards a quorum of
// disks.
func (n *Node) isActive(p *progress) bool {
	return p.node == n.id || p.ticksSinceDurableReply < n.config.ElectionTicks
}

// acknowledgeSelf records that this leader's own disk holds the log up to index.
func (n *Node) acknowledgeSelf(index uint64) {
	if own := n.progressOf(n.id); own != nil {
		own.acknowledge(index)
	}
	n.maybeCommit()
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (n *Node) quorumValue(value func(*progress) uint64) uint64 {
	var space [16]uint64
	values := space[:0]
	configuration := n.configuration()
	for _, p := range n.progress {
		if configuration.IsVoter(p.node) || n.config.Unsafe.CountLearners {
			values = append(values, value(p))
		}
	}
	slices.Sort(values)
	quorum := configuration.Quorum()
	if len(values) < quorum {
		return 0
	}
	return values[len(values)-quorum]
}

// maybeCommit advances the commit index to the highest index that a quorum of disks holds, provided that its entry is
// of the current term. An entry of an earlier term, even on a quorum of disks, can still be replaced by a leader that
// does not hold it (section 5.4.2 of the Raft paper).
func (n *Node) maybeCommit() {
	index := n.quorumValue(func(p *progress) uint64 { return p.match })
	if index <= n.log.commit {
		return
	}
	if term, _ := n.log.term(index); term != n.term && !n.config.Unsafe.CommitOldTermEntries {
		return
	}
	n.uncommittedBytes -= n.log.dataSize(n.log.commit+1, index)
	n.log.commitTo(index)
	n.flushNeeded = true
	if latest := n.configurations.latest(); len(n.progress) > len(latest.configuration.Voters)+len(latest.configuration.Learners) &&
		latest.index <= index {
		n.flush() // sends the commit index to removed members, so that they learn of their removal
		n.stepDownIfRemoved()
		n.removeObsoleteProgress()
	}
}

// stepDownIfRemoved ends the leadership of a node whose removal is committed. It asks the voter with the longest log
// to take over.
func (n *Node) stepDownIfRemoved() {
	latest := n.configurations.latest()
	if latest.configuration.IsVoter(n.id) {
		return
	}
	var successor *progress
	for _, p := range n.progress {
		if latest.configuration.IsVoter(p.node) && (successor == nil || p.match > successor.match) {
			successor = p
		}
	}
	if successor != nil {
		n.sendEarly(Message{Kind: MessageTimeoutNow, To: successor.node})
	}
	n.becomeFollower(n.term, None)
}

// flush sends to each member all entries and commit indexes that may be sent now, and starts a read round if one is
// due.
func (n *Node) flush() {
	if n.role != Leader || !n.flushNeeded {
		return
	}
	n.flushNeeded = false
	for _, p := range n.progress {
		if p.node != n.id {
			n.replicate(p)
		}
	}
	n.startReadRound()
}

// replicate sends appends to one member until the window is full or nothing is left to send.
func (n *Node) replicate(p *progress) {
	if p.next <= n.log.offset && p.state != snapshotting {
		// This holds for a full window too: its appends precede the compacted log and cannot be sent again.
		n.sendSnapshot(p)
		return
	}
	for p.canSend() {
		entries := n.log.batch(p.next, n.config.MaxAppendBytes)
		if len(entries) == 0 && p.state == replicating && p.sentCommit >= n.log.commit {
			break
		}
		n.sendAppend(p, entries)
		if len(entries) == 0 {
			break
		}
	}
	if p.emptyAppendNeeded && p.state == replicating && p.next > n.log.offset {
		n.sendAppend(p, nil)
	}
	p.emptyAppendNeeded = false
}

func (n *Node) sendAppend(p *progress, entries []Entry) {
	previous, _ := n.log.term(p.next - 1)
	n.sendEarly(Message{Kind: MessageAppend, To: p.node, Index: p.next - 1, LogTerm: previous,
		Entries: entries, Commit: n.log.commit})
	p.sentCommit = n.log.commit
	switch {
	case p.state == probing:
		p.probeSent = true
	case len(entries) > 0:
		p.next += uint64(len(entries))
		p.inflight.add(p.next - 1)
	}
}

// handleAppendReply records which entries a member's disk holds, or finds where its log differs.
func (n *Node) handleAppendReply(m Message) error {
	p := n.progressOf(m.From)
	if n.role != Leader || p == nil {
		return nil
	}
	if m.Index > n.log.lastIndex() {
		return newContradiction(m, "index %d is past the leader's last index %d", m.Index, n.log.lastIndex())
	}
	p.ticksSinceReply, p.ticksSinceDurableReply, p.repliedInTerm = 0, 0, true
	if m.Reject {
		n.handleRejection(p, m)
		return nil
	}
	advanced := p.acknowledge(m.Index)
	n.flushNeeded = true
	resumed := p.state == snapshotting && (p.match >= n.log.offset || p.match >= p.snapshotIndex)
	if p.state == probing && (advanced || p.match == m.Index) || resumed {
		p.become(replicating)
	}
	if advanced {
		n.maybeCommit()
		n.finishTransfer(p)
	}
	return nil
}

// handleRejection moves next back to the highest index at which the member's log can match.
func (n *Node) handleRejection(p *progress, m Message) {
	switch {
	case p.state == replicating && m.Index > p.match:
		p.become(probing)
	case p.state == probing && m.Index == p.next-1:
		hint, _ := n.log.findConflictByTerm(m.RejectHint, m.LogTerm)
		p.next = max(min(hint, m.Index-1), p.match) + 1
		p.probeSent = false
	default:
		return // stale rejection
	}
	n.flushNeeded = true
}

package raft

// output holds the work that is queued for the driver.
type output struct {
	urgent           []Message
	early            []Message
	messages         []Message
	readStates       []ReadState
	snapshot         *Snapshot
	selfVoteTerm     uint64    // term of this node's own vote that no Ready includes yet; 0 if none
	persisted        HardState // as of the last Advance
	readyOutstanding bool      // a Ready was taken and not yet advanced
	// committedDurable is set if all Committed of the outstanding Ready were on this node's disk, so that entries
	// committed after them may be applied before its sync.
	committedDurable bool
	syncingVoteTerm  uint64 // term of this node's own vote that the outstanding Ready syncs; 0 if none
}

// send queues a message that depends on this node's own disk and must not leave before the next sync.
func (n *Node) send(m Message) {
	if n.config.Unsafe.ReplyBeforeSync {
		n.sendEarly(m)
		return
	}
	n.output.messages = append(n.output.messages, n.address(m))
}

// sendEarly queues a leader's message that does not depend on this node's own disk.
func (n *Node) sendEarly(m Message) { n.output.early = append(n.output.early, n.address(m)) }

// sendUrgent queues a message that does not depend on this node's own disk and must not wait for a sync in progress.
// A group whose heartbeats and replies waited for syncs of 450 ms and more lost each leader that it elected.
func (n *Node) sendUrgent(m Message) { n.output.urgent = append(n.output.urgent, n.address(m)) }

// Urgent returns the work that may be done at once while a Ready is outstanding. If none is, it returns messages
// only; messages that the driver does not take this way are in the next Ready's EarlyMessages.
func (n *Node) Urgent() Urgent {
	out := &n.output
	if out.readyOutstanding && n.role == Leader && !n.isReadRoundRunning() {
		n.startReadRound()
	}
	urgent := Urgent{Messages: out.urgent}
	out.urgent = nil
	if !out.readyOutstanding {
		return urgent
	}
	urgent.ReadStates, out.readStates = out.readStates, nil
	if last := min(n.log.commit, n.log.stable); out.committedDurable && out.snapshot == nil && last > n.log.applying {
		urgent.Committed = n.log.slice(n.log.applying+1, last)
		n.log.applying, n.log.applied = last, last
	}
	return urgent
}

// address fills in the sender, and the current term if m has none.
func (n *Node) address(m Message) Message {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// HasReady reports whether Ready has work to return. It is false while a Ready is outstanding.
func (n *Node) HasReady() bool {
	out := &n.output
	return !out.readyOutstanding && (n.flushNeeded || len(out.urgent) > 0 || len(out.early) > 0 || len(out.messages) > 0 || len(out.readStates) > 0 ||
		out.snapshot != nil || out.selfVoteTerm != 0 || n.hardState() != out.persisted ||
		n.log.lastIndex() > n.log.stable || n.log.commit > n.log.applying)
}

// Ready returns the work that the driver has to do next. It panics if the previous Ready has not been advanced.
func (n *Node) Ready() Ready {
	out := &n.output
	if out.readyOutstanding {
		panic("raft: Ready was called again before Advance")
	}
	n.flush()
	hard := n.hardState()
	ready := Ready{
		HardState:     hard,
		Entries:       n.log.unstable(),
		Snapshot:      out.snapshot,
		EarlyMessages: append(out.urgent, out.early...),
		Messages:      out.messages,
		Committed:     n.log.slice(n.log.applying+1, n.log.commit),
		ReadStates:    out.readStates,
	}
	ready.MustSync = len(ready.Entries) > 0 || ready.Snapshot != nil || hard.Term != out.persisted.Term || hard.Vote != out.persisted.Vote
	n.log.applying = n.log.commit
	*out = output{persisted: out.persisted, readyOutstanding: true, committedDurable: len(ready.Durable()) == len(ready.Committed), syncingVoteTerm: out.selfVoteTerm}
	return ready
}

// Durable returns the committed entries that this node's disk already holds. A quorum has committed them, so the
// driver may apply them and answer their proposers before it syncs this Ready.
func (r *Ready) Durable() []Entry {
	if r.Snapshot != nil {
		return nil
	}
	committed := r.Committed
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		for len(committed) > 0 && committed[len(committed)-1].Index >= first {
			committed = committed[:len(committed)-1]
		}
	}
	return committed
}

// Advance tells the node that ready is synced and applied. From then on its own copies of the entries, and its own
// vote, count towards a quorum. It panics if no Ready is outstanding.
func (n *Node) Advance(ready Ready) {
	if !n.output.readyOutstanding {
		panic("raft: Advance was called without a Ready")
	}
	defer n.checkInvariants()
	n.output.readyOutstanding, n.outstandingReadyTicks = false, 0
	n.output.persisted = ready.HardState
	if ready.Snapshot != nil {
		n.log.applied = max(n.log.applied, ready.Snapshot.Index)
	}
	if count := len(ready.Entries); count > 0 {
		n.log.stableTo(ready.Entries[count-1].Index, ready.Entries[count-1].Term)
	}
	if count := len(ready.Committed); count > 0 {
		n.log.applied = max(n.log.applied, ready.Committed[count-1].Index)
	}
	if n.electionOpen && n.output.syncingVoteTerm == n.term {
		n.recordVote(n.id, true)
	}
	if n.role == Leader {
		n.acknowledgeSelf(n.log.stable)
	}
}

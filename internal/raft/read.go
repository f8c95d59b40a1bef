package raft

// maxPendingReads bounds the reads that wait for a quorum.
const maxPendingReads = 1 << 16

// pendingRead is a read that waits until a quorum has confirmed this node's leadership.
type pendingRead struct {
	context uint64
	index   uint64
	round   uint64 // read round that confirms it; 0 if none has started
}

// ReadIndex requests a log index that covers everything committed before this call. The answer is a ReadState with
// the same context. All reads requested between two Readies share one round of heartbeats. Errors: ErrNotLeader,
// ErrOverloaded.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if len(n.reads) >= maxPendingReads {
		return ErrOverloaded
	}
	n.reads = append(n.reads, pendingRead{context: context})
	n.flushNeeded = true
	return nil
}

// isReadRoundRunning reports whether a read round waits for its quorum. Reads that are requested meanwhile share the
// next round.
func (n *Node) isReadRoundRunning() bool { return len(n.reads) > 0 && n.reads[0].round != 0 }

// startReadRound starts a round for the reads that are in none. They wait until an entry of this term is committed,
// because the leader may not know the latest commit index before.
func (n *Node) startReadRound() {
	if len(n.reads) == 0 || n.reads[len(n.reads)-1].round != 0 || !n.hasCommittedInTerm() {
		return
	}
	n.readRound++
	for i := range n.reads {
		if n.reads[i].round == 0 {
			n.reads[i].round, n.reads[i].index = n.readRound, n.log.commit
		}
	}
	if !n.completeReads() {
		n.sendHeartbeats()
	}
}

// completeReads answers the reads whose round a quorum has confirmed, and reports whether no read is left.
func (n *Node) completeReads() bool {
	confirmed := n.quorumValue(func(p *progress) uint64 {
		if p.node == n.id || n.config.Unsafe.ReadWithoutQuorum {
			return n.readRound
		}
		return p.readRound
	})
	done := 0
	for done < len(n.reads) && n.reads[done].round != 0 && n.reads[done].round <= confirmed {
		n.output.readStates = append(n.output.readStates, ReadState{Context: n.reads[done].context, Index: n.reads[done].index})
		done++
	}
	n.reads = append(n.reads[:0], n.reads[done:]...)
	return len(n.reads) == 0
}

package raft

import "github.com/gravitational/trace"

// Compact records data as the state machine's state as of index, which must be applied, and drops the
// log before it except for what Config retains. The driver stores the snapshot that is returned; the node
// keeps it for members that have fallen behind the log, until ReleaseSnapshot.
func (n *Node) Compact(index uint64, data Parts) (Snapshot, error) {
	if index > n.log.applied || index <= n.snapshot.Index {
		return Snapshot{}, trace.BadParameter("raft: cannot compact at %d: the last snapshot is at %d, applied is %d",
			index, n.snapshot.Index, n.log.applied)
	}
	defer n.checkInvariants()
	term, _ := n.log.term(index)
	n.configurations.compact(index)
	n.snapshot = Snapshot{Index: index, Term: term, Configuration: n.configurations.at(index).Clone(), Data: data}
	n.log.compact(n.retainedAfter(index))
	return n.snapshot, nil
}

// retainedAfter returns the index after which entries up to a compaction's index stay in memory: the newest ones
// that keep to RetainedEntries and RetainedBytes.
func (n *Node) retainedAfter(index uint64) uint64 {
	oldest := max(n.log.offset, index-min(index, uint64(n.config.RetainedEntries)))
	for size := 0; index > oldest; index-- {
		if size += n.log.bytes(index, index); size > n.config.RetainedBytes {
			break
		}
	}
	return index
}

// ReleaseSnapshot drops the data of the last snapshot if that is the one at index: the driver holds it durably and
// completes the snapshot messages without data that leave from now on. A large state is then not in memory twice.
func (n *Node) ReleaseSnapshot(index uint64) {
	if n.snapshot.Index == index {
		n.snapshot.Data = nil
	}
}

// LogBytes is the size of the entries' data that the node holds.
func (n *Node) LogBytes() int { return n.log.bytes(n.log.first(), n.log.last()) }

// SnapshotBytes is the size of the snapshot's data that the node holds.
func (n *Node) SnapshotBytes() int { return n.snapshot.Data.Size() }

// sendSnapshot sends the last snapshot to a member that needs entries from before the log. A member that
// is silent is not sent one: it would only fill the connection.
func (n *Node) sendSnapshot(p *progress) {
	if !n.active(p) {
		return
	}
	p.become(snapshotting)
	p.snapshotIndex = n.snapshot.Index
	snapshot := n.snapshot
	n.sendEarly(Message{Kind: MessageSnapshot, To: p.node, Snapshot: &snapshot, Commit: n.log.commit})
}

// retrySnapshot goes back to probing when a snapshot was not acknowledged in time.
func (n *Node) retrySnapshot(p *progress) {
	if p.state != snapshotting {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks >= n.config.SnapshotRetryTicks {
		p.become(probing)
		n.flushNeeded = true
	}
}

// handleSnapshot replaces the log by a snapshot, unless the log holds what it covers. The reply leaves
// after the snapshot is synced.
func (n *Node) handleSnapshot(m Message) {
	n.hearLeader(m.From)
	snapshot := *m.Snapshot
	switch {
	case snapshot.Index <= n.log.commit:
	case n.log.matches(snapshot.Index, snapshot.Term):
		n.log.commitTo(snapshot.Index)
	default:
		n.log.reset(snapshot.Index, snapshot.Term)
		n.configurations = configurationHistory{{index: snapshot.Index, configuration: snapshot.Configuration.Clone()}}
		n.snapshot = snapshot
		n.output.snapshot = &snapshot
	}
	n.send(Message{Kind: MessageAppendReply, To: m.From, Index: n.log.commit})
}

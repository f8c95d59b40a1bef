package raft

import (
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/statepart"
)

// Compact records data as the state machine's state at index, which must be applied, and drops the log before index
// except for what Config retains. The driver has to store the returned snapshot. The node sends it to members that
// have fallen behind the log, and holds its data until ReleaseSnapshot. It returns trace.BadParameter if index is not
// applied yet or not after the last snapshot.
func (n *Node) Compact(index uint64, data statepart.Parts) (Snapshot, error) {
	if index > n.log.applied || index <= n.snapshot.Index {
		return Snapshot{}, trace.BadParameter("raft: cannot compact at %d: the last snapshot is at %d, applied is %d",
			index, n.snapshot.Index, n.log.applied)
	}
	defer n.checkInvariants()
	term, _ := n.log.term(index)
	n.configurations.compact(index)
	n.snapshot = Snapshot{Index: index, Term: term, Configuration: n.configurations.at(index).Clone(), Data: data}
	n.log.compact(n.compactionOffset(index))
	return n.snapshot, nil
}

// compactionOffset returns the index after which entries stay in memory when the log is compacted at index. It
// retains the newest entries that fit both RetainedEntries and RetainedBytes, and all that follow a snapshot on its way
// to a member if they fit TransferRetainedBytes. Without them a member would be sent snapshots for ever, each too old by
// the time that it arrived.
func (n *Node) compactionOffset(index uint64) uint64 {
	offset := n.retainedOffset(index)
	for _, p := range n.progress {
		if n.role != Leader || p.state != snapshotting || !n.isReachable(p) || p.snapshotIndex < n.log.offset || p.snapshotIndex >= offset {
			continue
		}
		if n.log.dataSize(p.snapshotIndex+1, index) <= n.config.TransferRetainedBytes {
			offset = p.snapshotIndex
		}
	}
	return offset
}

// retainedOffset returns the index after which the newest entries fit both RetainedEntries and RetainedBytes.
func (n *Node) retainedOffset(index uint64) uint64 {
	oldest := max(n.log.offset, index-min(index, uint64(n.config.RetainedEntries)))
	for size := 0; index > oldest; index-- {
		if size += n.log.dataSize(index, index); size > n.config.RetainedBytes {
			break
		}
	}
	return index
}

// ReleaseSnapshot drops the data of the last snapshot if it is the one at index, so that a large state is not in
// memory twice. The driver must hold the snapshot durably, and must fill in the data of the snapshot messages that
// the node sends without data from then on.
func (n *Node) ReleaseSnapshot(index uint64) {
	if n.snapshot.Index == index {
		n.snapshot.Data = nil
	}
}

// LogBytes returns the size in bytes of the data of the entries in memory.
func (n *Node) LogBytes() int { return n.log.dataSize(n.log.firstIndex(), n.log.lastIndex()) }

// SnapshotBytes returns the size in bytes of the snapshot data in memory.
func (n *Node) SnapshotBytes() int { return n.snapshot.Data.MemoryBytes() }

// sendSnapshot sends the last snapshot to a member that needs entries from before the log. An inactive member gets
// none, because a snapshot that it does not store would only fill the connection.
func (n *Node) sendSnapshot(p *progress) {
	if !n.isActive(p) {
		return
	}
	p.become(snapshotting)
	p.snapshotIndex = n.snapshot.Index
	p.snapshotTries++
	snapshot := n.snapshot
	n.sendEarly(Message{Kind: MessageSnapshot, To: p.node, Snapshot: &snapshot, Commit: n.log.commit})
}

// maxSnapshotRetryDoublings bounds how often the delay before a snapshot is sent again is doubled.
const maxSnapshotRetryDoublings = 2

// ReportSnapshotProgress tells a leader that a part of its snapshot was sent to a member. The snapshot is sent again only
// after SnapshotRetryTicks without such progress: how long a transfer takes depends on the size of the state.
func (n *Node) ReportSnapshotProgress(member uint64) {
	if p := n.progressOf(member); p != nil && p.state == snapshotting {
		p.snapshotTicks = 0
	}
}

// retrySnapshot returns to probing if a snapshot was neither acknowledged nor made progress for long enough.
func (n *Node) retrySnapshot(p *progress) {
	if p.state != snapshotting {
		return
	}
	p.snapshotTicks++
	// There was no try if the member acknowledged an older snapshot meanwhile.
	doublings := min(max(p.snapshotTries-1, 0), maxSnapshotRetryDoublings)
	if p.snapshotTicks >= n.config.SnapshotRetryTicks<<doublings {
		p.become(probing)
		n.flushNeeded = true
	}
}

// handleSnapshot replaces the log by a snapshot, unless the log already holds the snapshot's last entry. The reply
// leaves after the snapshot is synced.
func (n *Node) handleSnapshot(m Message) {
	n.recognizeLeader(m.From)
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

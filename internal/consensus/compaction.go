package consensus

import (
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// freeSnapshotBytes is what a snapshot may write without Config.SnapshotCost counting.
const freeSnapshotBytes = 1 << 20

// snapshots is a group's account of when the next snapshot is due. The loop owns it.
type snapshots struct {
	index        uint64        // of the last one
	size         int           // of the last one, in bytes
	written      int           // bytes of it that were in none before
	appliedBytes int           // of the entries since its state was captured
	encoding     bool          // one is being encoded beside the loop
	wanted       bool          // one is due at once: what an older build may not read is to replace what it would
	encoded      *encodedState // one is encoded and waits until no Ready is out
}

// encodedState is a group's state as of an index.
type encodedState struct {
	group *hostedGroup
	index uint64
	parts raft.Parts
	err   error
}

// due tells whether enough was applied since the last snapshot.
func (s *snapshots) due(config *Config, applied uint64) bool {
	if s.encoding || s.encoded != nil || applied == s.index {
		return false
	}
	if s.wanted {
		return true
	}
	if s.written > freeSnapshotBytes && s.appliedBytes < s.written/config.SnapshotCost {
		return false
	}
	return applied-s.index >= uint64(config.SnapshotEntries) || s.appliedBytes >= config.SnapshotBytes
}

// received notes a snapshot that replaced the state.
func (s *snapshots) received(snapshot *raft.Snapshot) {
	s.index, s.size, s.written, s.appliedBytes = snapshot.Index, snapshot.Data.Size(), 0, 0
}

// compact moves a group's snapshot on: it captures the state when that is due, and compacts the log once the
// captured state is encoded. No Ready may be out in either step.
func (h *Host) compact(g *hostedGroup) error {
	if !g.cycle.Idle() {
		return nil
	}
	if g.snapshots.due(g.config, g.applied) {
		h.startEncoding(g)
	}
	if encoded := g.snapshots.encoded; encoded != nil {
		g.snapshots.encoded = nil
		return g.takeSnapshot(encoded)
	}
	return nil
}

// startEncoding captures a group's state and has it encoded beside the loop, which goes on meanwhile.
func (h *Host) startEncoding(g *hostedGroup) {
	g.snapshots.encoding, g.snapshots.appliedBytes, g.snapshots.wanted = true, 0, false
	encode, index := g.machine.Capture(), g.applied
	h.encoders.Go(func() {
		parts, err := encode()
		h.encoded <- &encodedState{group: g, index: index, parts: parts, err: err}
	})
}

// finishEncoding takes over a state that was encoded.
func (h *Host) finishEncoding(encoded *encodedState) {
	encoded.group.snapshots.encoding = false
	encoded.group.snapshots.encoded = encoded
}

// takeSnapshot makes an encoded state the group's snapshot, unless a newer one came from the leader.
func (g *hostedGroup) takeSnapshot(encoded *encodedState) error {
	if encoded.err != nil {
		return trace.Wrap(encoded.err, "consensus: group %d cannot take a snapshot", g.id)
	}
	if encoded.index <= g.snapshots.index {
		return nil
	}
	snapshot, err := g.node.Compact(encoded.index, encoded.parts)
	if err != nil {
		return trace.Wrap(err)
	}
	g.cycle.Compact(&snapshot)
	g.snapshots.index, g.snapshots.size = encoded.index, encoded.parts.Size()
	g.snapshots.written = g.config.Store.SizeOfNew(g.id, encoded.parts)
	return nil
}

// sendStored sends a snapshot that raft no longer holds, read from disk beside the loop. One that a newer one has
// replaced meanwhile is not sent: raft begins anew when the snapshot isn't acknowledged.
func (h *Host) sendStored(group uint32, message raft.Message) {
	h.encoders.Go(func() {
		stored, err := h.config.Store.LoadSnapshot(group)
		switch {
		case err != nil:
			h.fail(trace.Wrap(err, "consensus: group %d cannot read its snapshot", group))
		case stored.Index == message.Snapshot.Index:
			message.Snapshot = &stored
			h.peers.send(group, &message)
		}
	})
}

package consensus

import (
	"errors"
	"io/fs"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/statepart"
)

// minCostedSnapshotBytes is the size in bytes up to which Config.SnapshotCost does not delay a snapshot.
const minCostedSnapshotBytes = 1 << 20

// snapshotSchedule decides when a group takes its next snapshot. The loop owns it.
type snapshotSchedule struct {
	index        uint64        // log index of the last snapshot
	size         int           // bytes of the last snapshot
	newBytes     int           // bytes of the last snapshot that were in no earlier one
	appliedBytes int           // bytes of the entries applied since its state was captured
	encoding     bool          // whether a goroutine is encoding a snapshot
	forced       bool          // set when a level is raised: replaces at once a snapshot that an older build would read
	encoded      *encodedState // encoded state that waits until no Ready is in progress
}

// encodedState is the encoded state of a group as of a log index.
type encodedState struct {
	group *hostedGroup
	index uint64
	parts statepart.Parts
	err   error
}

// isDue reports whether enough entries were applied since the last snapshot to take another one.
func (s *snapshotSchedule) isDue(config *Config, applied uint64) bool {
	if s.encoding || s.encoded != nil || applied == s.index {
		return false
	}
	if s.forced {
		return true
	}
	if s.newBytes > minCostedSnapshotBytes && s.appliedBytes < s.newBytes/config.SnapshotCost {
		return false
	}
	return applied-s.index >= uint64(config.SnapshotEntries) || s.appliedBytes >= config.SnapshotBytes
}

// recordReceived records a snapshot from the leader that has replaced the state.
func (s *snapshotSchedule) recordReceived(snapshot *raft.Snapshot) {
	s.index, s.size, s.newBytes, s.appliedBytes = snapshot.Index, snapshot.Data.Size(), 0, 0
}

// compact captures a group's state when a snapshot is due, and compacts the log once a captured state is encoded. It
// does neither while a Ready is in progress.
func (h *Host) compact(g *hostedGroup) error {
	if !g.cycle.IsIdle() {
		return nil
	}
	if g.snapshots.isDue(g.config, g.applied) {
		h.startEncoding(g)
	}
	if encoded := g.snapshots.encoded; encoded != nil {
		g.snapshots.encoded = nil
		return g.takeSnapshot(encoded)
	}
	return nil
}

// startEncoding captures a group's state and encodes it in another goroutine while the loop continues.
func (h *Host) startEncoding(g *hostedGroup) {
	g.snapshots.encoding, g.snapshots.appliedBytes, g.snapshots.forced = true, 0, false
	encode, index := g.machine.Capture(), g.applied
	h.encoders.Go(func() {
		parts, err := encode()
		h.encoded <- &encodedState{group: g, index: index, parts: parts, err: err}
	})
}

// finishEncoding stores an encoded state until compact can use it.
func (h *Host) finishEncoding(encoded *encodedState) {
	encoded.group.snapshots.encoding = false
	encoded.group.snapshots.encoded = encoded
}

// takeSnapshot makes an encoded state the group's snapshot, unless the leader has sent a newer one meanwhile.
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
	g.snapshots.newBytes = g.config.Store.UnstoredBytes(g.id, encoded.parts)
	return nil
}

// sendStoredSnapshot sends a snapshot that raft no longer holds in memory. A goroutine reads it from disk. If a newer
// snapshot has replaced it meanwhile nothing is sent: raft starts again when the snapshot is not acknowledged.
func (h *Host) sendStoredSnapshot(group uint32, message raft.Message) {
	h.encoders.Go(func() {
		stored, err := h.config.Store.LoadSnapshot(group)
		switch {
		case err != nil:
			h.handleUnreadableSnapshot(group, err)
		case stored.Index == message.Snapshot.Index:
			message.Snapshot = &stored
			h.peers.send(group, &message)
		}
	})
}

// handleUnreadableSnapshot handles a stored snapshot that can't be read. A missing file belongs to a snapshot that was replaced
// meanwhile, and raft sends the newer one. After any other error the disk can't be relied upon, and the host stops.
func (h *Host) handleUnreadableSnapshot(group uint32, err error) {
	if errors.Is(err, fs.ErrNotExist) {
		h.config.Log.Debugf("group %d: a snapshot was replaced while it was sent: %v", group, err)
		return
	}
	h.fail(trace.Wrap(err, "consensus: group %d cannot read its snapshot", group))
}

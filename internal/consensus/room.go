package consensus

import (
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
)

// The disks of a group's nodes fill up at the same time, since all hold the same state. What is rejected for lack of
// space must therefore not be needed to elect a leader or to free space: a new leader serves nothing before its first
// entry is on the disks of a quorum. If nodes dropped all entries below the headroom, every group would be
// without service as soon as it lost its leader.

// updateFreeSpace checks the disk's free space and logs a change of the kinds of writes that it admits.
func (h *Host) updateFreeSpace() {
	freeSpace := h.config.Store.FreeSpace()
	if freeSpace == h.freeSpace {
		return
	}
	h.freeSpace = freeSpace
	logging.Emit(h.config.Log, &events.DiskChanged{Full: freeSpace != storage.SpaceForAll, Room: freeSpace.String()})
}

// acceptsNewCommands reports whether there is enough free space for new commands of a group.
func (h *Host) acceptsNewCommands(g *hostedGroup) bool {
	switch h.freeSpace {
	case storage.SpaceForAll:
		return true
	case storage.SpaceForReserved:
		return h.isReserved(g)
	}
	return false
}

func (h *Host) isReserved(g *hostedGroup) bool {
	return h.config.Reserved != nil && h.config.Reserved(g.id)
}

// hasSpaceFor reports whether there is enough free space for a message of another node. Commands that a leader has
// accepted are stored until only the space for votes is left, and always in a reserved group: a leader with more free
// space may accept a command that the next leader must replicate before its own first entry.
func (h *Host) hasSpaceFor(g *hostedGroup, message *raft.Message) bool {
	if message.Snapshot != nil && !h.config.Store.HasSpaceFor(g.id, message.Snapshot.Data) {
		// The write would be retried until there is enough space, and the votes of all groups would wait for it.
		logging.Emit(h.config.Log, &events.SnapshotLeftOut{Group: g.id, Index: message.Snapshot.Index, Bytes: message.Snapshot.Data.Size(), Received: true})
		return false
	}
	return h.freeSpace != storage.SpaceForVotes || h.isReserved(g) || hasNoCommands(message.Entries)
}

// hasNoCommands reports whether none of the entries holds a command. Such entries are the first entry of a new leader
// and changes of the voters, which are needed to keep all groups available.
func hasNoCommands(entries []raft.Entry) bool {
	for i := range entries {
		if entries[i].Kind == raft.EntryCommand && len(entries[i].Data) > 0 {
			return false
		}
	}
	return true
}

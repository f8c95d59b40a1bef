package consensus

import (
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
)

// The disks of a group's nodes fill alike, since its state is the same on all. So what is refused for lack of room must not
// be what brings a leader or makes room: a new leader serves nothing before its first entry is on a quorum's disks. Nodes that
// dropped all entries below the headroom left every group without service from the next loss of a leader on.

// watchRoom measures the disk's free space.
func (h *Host) watchRoom() {
	room := h.config.Store.Room()
	if room == h.room {
		return
	}
	h.room = room
	logging.Emit(h.config.Log, &events.DiskChanged{Full: room != storage.RoomForAll, Room: room.String()})
}

// takesNewWork tells whether there is room for new commands of a group.
func (h *Host) takesNewWork(g *hostedGroup) bool {
	switch h.room {
	case storage.RoomForAll:
		return true
	case storage.RoomForReserved:
		return h.isReserved(g)
	}
	return false
}

func (h *Host) isReserved(g *hostedGroup) bool {
	return h.config.Reserved != nil && h.config.Reserved(g.id)
}

// fits tells whether there is room for what another node sends. Commands that a leader has taken are kept down to the last
// room, and always in a reserved group: a leader whose disk has more room may take one that the next leader must hand on
// before its own first entry.
func (h *Host) fits(g *hostedGroup, message *raft.Message) bool {
	if message.Snapshot != nil && !h.config.Store.HasRoomFor(g.id, message.Snapshot.Data) {
		// Its write would be repeated until there is room, with the votes of all groups behind it.
		logging.Emit(h.config.Log, &events.SnapshotLeftOut{Group: g.id, Index: message.Snapshot.Index, Bytes: message.Snapshot.Data.Size(), Received: true})
		return false
	}
	return h.room != storage.RoomForVotes || h.isReserved(g) || fitsLastRoom(message.Entries)
}

// fitsLastRoom tells whether none of the entries holds a command: new leaders' first entries and changes of the voters, on
// which all that is stored depends.
func fitsLastRoom(entries []raft.Entry) bool {
	for i := range entries {
		if entries[i].Kind == raft.EntryCommand && len(entries[i].Data) > 0 {
			return false
		}
	}
	return true
}

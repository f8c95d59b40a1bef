package consensus

import (
	"fmt"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// acceptGreeting refuses a node that does not support the level in force, since it would misinterpret log entries.
// The address book checks the greeting first, because it may be addressed to another node.
func (h *Host) acceptGreeting(greeting *wire.RaftBatch) (isNew bool, err error) {
	isNew, err = h.book.acceptGreeting(greeting)
	if err != nil {
		return false, err
	}
	level, agreed := compat.Level(greeting.Speaks), h.config.LevelInForce()
	if !level.Includes(agreed) {
		return false, &refusal{reason: fmt.Sprintf("node %d speaks up to %s, and %s is in force: it needs a newer build",
			greeting.FromNode, level, agreed)}
	}
	return isNew, nil
}

// PeerLevel returns the level that a node announced in its last greeting, or false if it has not greeted since this
// node started.
func (h *Host) PeerLevel(node uint64) (compat.Level, bool) {
	if node == h.config.NodeID {
		return h.config.SupportedLevel, true
	}
	known := h.contacts.get(node)
	return known.level, known.greeted
}

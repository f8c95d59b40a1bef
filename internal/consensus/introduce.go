package consensus

import "github.com/tamarindring/tamarindring/internal/raft"

// Nodes lists the nodes that this node knows, including itself.
func (h *Host) Nodes() []Peer {
	nodes := []Peer{{ID: h.config.NodeID, Name: h.config.Name, Address: h.config.Address}}
	for _, id := range h.book.nodes() {
		nodes = append(nodes, Peer{ID: id, Address: h.book.address(id)})
	}
	return nodes
}

// AddKnownNodes adds nodes with their addresses. Nodes that were unknown are dialed and greeted.
func (h *Host) AddKnownNodes(nodes []Peer) {
	for _, node := range nodes {
		if h.book.addIfUnknown(node) {
			h.peers.sender(node.ID)
		}
	}
}

// addIfUnknown adds a node that is not known yet, and reports whether it did.
func (b *addressBook) addIfUnknown(node Peer) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, known := b.records[node.ID]; known || node.ID == raft.None || node.ID == b.self || b.configured[node.ID] != "" {
		return false
	}
	b.configured[node.ID] = node.Address
	return true
}

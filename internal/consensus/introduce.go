package consensus

import "github.com/tamarindring/tamarindring/internal/raft"

// Nodes lists the nodes that this one knows, itself included.
func (h *Host) Nodes() []Peer {
	nodes := []Peer{{ID: h.config.NodeID, Name: h.config.Name, Address: h.config.Address}}
	for _, id := range h.book.nodes() {
		nodes = append(nodes, Peer{ID: id, Address: h.book.address(id)})
	}
	return nodes
}

// Introduce tells of nodes that may be reached at the given addresses; those that were not known are greeted.
func (h *Host) Introduce(nodes []Peer) {
	for _, node := range nodes {
		if h.book.introduce(node) {
			h.peers.sender(node.ID)
		}
	}
}

// introduce notes a node that is not known yet, and tells whether it was not.
func (b *addressBook) introduce(node Peer) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, met := b.records[node.ID]; met || node.ID == raft.None || node.ID == b.self || b.settings[node.ID] != "" {
		return false
	}
	b.settings[node.ID] = node.Address
	return true
}

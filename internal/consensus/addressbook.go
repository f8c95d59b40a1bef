package consensus

import (
	"fmt"
	"sync"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// addressBook stores the addresses and the data folder IDs of the other nodes. Information from a greeting is made
// durable before it is used.
type addressBook struct {
	store    Store
	self     uint64
	identity storage.Identity

	// greetingMutex is held while a greeting is checked and written. mutex is not held during the write, because the
	// loop calls canParticipate at each tick: with syncs of 2 s a leader that waited for such a write sent no
	// heartbeat for 4 s.
	greetingMutex sync.Mutex

	mutex          sync.Mutex
	records        map[uint64]storage.PeerRecord
	configured     map[uint64]string // addresses from the settings, by node
	requiredVoters []uint64          // voters that have to know this folder before the node may participate
	participates   bool              // set once all required voters know this folder
}

func newAddressBook(config *Config) (*addressBook, error) {
	book := &addressBook{
		store:      config.Store,
		self:       config.NodeID,
		identity:   config.Store.Identity(),
		records:    map[uint64]storage.PeerRecord{},
		configured: map[uint64]string{},
	}
	for _, peer := range config.Peers {
		book.configured[peer.ID] = peer.Address
	}
	records, err := config.Store.Peers()
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		book.records[record.NodeID] = record
	}
	return book, nil
}

// requireConfirmation sets the voters that must durably know this node's data folder before the node may participate.
// It is called for a node that has never voted or stored an entry. Such a node may have lost its disk, and then one
// of the voters knows another data folder of it.
func (b *addressBook) requireConfirmation(voters []uint64) {
	for _, voter := range voters {
		if voter != b.self {
			b.requiredVoters = append(b.requiredVoters, voter)
		}
	}
}

// canParticipate reports whether the node may vote, start elections and store entries.
func (b *addressBook) canParticipate() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.participates {
		return true
	}
	for _, voter := range b.requiredVoters {
		if !b.records[voter].KnowsThisFolder {
			return false
		}
	}
	b.participates = true
	return true
}

// listUnconfirmedVoters lists the voters that do not know this data folder yet, while the node waits for them.
func (b *addressBook) listUnconfirmedVoters() []uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var unconfirmed []uint64
	for _, voter := range b.requiredVoters {
		if !b.participates && !b.records[voter].KnowsThisFolder {
			unconfirmed = append(unconfirmed, voter)
		}
	}
	return unconfirmed
}

// address returns the listener address of a node, empty if unknown.
func (b *addressBook) address(node uint64) string {
	if addresses := b.addresses(node); len(addresses) > 0 {
		return addresses[0]
	}
	return ""
}

// addresses returns the possible listener addresses of a node: the one it announced last, then the configured one.
func (b *addressBook) addresses(node uint64) []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if node == raft.None {
		return nil
	}
	var addresses []string
	if announced := b.records[node].Address; announced != "" {
		addresses = append(addresses, announced)
	}
	if configured := b.configured[node]; configured != "" && (len(addresses) == 0 || addresses[0] != configured) {
		addresses = append(addresses, configured)
	}
	return addresses
}

// nodes lists all other known nodes.
func (b *addressBook) nodes() []uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var nodes []uint64
	for node := range b.configured {
		if node != b.self {
			nodes = append(nodes, node)
		}
	}
	for node := range b.records {
		if _, listed := b.configured[node]; !listed && node != b.self {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// knownFolder returns the durably recorded data folder ID of a node, 0 if there is none.
func (b *addressBook) knownFolder(node uint64) uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.records[node].Folder
}

// acceptGreeting checks a greeting against the record of its sender and durably updates the record. isNew reports
// whether the sender was unknown before. Errors: a *refusal if the sender must not participate, an *ErrRefused if
// this node must not participate, those of the store, and others if the greeting is rejected for now.
func (b *addressBook) acceptGreeting(greeting *wire.RaftBatch) (isNew bool, err error) {
	b.greetingMutex.Lock()
	defer b.greetingMutex.Unlock()
	known, updated, err := b.checkGreeting(greeting)
	if err != nil || updated == known {
		return false, err
	}
	if err := b.store.PutPeer(updated); err != nil {
		return false, err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.records[greeting.FromNode] = updated
	return known.Folder == 0, nil
}

// checkGreeting checks a greeting and returns the current and the updated record of its sender.
func (b *addressBook) checkGreeting(greeting *wire.RaftBatch) (known, updated storage.PeerRecord, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if greeting.ToNode != raft.None && greeting.ToNode != b.self {
		return known, updated, fmt.Errorf("node %d looks for node %d, this is node %d: it has that one's address now",
			greeting.FromNode, greeting.ToNode, b.self)
	}
	if err := b.checkSender(greeting); err != nil {
		return known, updated, err
	}
	if greeting.KnownIdentity != 0 && greeting.KnownIdentity != b.identity.Folder {
		return known, updated, &ErrRefused{Peer: greeting.FromNode, Reason: fmt.Sprintf(
			"it knows node %d with data folder %x, this one is %x", b.self, greeting.KnownIdentity, b.identity.Folder)}
	}
	known = b.records[greeting.FromNode]
	return known, storage.PeerRecord{
		NodeID:          greeting.FromNode,
		Address:         greeting.FromAddress,
		Folder:          greeting.FromIdentity,
		Starts:          greeting.Starts,
		StartNonce:      greeting.StartNonce,
		KnowsThisFolder: known.KnowsThisFolder || greeting.KnownIdentity == b.identity.Folder,
	}, nil
}

// refusal is the error for a greeting whose sender must not participate.
type refusal struct{ reason string }

// Error implements error.
func (r *refusal) Error() string { return r.reason }

func (b *addressBook) checkSender(greeting *wire.RaftBatch) error {
	if greeting.ClusterId != b.identity.ClusterID {
		return fmt.Errorf("this is a node of cluster %q, not of %q", b.identity.ClusterID, greeting.ClusterId)
	}
	if greeting.FromNode == raft.None || greeting.FromIdentity == 0 {
		return fmt.Errorf("a greeting without a node ID or a folder identity")
	}
	if greeting.FromNode == b.self {
		return &refusal{reason: fmt.Sprintf("node ID %d is this node's own", b.self)}
	}
	known, ok := b.records[greeting.FromNode]
	switch {
	case !ok:
		return nil
	case known.Folder != greeting.FromIdentity:
		return &refusal{reason: fmt.Sprintf("node %d is known with data folder %x, not %x: its disk was lost or replaced",
			greeting.FromNode, known.Folder, greeting.FromIdentity)}
	case greeting.Starts < known.Starts || greeting.Starts == known.Starts && greeting.StartNonce != known.StartNonce:
		return &refusal{reason: fmt.Sprintf("node %d was known at start %d and now shows start %d: its data folder is an older copy",
			greeting.FromNode, known.Starts, greeting.Starts)}
	}
	return nil
}

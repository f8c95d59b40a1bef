package control

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/storage"
)

// Flags in a node's identity, which every node that knows the identity can read.
const (
	// joinedIdentity is set in the identities of nodes that joined, so that they never equal a founder's.
	joinedIdentity = 1 << 63
	// standbyIdentity is set in the identities of standby nodes.
	standbyIdentity = 1 << 62
)

// isStandby reports whether the identity belongs to a standby.
func isStandby(node uint64) bool { return node&joinedIdentity != 0 && node&standbyIdentity != 0 }

// newIdentity returns a random identity for a node that joins.
func newIdentity(standby bool) uint64 {
	identity := rand.Uint64()&^uint64(standbyIdentity) | joinedIdentity
	if standby {
		identity |= standbyIdentity
	}
	return identity
}

// SeedConfig configures a control node that finds the other nodes by a list of addresses rather than identities.
type SeedConfig struct {
	// Config configures the node. OpenSeeded sets its name, identity and peers. Listen must be the address at which the
	// other nodes reach this node.
	Config
	// Seeds are the addresses of control nodes. At the first start of the cluster they are the founders.
	Seeds []string
	// Found starts a new cluster. It only affects a node with an empty folder that is one of the seeds and not a
	// standby. All other nodes join.
	Found bool
	// Losses is the number of nodes that may be lost at the same time. The groups get as many voters as this requires,
	// and at least as many as there are founders. Default 0.
	Losses int
}

// OpenSeeded opens a control node that determines its own identity. A folder that contains an identity is used with it,
// regardless of the current seeds. With an empty folder, a founder takes the identity that follows from its position in
// the sorted list of seeds, and any other node takes a random one and waits to be added. A list without seeds, an
// unreadable data folder and all errors of New are errors.
func OpenSeeded(seeded SeedConfig) (*Server, error) {
	config := seeded.Config
	if len(seeded.Seeds) == 0 {
		return nil, trace.BadParameter("control node %s needs seeds", config.Name)
	}
	founders := foundersOf(seeded.Seeds)
	config.Seeds, config.Voters = seeded.Seeds, max(len(founders), VotersFor(seeded.Losses))
	identity, err := storage.ReadIdentity(config.DataFolder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	self := Peer{}
	if config.Standby {
		founders = nil
	}
	if position := slices.IndexFunc(founders, func(peer Peer) bool { return peer.Address == config.Listen }); position >= 0 {
		self = founders[position]
	}
	switch {
	case identity != nil:
		config.NodeID, config.Name = identity.NodeID, identity.NodeName
		config.Join = self.ID != identity.NodeID // a founder may have stopped before it founded the groups
	case seeded.Found && self.ID != 0:
		config.NodeID, config.Name = self.ID, nodeName(config.Listen, self.ID)
	default:
		config.NodeID, config.Join = newIdentity(config.Standby), true
		config.Name = nodeName(config.Listen, config.NodeID)
	}
	if !config.Join {
		config.Peers = founders
	}
	return New(config)
}

// VotersFor returns the number of voters that tolerate a number of simultaneous losses.
func VotersFor(losses int) int { return 2*losses + 1 }

// foundersOf assigns each seed an identity that every node derives from the list regardless of its order.
func foundersOf(seeds []string) []Peer {
	sorted := slices.Compact(slices.Sorted(slices.Values(seeds)))
	founders := make([]Peer, 0, len(sorted))
	for position, address := range sorted {
		id := uint64(position + 1)
		founders = append(founders, Peer{ID: id, Name: nodeName(address, id), Address: address})
	}
	return founders
}

// nodeName returns a control node's name for logs and the list of members.
func nodeName(address string, id uint64) string {
	return "control-" + address + "-" + strconv.FormatUint(id, 36)
}

package control

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/storage"
)

// Marks in a node's identity, which everybody who meets the node can read.
const (
	// joinedIdentity is set in the identities of nodes that joined, so that none is a founder's.
	joinedIdentity = 1 << 63
	// standbyIdentity is set in the identities of standby nodes.
	standbyIdentity = 1 << 62
)

// isStandby tells whether a node is a standby.
func isStandby(node uint64) bool { return node&joinedIdentity != 0 && node&standbyIdentity != 0 }

// newIdentity draws the identity of a node that joins.
func newIdentity(standby bool) uint64 {
	identity := rand.Uint64()&^uint64(standbyIdentity) | joinedIdentity
	if standby {
		identity |= standbyIdentity
	}
	return identity
}

// SeedConfig lets a control node find the others by a list of addresses instead of identities.
type SeedConfig struct {
	// Config is the node's; its name, identity and peers are found here. Listen must be the address under
	// which the others reach this node.
	Config
	// Seeds are the addresses of control nodes. At the first start they are the founders.
	Seeds []string
	// Found says that the cluster starts for the first time. It only counts for a node with an empty folder
	// that is one of the seeds, and no standby; all others join.
	Found bool
	// Losses is how many nodes may be lost at once. The groups get as many voters as bear that, and at least as many
	// as there are founders. Default 0.
	Losses int
}

// OpenSeeded opens a control node that is not told its identity. A folder that holds one is used under it,
// whatever the seeds are by now. With an empty folder a founder takes the identity that follows from its
// place in the list, and any other node a random one, under which it waits to be added.
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
		config.Join = self.ID != identity.NodeID // a founder may have stopped before it had founded anything
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

// VotersFor is how many voters bear the loss of a number of them at once.
func VotersFor(losses int) int { return 2*losses + 1 }

// foundersOf gives each seed an identity that every node derives alike from the list, in any order.
func foundersOf(seeds []string) []Peer {
	sorted := slices.Compact(slices.Sorted(slices.Values(seeds)))
	founders := make([]Peer, 0, len(sorted))
	for position, address := range sorted {
		id := uint64(position + 1)
		founders = append(founders, Peer{ID: id, Name: nodeName(address, id), Address: address})
	}
	return founders
}

// nodeName is a control node's name in logs and in the list of members.
func nodeName(address string, id uint64) string {
	return "control-" + address + "-" + strconv.FormatUint(id, 36)
}

package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// controlGroup is the group of the table, members and fences. Ledger groups are numbered from 1.
const controlGroup = state.ControlGroup

// Replicas is the interface of the replicated groups that this package needs. *consensus.Host implements it.
type Replicas interface {
	wire.DRPCRaftServer
	groupChanger
	// Run drives the groups until ctx ends or the node must stop.
	Run(ctx context.Context) error
	// Close stops the groups without transferring leaderships.
	Close()
	// Propose replicates command and returns its result and log index once it is applied on this node.
	Propose(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, uint64, error)
	// Read returns nil once the state applied on this node covers everything that was committed when Read was called.
	Read(ctx context.Context, group uint32) error
	// Query answers from state that is current as of the call.
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
	// LocalQuery answers from the state applied on this node, which may be out of date unless Read was called before.
	LocalQuery(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
	// Addresses returns the addresses of the nodes of group that this node knows.
	Addresses(ctx context.Context, group uint32) ([]string, error)
	// Nodes returns the nodes that this node knows. AddKnownNodes adds further nodes.
	Nodes() []consensus.Peer
	AddKnownNodes(nodes []consensus.Peer)
	// Status returns this node's view of group.
	Status(ctx context.Context, group uint32) (raft.Status, error)
	// PeerLevel returns the level that a node announced last, or false if it has announced none since this node
	// started.
	PeerLevel(node uint64) (compat.Level, bool)
	// ElectionView returns what this node has observed of a group's elections. SinceLastHeard returns how long it has
	// not heard a node.
	ElectionView(ctx context.Context, group uint32) (consensus.ElectionView, error)
	SinceLastHeard(node uint64) time.Duration
	// UnheardFor returns the longest time for which this node and, by their recent reports, others have not heard a
	// node. It is 0 if one of them hears the node.
	UnheardFor(node uint64, others []uint64) time.Duration
	// Holdings returns the sizes of what this node stores of group apart from its state.
	Holdings(ctx context.Context, group uint32) (consensus.Holdings, error)
	// Capacity returns the size of state that every voter of group can hold, in bytes, or 0 if it is unknown.
	Capacity(ctx context.Context, group uint32) (uint64, error)
	// Capture returns the encoded state of group as applied on this node, and the index of the last entry in it.
	Capture(ctx context.Context, group uint32) (index uint64, data []byte, err error)
	// TransferLeadership asks a voter to lead group.
	TransferLeadership(ctx context.Context, group uint32, node uint64) error
	// StuckWrite returns a long-running disk write of this node whose content other voters have already stored.
	// ForceTransfer asks one of them to lead group without waiting for that write.
	StuckWrite(ctx context.Context) (consensus.StuckWrite, error)
	ForceTransfer(ctx context.Context, group uint32, node uint64) error
}

// groupState caches what the consensus host's loop last reported of a group, so that it can be read without a query.
type groupState struct {
	leadership atomic.Pointer[consensus.Leadership]
	applied    atomic.Uint64
	jobs       chan struct{} // capacity 1: batch jobs were accepted or ended
}

// leader returns the group's leadership as known on this node.
func (g *groupState) leader() consensus.Leadership {
	if known := g.leadership.Load(); known != nil {
		return *known
	}
	return consensus.Leadership{}
}

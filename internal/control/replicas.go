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

// controlGroup is the group of the table, members and fences; ledger groups are numbered from 1.
const controlGroup = state.ControlGroup

// Replicas is what this package needs of the replicated groups; *consensus.Host is the usual one.
type Replicas interface {
	wire.DRPCRaftServer
	groupChanger
	// Run drives the groups until ctx ends or the node must stop.
	Run(ctx context.Context) error
	// Close stops abruptly.
	Close()
	// Propose replicates command and returns its result and log index once it is applied here.
	Propose(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, uint64, error)
	// Read returns nil once the state applied here covers all that was committed when it was called.
	Read(ctx context.Context, group uint32) error
	// Query answers from state that is current as of the call.
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
	// LocalQuery answers from the state applied here, which may be old unless Read came first.
	LocalQuery(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
	// Addresses are where the nodes of group listen, as far as is known here.
	Addresses(ctx context.Context, group uint32) ([]string, error)
	// Nodes are the nodes that this one knows, and Introduce tells of further ones.
	Nodes() []consensus.Peer
	Introduce(nodes []consensus.Peer)
	// Status is this node's view of group.
	Status(ctx context.Context, group uint32) (raft.Status, error)
	// Speaks is the level that a node told last; false if it has not since this node started.
	Speaks(node uint64) (compat.Level, bool)
	// Sight is what this node has seen of a group's elections, and SilentFor for how long it has not heard a node.
	Sight(ctx context.Context, group uint32) (consensus.Sight, error)
	SilentFor(node uint64) time.Duration
	// Unheard is for how long this node and others have not heard a node, as they have told lately; 0 if one hears it.
	Unheard(node uint64, others []uint64) time.Duration
	// Holdings is what this node holds of group beside its state.
	Holdings(ctx context.Context, group uint32) (consensus.Holdings, error)
	// Capacity is the size of state that each voter of group can hold, as far as is known; 0: it is not.
	Capacity(ctx context.Context, group uint32) (uint64, error)
	// Capture is the encoded state of group as applied here, and the index of the last entry in it.
	Capture(ctx context.Context, group uint32) (index uint64, data []byte, err error)
	// TransferLeadership asks a voter to take over group.
	TransferLeadership(ctx context.Context, group uint32, node uint64) error
	// StuckWrite tells of a write of this node that lasts while other voters have stored what it holds, and HandOver asks one of
	// them to take over group without waiting for that write.
	StuckWrite(ctx context.Context) (consensus.StuckWrite, error)
	HandOver(ctx context.Context, group uint32, node uint64) error
}

// groupState is what the groups' loop has told last of one group, to be read without asking it.
type groupState struct {
	leadership atomic.Pointer[consensus.Leadership]
	applied    atomic.Uint64
	jobs       chan struct{} // capacity 1: batch jobs were taken or ended
}

// leader returns who leads, as far as is known here.
func (g *groupState) leader() consensus.Leadership {
	if known := g.leadership.Load(); known != nil {
		return *known
	}
	return consensus.Leadership{}
}

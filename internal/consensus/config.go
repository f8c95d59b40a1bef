package consensus

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Peer is a node of the cluster: this one or another.
type Peer struct {
	ID      uint64 // raft node ID, positive, never reused
	Name    string // for logs
	Address string // IP:port of its drpc listener
}

// StateMachine is what a group replicates. Its methods are called from one goroutine at a time and must be
// deterministic.
type StateMachine interface {
	// Readable returns an error for a command that this build can't apply as other builds do; the host then stops.
	Readable(command *wire.Command) error
	// Apply carries out the command at a log index.
	Apply(index uint64, command *wire.Command) *wire.Result
	// Query answers from the applied state.
	Query(query *wire.Query) *wire.View
	// Capture fixes the whole state as it is now. The function that it returns encodes that state; it is
	// called from another goroutine while further commands are applied. Parts that were in an encoding before may be the
	// same memory again: they are not written to the disk again.
	Capture() (encode func() ([][]byte, error))
	// RestoreParts replaces the state by an encoded one, whose parts it may share.
	RestoreParts(parts [][]byte) error
}

// Store is the durable state of a node; *storage.Store is one, a simulated disk another.
type Store interface {
	// Load returns what a group has on disk.
	Load(group uint32) (raft.Restored, error)
	// LoadSnapshot returns a group's snapshot, also while Write is called.
	LoadSnapshot(group uint32) (raft.Snapshot, error)
	// Groups lists the groups that were founded or joined on this disk.
	Groups() ([]uint32, error)
	// Write makes a batch durable as a whole. storage.ErrNoSpace says that nothing of it was written
	// and that it may be repeated; any other error ends the host.
	Write(batch []storage.GroupWrite) error
	// Room tells what there is room for, beside the headroom.
	Room() storage.Room
	// HasRoomFor tells whether a snapshot of a group fits and leaves what votes need.
	HasRoomFor(group uint32, snapshot raft.Parts) bool
	// SizeOfNew is the size of what a snapshot of a group would add to the disk.
	SizeOfNew(group uint32, snapshot raft.Parts) int
	// Peers and PutPeer keep what is known of other nodes.
	Peers() ([]storage.PeerRecord, error)
	PutPeer(record storage.PeerRecord) error
	// Identity and Starts tell this folder from a lost or older one.
	Identity() storage.Identity
	Starts() uint64
}

// Credentials prove to a peer who speaks to it; *credentials.Client is the usual one.
type Credentials interface {
	// Context returns ctx with the token, for a stream that is about to be opened.
	Context(ctx context.Context) context.Context
	// Secure wraps a connection that was just opened.
	Secure(conn net.Conn) net.Conn
}

// Config holds a host's settings.
type Config struct {
	// NodeID is this node's raft ID, unique in the cluster for ever. Required.
	NodeID uint64
	// ClusterID must be the same on all nodes; messages of another cluster are refused. Required.
	ClusterID string
	// Name is used in logs. Default: the name in Peers.
	Name string
	// Address is the IP:port under which other nodes reach this one. Default: the address in Peers.
	Address string
	// Peers lists the nodes known at the start, this one included unless Join is set. At the first start
	// without Join they are the voters of every group; later, the replicated membership counts and
	// Peers only helps to find the others.
	Peers []Peer
	// Join starts a node with an empty folder as one that waits to be added as a learner. Default false.
	Join bool
	// Groups lists the groups' IDs; the same on all nodes, fixed at the first start. Required.
	Groups []uint32
	// Store is the node's durable state. The host does not close it. Required.
	Store Store
	// NewStateMachine makes the empty state machine of a group. Required.
	NewStateMachine func(group uint32) StateMachine
	// Tick is the unit of the timeouts. Default 50ms: with 10 election ticks a dead leader is replaced
	// in 0.5 s to 1 s and a pause of a few hundred milliseconds passes unnoticed.
	Tick time.Duration
	// ElectionTicks is the least number of ticks without a leader before a node stands for election. It grows to
	// eight times as many while elections fail, as on slow disks. Default 10.
	ElectionTicks int
	// CampaignDelayTicks is how much later than others this node stands for election. Default 0.
	CampaignDelayTicks int
	// HeartbeatTicks is the number of ticks between heartbeats. Default 2.
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries after which a group takes a snapshot and
	// compacts its log. Default 10000: a restart replays them in well under a second.
	SnapshotEntries int
	// SnapshotBytes is the size of applied entries after which a group takes a snapshot. Default 64 MiB.
	SnapshotBytes int
	// RetainedBytes is the size of entries that may stay in memory behind a snapshot, for followers that are a little behind: one
	// that lacks others is sent the whole state. Default a quarter of SnapshotBytes.
	RetainedBytes int
	// SnapshotCost bounds what snapshots of a large state write: at most about so many bytes of snapshot for
	// each byte of applied entries. Default 4: little beside the entries' own synced writes, while the log
	// that a restart replays stays at a quarter of the state. It does not hold back a snapshot of up to
	// 1 MiB.
	SnapshotCost int
	// MaxPendingProposals bounds the proposals that wait for their answer, over all groups; above it
	// Propose returns ErrOverloaded. Default 16384.
	MaxPendingProposals int
	// MaxBatchProposals bounds the proposals of one synced write. Default 1024. One gives a sync per
	// proposal, the baseline of the bench.
	MaxBatchProposals int
	// Dial connects to a peer. Default: TCP. Tests cut links with it.
	Dial DialFunc
	// Credentials are shown to the peers. Default: none.
	Credentials Credentials
	// OnLeaderChange is called from the loop when a group's leader or this node's role changes. It must
	// not block. Optional.
	OnLeaderChange func(group uint32, leadership Leadership)
	// OnApply is called from the loop, in order, for each command applied, also while a restart replays
	// the log. It must not block. Optional.
	OnApply func(group uint32, index uint64, command *wire.Command, result *wire.Result)
	// OnRestore is called from the loop after a snapshot replaced a group's state. It must not block.
	// Optional.
	OnRestore func(group uint32, index uint64)
	// IsStandby tells whether a node is to lead only where others can't; for log lines. Optional.
	IsStandby func(node uint64) bool
	// Reserved tells of the groups that take new work also below the headroom: small ones that the others rest on. Default:
	// none.
	Reserved func(group uint32) bool
	// Speaks is the highest level of package compat that this node reads and writes; greetings tell it. Default Base.
	Speaks compat.Level
	// CapacityBytes is the size of state that this node can hold, as it tells the others. Default: it does not tell.
	CapacityBytes uint64
	// Agreed is the level in force: a greeting of a node that does not speak it is refused. Default: Base.
	Agreed compat.Agreed
	// Log receives what operators should know. Default: nothing is logged.
	Log *logrus.Entry
}

// Leadership is what this node knows of a group's leader.
type Leadership struct {
	Term    uint64
	Leader  uint64 // raft.None if unknown
	Leading bool   // this node is the leader
}

// The defaults of Config.
const (
	DefaultTick                = 50 * time.Millisecond
	DefaultElectionTicks       = 10
	DefaultHeartbeatTicks      = 2
	DefaultSnapshotEntries     = 10_000
	DefaultSnapshotBytes       = 64 << 20
	DefaultSnapshotCost        = 4
	DefaultMaxPendingProposals = 16_384
	DefaultMaxBatchProposals   = 1024
)

func (c *Config) setDefaults() {
	defaults.Set(&c.Tick, DefaultTick)
	defaults.Set(&c.ElectionTicks, DefaultElectionTicks)
	defaults.Set(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	defaults.Set(&c.SnapshotEntries, DefaultSnapshotEntries)
	defaults.Set(&c.SnapshotBytes, DefaultSnapshotBytes)
	defaults.Set(&c.RetainedBytes, c.SnapshotBytes/4)
	defaults.Set(&c.SnapshotCost, DefaultSnapshotCost)
	defaults.Set(&c.MaxPendingProposals, DefaultMaxPendingProposals)
	defaults.Set(&c.MaxBatchProposals, DefaultMaxBatchProposals)
	for _, peer := range c.Peers {
		if peer.ID == c.NodeID {
			defaults.Set(&c.Name, peer.Name)
			defaults.Set(&c.Address, peer.Address)
		}
	}
	if c.Agreed == nil {
		c.Agreed = func() compat.Level { return compat.Base }
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Log == nil {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		c.Log = logrus.NewEntry(logger)
	}
}

func (c *Config) check() error {
	switch {
	case c.NodeID == raft.None:
		return trace.BadParameter("consensus: a node ID is required")
	case c.ClusterID == "":
		return trace.BadParameter("consensus: a cluster ID is required")
	case c.Store == nil || c.NewStateMachine == nil:
		return trace.BadParameter("consensus: a store and state machines are required")
	case len(c.Groups) == 0:
		return trace.BadParameter("consensus: at least one group is required")
	case c.Address == "":
		return trace.BadParameter("consensus: node %d is not among the peers and has no address", c.NodeID)
	}
	if identity := c.Store.Identity(); identity.NodeID != c.NodeID || identity.ClusterID != c.ClusterID {
		return trace.BadParameter("consensus: the store belongs to node %d of cluster %q, not to node %d of cluster %q",
			identity.NodeID, identity.ClusterID, c.NodeID, c.ClusterID)
	}
	return nil
}

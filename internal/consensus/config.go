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
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Peer identifies a node of the cluster, which may be the local one.
type Peer struct {
	ID      uint64 // raft node ID, positive, never reused
	Name    string // for logs
	Address string // IP:port of its drpc listener
}

// StateMachine is the replicated state of a group. Its methods are called from one goroutine at a time and must be
// deterministic.
type StateMachine interface {
	// CheckReadable returns an error for a command that this build cannot apply in the same way as other builds do. The
	// host then stops.
	CheckReadable(command *wire.Command) error
	// Apply executes the command at a log index.
	Apply(index uint64, command *wire.Command) *wire.Result
	// Prepare answers a query from the applied state. If the answer needs content that is not in memory, view is nil and
	// load reads it. load is called from another goroutine while further commands are applied.
	Prepare(query *wire.Query) (view *wire.View, load func() (*wire.View, error))
	// Capture takes a consistent view of the whole current state. The returned function encodes that view. It is
	// called from another goroutine while further commands are applied. A part that is unchanged since an earlier
	// encoding may be returned as the same part and is then not written to disk again.
	Capture() (encode func() (statepart.Parts, error))
	// RestoreParts replaces the state by a decoded snapshot. The state may keep references to the parts.
	RestoreParts(parts statepart.Parts) error
}

// Store is the durable state of a node. It is implemented by *storage.Store and by simulated disks.
type Store interface {
	// Load returns what a group has on disk.
	Load(group uint32) (raft.Restored, error)
	// LoadSnapshot returns a group's snapshot, also while Write is called.
	LoadSnapshot(group uint32) (raft.Snapshot, error)
	// Groups lists the groups that were created or joined in this data folder.
	Groups() ([]uint32, error)
	// Write makes a batch durable atomically. storage.ErrNoSpace means that nothing was written and the call may be
	// repeated. Any other error stops the host.
	Write(batch []storage.GroupWrite) error
	// FreeSpace returns which kinds of work the free disk space allows. All are allowed while the headroom is free.
	FreeSpace() storage.FreeSpace
	// HasSpaceFor reports whether a snapshot of a group fits while leaving the space that votes need.
	HasSpaceFor(group uint32, snapshot statepart.Parts) bool
	// UnstoredBytes returns the number of bytes that storing a snapshot of a group would add to the disk.
	UnstoredBytes(group uint32, snapshot statepart.Parts) int
	// RemoveReplaced frees the disk space of a group's state from before a snapshot of the leader. It is called once the
	// state machine has the new state.
	RemoveReplaced(group uint32)
	// Peers and PutPeer read and durably write the records of other nodes.
	Peers() ([]storage.PeerRecord, error)
	PutPeer(record storage.PeerRecord) error
	// Identity and Starts identify the data folder and count its starts. They distinguish it from a lost folder and
	// from an older copy.
	Identity() storage.Identity
	Starts() uint64
}

// Credentials authenticate this node to its peers. The usual implementation is *credentials.Client.
type Credentials interface {
	// Context returns ctx with the authentication token for a stream that is about to be opened.
	Context(ctx context.Context) context.Context
	// Secure wraps a newly opened connection.
	Secure(conn net.Conn) net.Conn
}

// Config holds a host's settings.
type Config struct {
	// NodeID is this node's raft ID, which is unique in the cluster and never reused. Required.
	NodeID uint64
	// ClusterID must be the same on all nodes. Messages from another cluster are rejected. Required.
	ClusterID string
	// Name is used in logs. Default: the name in Peers.
	Name string
	// Address is the IP:port under which other nodes reach this one. Default: the address in Peers.
	Address string
	// Peers lists the nodes known at start, including this one unless Join is set. At the first start without Join
	// they become the voters of every group. Afterwards the replicated membership is authoritative, and Peers only
	// helps to find the other nodes.
	Peers []Peer
	// Join starts a node that has an empty data folder and waits to be added as a learner. Default false.
	Join bool
	// Groups lists the IDs of the groups. They are the same on all nodes and fixed at the first start. Required.
	Groups []uint32
	// Store is the node's durable state. The host does not close it. Required.
	Store Store
	// NewStateMachine returns an empty state machine for a group. Required.
	NewStateMachine func(group uint32) StateMachine
	// Tick is the unit of the timeouts. Default 50 ms: with 10 election ticks a failed leader is replaced within
	// 0.5 s to 1 s, and a pause of a few hundred milliseconds does not cause an election.
	Tick time.Duration
	// ElectionTicks is the minimum number of ticks without a leader before a node starts an election. The number
	// grows up to eightfold while elections fail, as they do on slow disks. Default 10.
	ElectionTicks int
	// CampaignDelayTicks delays elections started by this node by a number of ticks. Default 0.
	CampaignDelayTicks int
	// HeartbeatTicks is the number of ticks between heartbeats. Default 2.
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries after which a group takes a snapshot and compacts its log.
	// Default 10000, which a restart replays in well under a second.
	SnapshotEntries int
	// SnapshotBytes is the size in bytes of applied entries after which a group takes a snapshot. Default 64 MiB.
	SnapshotBytes int
	// RetainedBytes is the size in bytes of the entries that may stay in memory although a snapshot covers them, for
	// followers that lag slightly. A follower that needs older entries is sent the whole state. Default a quarter of
	// SnapshotBytes.
	RetainedBytes int
	// SnapshotCost limits the write volume of snapshots of a large state to about this many snapshot bytes per byte
	// of applied entries. Default 4: this is little compared with the synced writes of the entries themselves, while
	// the log that a restart replays stays at a quarter of the state. Snapshots of up to 1 MiB are not limited.
	SnapshotCost int
	// MaxPendingProposals limits the number of unanswered proposals of all groups. Above it Propose returns
	// ErrOverloaded. Default 16384.
	MaxPendingProposals int
	// MaxBatchProposals limits the number of proposals in one synced write. Default 1024. A value of 1 gives one sync
	// per proposal, which is the baseline of the benchmark.
	MaxBatchProposals int
	// Dial connects to a peer. Default: TCP. Tests use it to cut links.
	Dial DialFunc
	// Credentials authenticate this node to its peers. Default: none.
	Credentials Credentials
	// OnLeaderChange is called from the loop when a group's leader or term, or this node's role, changes. It must not
	// block. Optional.
	OnLeaderChange func(group uint32, leadership Leadership)
	// OnApply is called from the loop, in order, for each applied command, including commands that a restart replays
	// from the log. It must not block. Optional.
	OnApply func(group uint32, index uint64, command *wire.Command, result *wire.Result)
	// OnRestore is called from the loop after a snapshot has replaced a group's state. It must not block. Optional.
	OnRestore func(group uint32, index uint64)
	// IsStandby reports whether a node should lead only where no other node can. It is used for log lines. Optional.
	IsStandby func(node uint64) bool
	// Reserved reports whether a group accepts new commands even when free disk space is below the headroom. It is
	// meant for small groups that the other groups depend on. Default: no group.
	Reserved func(group uint32) bool
	// SupportedLevel is the highest level of package compat that this node reads and writes. It is announced in
	// greetings. Default Base.
	SupportedLevel compat.Level
	// CapacityBytes is the state size in bytes that this node can hold. It is announced in greetings. Default 0: no
	// capacity is announced.
	CapacityBytes uint64
	// LevelInForce returns the level in force. Greetings of nodes that do not support it are rejected. Default: Base.
	LevelInForce compat.Agreed
	// Log receives log lines for operators. Default: nothing is logged.
	Log *logrus.Entry
}

// Leadership is this node's knowledge of a group's leader.
type Leadership struct {
	Term    uint64
	Leader  uint64 // raft.None if unknown
	Leading bool   // whether this node is the leader
}

// Default values of Config fields.
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
	if c.LevelInForce == nil {
		c.LevelInForce = func() compat.Level { return compat.Base }
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

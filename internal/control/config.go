// Package control is the server of a control node: it serves the consensus transport and the control
// service on one listener, executes commands and queries on the replicated groups, grants leases on the
// table, pushes table changes to the holders and watches which members are alive.
package control

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/claim"
	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
)

// Defaults of Config.
const (
	DefaultLedgerGroups  = 2
	DefaultLeaseDuration = 1200 * time.Millisecond
	DefaultTick          = 50 * time.Millisecond
	// diskShare is the divisor of DiskBytes that yields the default of HeadroomBytes.
	diskShare = 8
	// logShare is the divisor of DiskBytes that yields the default of SnapshotBytes. The data file grows to several
	// times the size of the log in it, since pages of dropped log entries are reused only after the next write.
	logShare = 32
	// retainedShare is the divisor of DiskBytes that yields the size of log entries kept in memory after a snapshot
	// covers them. With them, a node that was away for some seconds is sent the entries that it missed and not the
	// whole state.
	retainedShare = 16
	// jobDiskShare is the number of sixteenths of DiskBytes in the default of JobBytes. The rest of the disk is for the
	// headroom, the log, and the parts that two snapshots do not have in common.
	jobDiskShare = 11
	// jobMemoryShare is the divisor of MemoryBytes that yields the default of JobBytes. A node that receives the state of
	// a group holds it in memory until it is stored, beside its sessions and runs.
	jobMemoryShare = 3
)

// Peer identifies a control node and its address.
type Peer struct {
	ID      uint64
	Name    string
	Address string // IP:port of its listener
}

// Config configures one control node.
type Config struct {
	// Name is this node's unique member name. Required.
	Name string
	// NodeID identifies this node in every group. It must not be reused after the node's disk was lost. Required.
	NodeID uint64
	// ClusterID must be equal on all nodes of the cluster. Messages of other clusters are rejected. Required.
	ClusterID string
	// Listen is the IP:port to listen on. Port 0 selects a free port. Ignored when Listener is set.
	Listen string
	// Bind is the IP:port to listen on if the other nodes reach this node under another address, given by Listen, for
	// example through a forwarder. Default: Listen.
	Bind string
	// Listener is an already bound listener, for tests and inherited sockets.
	Listener net.Listener
	// Peers are the control nodes that form the groups at the first start, including this node.
	Peers []Peer
	// Join starts a node with an empty folder that waits to be added to the groups.
	Join bool
	// Seeds are addresses of control nodes. A joining node asks them to be added to the groups until it is a voter.
	Seeds []string
	// Voters is the number of voters that every group should have. Nodes that ask to join replace lost voters
	// automatically. 0 leaves all membership changes to operators.
	Voters int
	// Standby marks a node that votes and stores the state, but leads only while no other voter can: its machine is
	// slower, or lacks what a leader serves besides the groups. Its NodeID must be that of a standby (see OpenSeeded).
	Standby bool
	// Zone and Region are the location of this node.
	Zone   string
	Region string
	// DataFolder holds all durable data of the node. Required.
	DataFolder string
	// DiskBytes is the size of a small disk that holds nothing but the data folder. The defaults of HeadroomBytes,
	// SnapshotBytes and JobBytes derive from it. Default 0: unknown.
	DiskBytes uint64
	// MemoryBytes is the amount of memory that the process may use. Default 0: unknown.
	MemoryBytes uint64
	// JobBytes is the total size of batch jobs, open and ended, that this node can hold in all ledger groups. The
	// groups accept jobs up to the minimum over all voters, divided equally among the groups. Default: the smaller of
	// the shares of DiskBytes and MemoryBytes, or the limit of package batch if both are unknown.
	JobBytes uint64
	// HeadroomBytes is the free disk space below which the node accepts no new work. Default: an eighth of DiskBytes,
	// or the default of package storage if DiskBytes is unknown.
	HeadroomBytes uint64
	// SnapshotBytes is the size of applied log entries at which a group takes a snapshot and drops them, on disk and in
	// memory. Default: a 32nd of DiskBytes, at most the default of package consensus, which also applies if DiskBytes
	// is unknown.
	SnapshotBytes int
	// LedgerGroups is the number of ledger groups, which cannot change during the life of a cluster. Default
	// DefaultLedgerGroups, so that one busy group does not block all keys.
	LedgerGroups int
	// LeaseDuration is how long a holder may act on the table after its last renewal. An accepted change is in force
	// everywhere within 1.5 times this duration, even where a holder cannot be reached. Default DefaultLeaseDuration,
	// which meets the bound of 2 s at the current deployment size.
	LeaseDuration time.Duration
	// Retention is how long claims are remembered. It must be equal on all control nodes. Zero fields take the defaults
	// of package claim.
	Retention claim.Retention
	// Tick is the step of the consensus clock. An election takes ten to twenty ticks. Default DefaultTick.
	Tick time.Duration
	// HTTPListen is the IP:port that serves the operators' page, metrics and health checks. Empty disables them.
	HTTPListen string
	// HTTPListener is an already bound listener that replaces HTTPListen.
	HTTPListener net.Listener
	// Dial opens connections to the other nodes. Default: plain TCP. Tests use it to cut links.
	Dial controlclient.DialFunc
	// Guard checks the tokens of operators and nodes. Nil accepts every connection.
	Guard *credentials.Guard
	// Credentials are presented to the other control nodes. Nil presents none.
	Credentials *credentials.Client
	// TLS accepts only connections of nodes and operators that present a certificate. Nil: plain TCP.
	TLS *credentials.TLS
	// Clock is the clock that leases are measured on. Default monotonic.Now.
	Clock monotonic.Clock
	// Log receives log lines. Default: they are discarded.
	Log *logrus.Entry

	// speaks returns the level that greetings announce. Default compat.Newest. Tests override it to simulate an older
	// build.
	speaks func() compat.Level
}

func (c *Config) setDefaults() error {
	switch {
	case c.Name == "":
		return trace.BadParameter("a control node needs a name")
	case c.NodeID == 0:
		return trace.BadParameter("control node %s needs an id above 0", c.Name)
	case c.ClusterID == "":
		return trace.BadParameter("control node %s needs a cluster id", c.Name)
	case c.DataFolder == "":
		return trace.BadParameter("control node %s needs a data folder", c.Name)
	case c.LedgerGroups < 0:
		return trace.BadParameter("ledger groups: %d is negative", c.LedgerGroups)
	case c.Listener == nil && c.Listen == "":
		return trace.BadParameter("control node %s needs an address to listen on", c.Name)
	}
	if c.speaks == nil {
		c.speaks = func() compat.Level { return compat.Newest }
	}
	if c.LedgerGroups == 0 {
		c.LedgerGroups = DefaultLedgerGroups
	}
	if c.LeaseDuration == 0 {
		c.LeaseDuration = DefaultLeaseDuration
	}
	if c.Tick == 0 {
		c.Tick = DefaultTick
	}
	if c.LeaseDuration < 4*c.Tick {
		return trace.BadParameter("lease of %s is too short for a tick of %s: want at least four ticks", c.LeaseDuration, c.Tick)
	}
	if c.HeadroomBytes == 0 {
		c.HeadroomBytes = c.DiskBytes / diskShare
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = int(min(c.DiskBytes/logShare, consensus.DefaultSnapshotBytes))
	}
	if c.JobBytes == 0 {
		c.JobBytes = jobBytes(c.DiskBytes, c.MemoryBytes)
	}
	if c.Clock == nil {
		c.Clock = monotonic.Now
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	c.Retention = c.Retention.WithDefaults()
	if err := c.Retention.Validate(); err != nil {
		return err
	}
	return c.checkPeers()
}

func (c *Config) checkPeers() error {
	identities := make(map[uint64]bool)
	names := make(map[string]bool)
	for _, peer := range c.Peers {
		if peer.ID == 0 || peer.Name == "" {
			return trace.BadParameter("peer %q: want an id above 0 and a name", peer.Name)
		}
		if identities[peer.ID] || names[peer.Name] {
			return trace.BadParameter("peer %d (%s) is listed twice", peer.ID, peer.Name)
		}
		if _, _, err := net.SplitHostPort(peer.Address); err != nil {
			return trace.BadParameter("peer %s: address %q: want IP:port", peer.Name, peer.Address)
		}
		identities[peer.ID], names[peer.Name] = true, true
	}
	if !identities[c.NodeID] && !c.Join {
		return trace.BadParameter("control node %d (%s) is not among its peers", c.NodeID, c.Name)
	}
	return nil
}

// dialPeer returns Dial as a dial function of the consensus transport, or nil for the transport's default.
func (c *Config) dialPeer() consensus.DialFunc {
	if c.Dial == nil {
		return nil
	}
	return func(ctx context.Context, peer consensus.Peer) (net.Conn, error) {
		return c.Dial(ctx, "tcp", peer.Address)
	}
}

// dialer returns Dial, or a dialer of plain TCP if it is not set.
func (c *Config) dialer() controlclient.DialFunc {
	if c.Dial != nil {
		return c.Dial
	}
	return (&net.Dialer{}).DialContext
}

// jobBytes returns the default of Config.JobBytes. disk and memory are sizes in bytes; a size of 0 is unknown. If both
// are unknown, the default is the limit of package batch.
func jobBytes(disk, memory uint64) uint64 {
	byDisk, byMemory := disk/16*jobDiskShare, memory/jobMemoryShare
	switch {
	case disk == 0 && memory == 0:
		return batch.MaximumHeldBytes
	case disk == 0:
		return byMemory
	case memory == 0:
		return byDisk
	}
	return min(byDisk, byMemory)
}

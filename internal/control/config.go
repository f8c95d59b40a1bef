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
	// diskShare is the part of DiskBytes that HeadroomBytes is.
	diskShare = 8
	// logShare is the part of DiskBytes that SnapshotBytes is. The data file grows to several times the log that it holds, for
	// pages of the log that was dropped are used again only after the next write.
	logShare = 32
	// retainedShare is the part of DiskBytes that log entries behind a snapshot may take in memory: a node that is back after some
	// seconds is sent what it missed, and not the whole state.
	retainedShare = 16
	// jobDiskShare, in sixteenths, is the part of DiskBytes that JobBytes is: beside it stay the headroom, the log, and what two
	// snapshots do not have in common.
	jobDiskShare = 11
	// jobMemoryShare is the part of MemoryBytes that JobBytes is. A leader holds about as much for its sessions and runs, and the
	// collector keeps all below 60%.
	jobMemoryShare = 3
)

// Peer is a control node.
type Peer struct {
	ID      uint64
	Name    string
	Address string // IP:port of its listener
}

// Config says what one control node is.
type Config struct {
	// Name is this node's unique member name. Required.
	Name string
	// NodeID is this node's identity in every group; never reused after its disk was lost. Required.
	NodeID uint64
	// ClusterID must be equal on all nodes of the cluster; others' messages are refused. Required.
	ClusterID string
	// Listen is IP:port; port 0 takes any. Ignored when Listener is set.
	Listen string
	// Bind is the IP:port that the node listens on where the others reach it under another one, which is Listen then: by
	// way of a forwarder. Default: Listen.
	Bind string
	// Listener is an already bound listener, for tests and for inherited sockets.
	Listener net.Listener
	// Peers are the control nodes that form the groups at the first start, this one included.
	Peers []Peer
	// Join starts with an empty folder as a node that waits to be added to the groups.
	Join bool
	// Seeds are addresses of control nodes. A joining node asks there to carry the groups, until it does.
	Seeds []string
	// Voters is the number of voters that every group should have: nodes that ask to carry the groups take the
	// places of lost ones by themselves. 0 leaves all changes to operators.
	Voters int
	// Standby is for a node that votes and keeps the state, but leads only as long as no other voter can: its machine
	// is slower, or lacks what a leader serves beside the groups. Its NodeID must be a standby's (see OpenSeeded).
	Standby bool
	// Zone and Region say where this node stands.
	Zone   string
	Region string
	// DataFolder holds everything that must survive. Required.
	DataFolder string
	// DiskBytes is the size of a small disk that the data folder has for itself. HeadroomBytes and SnapshotBytes
	// default to shares of it. Default: not known.
	DiskBytes uint64
	// MemoryBytes is what the process may use. Default: not known.
	MemoryBytes uint64
	// JobBytes is the size of batch jobs, open and ended, that this node can hold in all ledger groups; the least of all voters'
	// bounds what they take, each an equal part. Default: shares of DiskBytes and MemoryBytes, the smaller one, or the bound of package batch.
	JobBytes uint64
	// HeadroomBytes is the free disk space below which the node takes no new work. Default: an eighth of
	// DiskBytes, or that of package storage.
	HeadroomBytes uint64
	// SnapshotBytes is the size of applied log entries after which a group takes a snapshot and drops them, on
	// disk and in memory. Default: a 32nd of DiskBytes, or that of package consensus.
	SnapshotBytes int
	// LedgerGroups is the number of ledger groups; fixed for the life of a cluster. Default
	// DefaultLedgerGroups: one busy group may not hold up all keys.
	LedgerGroups int
	// LeaseDuration is how long a holder may act on the table after its last renewal. An accepted change
	// is in force everywhere within one and a half times this, also where a holder can't be reached.
	// Default DefaultLeaseDuration, for the bound of 2 s at today's size.
	LeaseDuration time.Duration
	// Retention is how long claims are remembered; all control nodes must have the same. Zero fields take
	// the defaults of package claim.
	Retention claim.Retention
	// Tick is the consensus clock's step; an election needs ten to twenty. Default DefaultTick.
	Tick time.Duration
	// HTTPListen serves the operators' page, metrics and health on IP:port; empty for none.
	HTTPListen string
	// HTTPListener is an already bound listener in place of HTTPListen.
	HTTPListener net.Listener
	// Dial opens connections to the other nodes. Default: plain TCP. Tests cut links with it.
	Dial controlclient.DialFunc
	// Guard checks the tokens of operators and nodes. Nil: everybody who can connect is let in.
	Guard *credentials.Guard
	// Credentials are shown to the other control nodes. Nil: none.
	Credentials *credentials.Client
	// TLS takes connections of nodes and operators with a certificate only. Nil: plain TCP.
	TLS *credentials.TLS
	// Clock judges leases. Default monotonic.Now.
	Clock monotonic.Clock
	// Log receives short sentences. Default: nothing.
	Log *logrus.Entry

	// speaks is the level that greetings tell. Default compat.Newest; tests play an older build with another one.
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

// dialPeer is Dial as the consensus transport calls it; nil stands for that package's own default.
func (c *Config) dialPeer() consensus.DialFunc {
	if c.Dial == nil {
		return nil
	}
	return func(ctx context.Context, peer consensus.Peer) (net.Conn, error) {
		return c.Dial(ctx, "tcp", peer.Address)
	}
}

// dialer is Dial or plain TCP.
func (c *Config) dialer() controlclient.DialFunc {
	if c.Dial != nil {
		return c.Dial
	}
	return (&net.Dialer{}).DialContext
}

// jobBytes is the default of JobBytes.
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

// Package rig contains the environment that several benchmarks share: a control group of real servers in this process
// that use TCP connections and data files. Their network traffic is counted, and their processor time is attributed to
// the role "control".
package rig

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/control"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/rolecost"
)

// RoleControl is the role of package rolecost to which the processor time of the control nodes is attributed.
const RoleControl = "control"

// Options configures a control group.
type Options struct {
	// Nodes is the number of control nodes, all of them voters. Default 3.
	Nodes int
	// Folder is where each node creates its data folder. Required.
	Folder string
	// LedgerGroups is the number of ledger groups. Default control.DefaultLedgerGroups.
	LedgerGroups int
	// Lease is the duration of a table lease. Default control.DefaultLeaseDuration.
	Lease time.Duration
}

// ControlGroup is a running control group. Addresses are those of its nodes, in the form IP:port.
type ControlGroup struct {
	Addresses []string
	servers   []*control.Server
	listeners []*CountingListener
	stop      context.CancelFunc
	running   sync.WaitGroup
}

// StartControlGroup starts a control group. It does not wait for the first election, before which the group serves no
// requests.
func StartControlGroup(options Options) (*ControlGroup, error) {
	if options.Nodes == 0 {
		options.Nodes = 3
	}
	ctx, stop := context.WithCancel(context.Background())
	group := &ControlGroup{stop: stop}
	var peers []control.Peer
	for index := range options.Nodes {
		tcpListener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			group.Close()
			return nil, trace.Wrap(err)
		}
		listener := &CountingListener{Listener: tcpListener}
		group.listeners = append(group.listeners, listener)
		group.Addresses = append(group.Addresses, tcpListener.Addr().String())
		peers = append(peers, control.Peer{ID: uint64(index + 1), Name: fmt.Sprintf("control-%d", index+1), Address: tcpListener.Addr().String()})
	}
	for index, peer := range peers {
		if err := group.startNode(ctx, options, peers, peer, group.listeners[index]); err != nil {
			group.Close()
			return nil, err
		}
	}
	return group, nil
}

func (c *ControlGroup) startNode(ctx context.Context, options Options, peers []control.Peer, peer control.Peer, listener net.Listener) error {
	var server *control.Server
	var err error
	rolecost.Do(ctx, RoleControl, func(context.Context) {
		server, err = control.New(control.Config{Name: peer.Name, NodeID: peer.ID, ClusterID: "bench", Listener: listener,
			Peers: peers, Zone: "bench", DataFolder: filepath.Join(options.Folder, peer.Name), LedgerGroups: options.LedgerGroups,
			LeaseDuration: options.Lease, Log: logging.Discard()})
	})
	if err != nil {
		return trace.Wrap(err)
	}
	c.servers = append(c.servers, server)
	c.running.Go(func() { rolecost.Do(ctx, RoleControl, func(ctx context.Context) { _ = server.Run(ctx) }) })
	return nil
}

// Bytes returns how many bytes connections accepted by the nodes have transferred, in both directions. Traffic between
// two nodes is counted once, at the node that accepted the connection.
func (c *ControlGroup) Bytes() uint64 {
	var total uint64
	for _, listener := range c.listeners {
		total += listener.Bytes()
	}
	return total
}

// NodeBytes returns how many bytes connections accepted by each node have transferred, in the order of Addresses.
func (c *ControlGroup) NodeBytes() []uint64 {
	bytesByNode := make([]uint64, 0, len(c.listeners))
	for _, listener := range c.listeners {
		bytesByNode = append(bytesByNode, listener.Bytes())
	}
	return bytesByNode
}

// Close closes all nodes without any handover and waits until they have stopped.
func (c *ControlGroup) Close() {
	for _, server := range c.servers {
		_ = server.Close()
	}
	c.stop()
	c.running.Wait()
	for _, listener := range c.listeners {
		_ = listener.Close()
	}
}

// WrittenBytes returns how many bytes the nodes have written to their data files. The operating system's own counter is
// not usable for this, because it counts whole groups of cached pages for each page that changes in them.
func (c *ControlGroup) WrittenBytes() uint64 {
	var total uint64
	for _, server := range c.servers {
		total += server.WrittenBytes()
	}
	return total
}

// CountingListener wraps a listener and counts the bytes that its connections transfer in both directions.
type CountingListener struct {
	net.Listener
	bytes atomic.Uint64
}

// Bytes returns how many bytes all connections have transferred so far.
func (l *CountingListener) Bytes() uint64 { return l.bytes.Load() }

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConnection{Conn: connection, bytes: &l.bytes}, nil
}

// countingConnection adds the bytes that it transfers to a counter that connections share.
type countingConnection struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.bytes.Add(uint64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countingConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.bytes.Add(uint64(count))
	return count, err
}

package consensusbench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	nodeCount  = 3
	clusterID  = "bench"
	leaderPoll = time.Millisecond
	leaderWait = 20 * time.Second
)

// node is one member of the local cluster.
type node struct {
	peer     consensus.Peer
	folder   string
	store    *storage.Store
	host     *consensus.Host
	stop     context.CancelFunc
	finished chan struct{}
}

// cluster is a set of nodes in this process that communicate by TCP over the loopback interface.
type cluster struct {
	run       *run
	configure func(*consensus.Config) // modifies the configuration of every node; may be nil
	nodes     []*node
	groups    []uint32
}

// startCluster starts a new cluster whose nodes keep their data under the folder name of the run's folder.
func (r *run) startCluster(name string, configure func(*consensus.Config)) (*cluster, error) {
	c := &cluster{run: r, configure: configure}
	for group := range r.config.LedgerGroups + 1 {
		c.groups = append(c.groups, uint32(group))
	}
	for id := uint64(1); id <= nodeCount; id++ {
		if err := c.addNode(id, name); err != nil {
			return nil, err
		}
	}
	for _, node := range c.nodes {
		if err := c.startNode(node, false); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// addNode adds a node that is not started yet. It chooses a free TCP port for its address.
func (c *cluster) addNode(id uint64, name string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer listener.Close()
	c.nodes = append(c.nodes, &node{
		peer:   consensus.Peer{ID: id, Name: fmt.Sprintf("n%d", id), Address: listener.Addr().String()},
		folder: filepath.Join(c.run.folder, name, fmt.Sprint(id)),
	})
	return nil
}

// startNode opens a node's folder and runs the node in the background. join marks a new member of a running cluster.
func (c *cluster) startNode(n *node, join bool) error {
	var err error
	n.store, err = storage.Open(storage.Options{Folder: n.folder, ClusterID: clusterID, NodeID: n.peer.ID, NodeName: n.peer.Name})
	if err != nil {
		return err
	}
	config := consensus.Config{NodeID: n.peer.ID, ClusterID: clusterID, Name: n.peer.Name, Address: n.peer.Address, Join: join,
		Groups: c.groups, Store: n.store, Log: c.run.config.Log,
		NewStateMachine: func(uint32) consensus.StateMachine { return state.New() }}
	for _, other := range c.nodes {
		config.Peers = append(config.Peers, other.peer)
	}
	if c.configure != nil {
		c.configure(&config)
	}
	n.host, err = consensus.New(config)
	if err != nil {
		n.store.Close()
		return err
	}
	return n.serve()
}

// serve serves the node's raft connections and runs its host until kill is called.
func (n *node) serve() error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterRaft(mux, n.host); err != nil {
		return trace.Wrap(err)
	}
	listener, err := net.Listen("tcp", n.peer.Address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.finished = make(chan struct{})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	go func() {
		defer close(n.finished)
		_ = n.host.Run(ctx)
		n.stop()
		<-served
	}()
	return nil
}

// kill stops a node without a handover of leadership, waits until it has stopped and closes its store.
func (n *node) kill() {
	if n.host == nil {
		return
	}
	n.stop()
	<-n.finished
	_ = n.store.Close()
	n.host = nil
}

func (c *cluster) close() {
	for _, node := range c.nodes {
		node.kill()
	}
}

// waitForLeader waits until a running node confirms that it leads the group, and returns that node.
func (c *cluster) waitForLeader(ctx context.Context, group uint32) (*node, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for ctx.Err() == nil {
		for _, node := range c.nodes {
			if node.host != nil && node.host.Read(ctx, group) == nil {
				return node, nil
			}
		}
		time.Sleep(leaderPoll)
	}
	return nil, trace.LimitExceeded("group %d has no leader", group)
}

// spreadLeaders distributes the leaders of the groups evenly over the nodes, as a running deployment does.
func (c *cluster) spreadLeaders(ctx context.Context) error {
	for _, group := range c.groups {
		wantLeader := c.nodes[int(group)%nodeCount]
		for {
			leader, err := c.waitForLeader(ctx, group)
			if err != nil {
				return err
			}
			if leader == wantLeader {
				break
			}
			err = leader.host.TransferLeadership(ctx, group, wantLeader.peer.ID)
			var notLeader *consensus.ErrNotLeader
			if err != nil && !errors.As(err, &notLeader) {
				return err
			}
			time.Sleep(10 * leaderPoll)
		}
	}
	return nil
}

// waitApplied waits until the node has applied a group's log up to index.
func (n *node) waitApplied(ctx context.Context, group uint32, index uint64) error {
	for {
		status, err := n.host.Status(ctx, group)
		if err != nil {
			return err
		}
		if status.Applied >= index {
			return nil
		}
		time.Sleep(leaderPoll / 4)
	}
}

// waitCompacted waits until the node has removed the beginning of the group's log, so that a new member needs a
// snapshot. Nodes compact in the background.
func (n *node) waitCompacted(ctx context.Context, group uint32) error {
	for {
		status, err := n.host.Status(ctx, group)
		if err != nil {
			return err
		}
		if status.FirstIndex > 1 {
			return nil
		}
		time.Sleep(leaderPoll / 4)
	}
}

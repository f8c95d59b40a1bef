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

// cluster is a few nodes in this process over TCP on the loopback interface.
type cluster struct {
	run    *run
	change func(*consensus.Config)
	nodes  []*node
	groups []uint32
}

// startCluster starts a new cluster whose folders lie under name.
func (r *run) startCluster(name string, change func(*consensus.Config)) (*cluster, error) {
	c := &cluster{run: r, change: change}
	for group := range r.config.LedgerGroups + 1 {
		c.groups = append(c.groups, uint32(group))
	}
	for id := uint64(1); id <= nodeCount; id++ {
		if err := c.add(id, name); err != nil {
			return nil, err
		}
	}
	for _, node := range c.nodes {
		if err := c.start(node, false); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// add reserves an address for a node.
func (c *cluster) add(id uint64, name string) error {
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

// start opens a node's folder and runs it.
func (c *cluster) start(n *node, join bool) error {
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
	if c.change != nil {
		c.change(&config)
	}
	n.host, err = consensus.New(config)
	if err != nil {
		n.store.Close()
		return err
	}
	return n.serve()
}

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

// kill stops a node abruptly and releases its folder.
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

// leader waits until a running node confirms that it leads the group.
func (c *cluster) leader(ctx context.Context, group uint32) (*node, error) {
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

// spreadLeaders hands each ledger group to another node, as a placement of a running fleet would.
func (c *cluster) spreadLeaders(ctx context.Context) error {
	for _, group := range c.groups {
		want := c.nodes[int(group)%nodeCount]
		for {
			leader, err := c.leader(ctx, group)
			if err != nil {
				return err
			}
			if leader == want {
				break
			}
			err = leader.host.TransferLeadership(ctx, group, want.peer.ID)
			var notLeader *consensus.ErrNotLeader
			if err != nil && !errors.As(err, &notLeader) {
				return err
			}
			time.Sleep(10 * leaderPoll)
		}
	}
	return nil
}

// applied waits until a node has applied a group's log up to an index.
func (n *node) applied(ctx context.Context, group uint32, index uint64) error {
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

// compacted waits until the node has dropped the beginning of the log, which it does beside its other work:
// from then on a new member needs the snapshot.
func (n *node) compacted(ctx context.Context, group uint32) error {
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

package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout limits waits in tests. No assertion depends on how much of it is used.
const waitTimeout = 20 * time.Second

// journal is a state machine that lists the request IDs of the commands that it has applied.
type journal struct{ applied []string }

func (j *journal) CheckReadable(*wire.Command) error { return nil }

func (j *journal) Apply(index uint64, command *wire.Command) *wire.Result {
	j.applied = append(j.applied, command.RequestId)
	return &wire.Result{Kind: &wire.Result_Fence{Fence: &wire.FenceResult{Token: index, Owner: command.RequestId}}}
}

func (j *journal) Prepare(*wire.Query) (*wire.View, func() (*wire.View, error)) {
	text, err := json.Marshal(j.applied)
	if err != nil {
		return nil, nil
	}
	return &wire.View{Kind: &wire.View_Trainer{Trainer: &wire.TrainerView{Trainer: string(text)}}}, nil
}

func (j *journal) Capture() func() (statepart.Parts, error) {
	applied := slices.Clone(j.applied)
	return func() (statepart.Parts, error) {
		data, err := json.Marshal(applied)
		return statepart.NewParts(data), err
	}
}

func (j *journal) RestoreParts(parts statepart.Parts) error {
	data, err := parts.Join()
	if err != nil {
		return err
	}
	return json.Unmarshal(data, &j.applied)
}

// decodeList returns the request IDs in a view of a journal.
func decodeList(t *testing.T, view *wire.View) []string {
	t.Helper()
	var applied []string
	if err := json.Unmarshal([]byte(view.GetTrainer().GetTrainer()), &applied); err != nil {
		t.Fatal(err)
	}
	return applied
}

// network dials connections between nodes and can cut the links between them.
type network struct {
	mutex sync.Mutex
	cut   map[[2]uint64]bool
	open  map[[2]uint64][]net.Conn
}

func (n *network) dialer(from uint64) DialFunc {
	return func(ctx context.Context, peer Peer) (net.Conn, error) {
		link := [2]uint64{from, peer.ID}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.cut[link] {
			return nil, errors.New("the link is cut")
		}
		connection, err := dialTCP(ctx, peer)
		if err == nil {
			n.open[link] = append(n.open[link], connection)
		}
		return connection, err
	}
}

// isolate cuts or restores the links between a node and others.
func (n *network) isolate(node uint64, cut bool, others ...uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, other := range others {
		for _, link := range [][2]uint64{{node, other}, {other, node}} {
			n.cut[link] = cut
			for _, connection := range n.open[link] {
				connection.Close()
			}
			delete(n.open, link)
		}
	}
}

// testNode is one node of a testCluster. It can be stopped and started again with the same data folder and address.
type testNode struct {
	cluster  *testCluster
	id       uint64
	folder   string
	address  string
	reserved net.Listener // holds the address until the first start
	join     bool
	change   func(*Config)
	hooks    storage.Hooks // injected disk faults
	store    *storage.Store
	host     *Host
	stop     context.CancelFunc
	finished chan error
}

type testCluster struct {
	t       *testing.T
	network *network
	peers   []Peer
	nodes   map[uint64]*testNode
	groups  []uint32
}

func newCluster(t *testing.T, size int, change func(*Config)) *testCluster {
	t.Helper()
	c := &testCluster{t: t, groups: []uint32{0, 1}, nodes: map[uint64]*testNode{},
		network: &network{cut: map[[2]uint64]bool{}, open: map[[2]uint64][]net.Conn{}}}
	for id := uint64(1); id <= uint64(size); id++ {
		c.add(id, change)
	}
	for _, peer := range c.peers {
		c.nodes[peer.ID].start()
	}
	return c
}

// add prepares a node with a reserved address. The caller starts it.
func (c *testCluster) add(id uint64, change func(*Config)) *testNode {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	node := &testNode{cluster: c, id: id, folder: filepath.Join(c.t.TempDir(), fmt.Sprint(id)),
		address: listener.Addr().String(), change: change, reserved: listener}
	c.t.Cleanup(func() { listener.Close() })
	c.peers = append(c.peers, Peer{ID: id, Name: fmt.Sprintf("n%d", id), Address: node.address})
	c.nodes[id] = node
	c.t.Cleanup(node.kill)
	return node
}

func (n *testNode) start() {
	t := n.cluster.t
	t.Helper()
	var err error
	name := fmt.Sprintf("n%d", n.id)
	n.store, err = storage.Open(storage.Options{Folder: n.folder, ClusterID: "test", NodeID: n.id, NodeName: name, Hooks: n.hooks})
	if err != nil {
		t.Fatal(err)
	}
	config := Config{NodeID: n.id, ClusterID: "test", Name: name, Address: n.address, Peers: n.cluster.peers,
		Join: n.join, Groups: n.cluster.groups, Store: n.store, Tick: 20 * time.Millisecond,
		NewStateMachine: func(uint32) StateMachine { return &journal{} }, Dial: n.cluster.network.dialer(n.id)}
	if n.change != nil {
		n.change(&config)
	}
	n.host, err = New(config)
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterRaft(mux, n.host); err != nil {
		t.Fatal(err)
	}
	listener := n.reserved
	if n.reserved = nil; listener == nil {
		if listener, err = net.Listen("tcp", n.address); err != nil {
			t.Fatal(err)
		}
	}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.finished = make(chan error, 1)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	go func() {
		err := n.host.Run(ctx)
		n.stop()
		<-served
		n.finished <- err
	}()
}

// kill stops a node abruptly and logs the error that Run returned.
func (n *testNode) kill() {
	if n.host == nil {
		return
	}
	n.stop()
	if err := <-n.finished; err != nil {
		n.cluster.t.Logf("node %d ended with %v", n.id, err)
	}
	n.close()
}

func (n *testNode) close() {
	if err := n.store.Close(); err != nil {
		n.cluster.t.Error(err)
	}
	n.host = nil
}

// running lists the nodes that are running.
func (c *testCluster) running() []*testNode {
	var nodes []*testNode
	for _, peer := range c.peers {
		if node := c.nodes[peer.ID]; node.host != nil {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// leader waits until a running node leads the group and has confirmed this by a read.
func (c *testCluster) leader(group uint32) *testNode {
	c.t.Helper()
	return c.waitForLeaderAmong(group, c.running()...)
}

func (c *testCluster) waitForLeaderAmong(group uint32, nodes ...*testNode) *testNode {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		for _, node := range nodes {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			err := node.host.Read(ctx, group)
			cancel()
			if err == nil {
				return node
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("group %d has no leader", group)
	return nil
}

// newCommand returns a command whose request ID is name.
func newCommand(name string) *wire.Command {
	return &wire.Command{RequestId: name,
		Kind: &wire.Command_FenceAcquire{FenceAcquire: &wire.FenceAcquire{Resource: name}}}
}

// commit proposes a command to the current leader until it is committed, and returns how often it proposed it. The command
// may be applied as often.
func (c *testCluster) commit(group uint32, name string) (proposals int) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		proposals++
		node := c.leader(group)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		result, _, err := node.host.Propose(ctx, group, newCommand(name))
		cancel()
		if err == nil {
			if result.GetFence().GetOwner() != name {
				c.t.Fatalf("the command %s returned the result %v, want the owner to be its name", name, result)
			}
			return proposals
		}
	}
	c.t.Fatalf("%s was not committed", name)
	return 0
}

// wait polls until the condition holds and fails the test after waitTimeout.
func (c *testCluster) wait(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// appliedLocally returns the request IDs of the commands that a node has applied.
func (n *testNode) appliedLocally(group uint32) []string {
	n.cluster.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	view, err := n.host.LocalQuery(ctx, group, &wire.Query{})
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return decodeList(n.cluster.t, view)
}

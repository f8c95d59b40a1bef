package control

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster is a cluster of three control nodes in one process, connected over TCP and with data folders on disk.
type cluster struct {
	t         *testing.T
	folder    string
	peers     []Peer
	servers   []*Server // nil while a node is down
	runs      []chan error
	configure func(*Config) // modifies the settings of each node; may be nil
	// wrap returns a wrapper of a node's groups. Optional.
	wrap func(position int, replicas Replicas) Replicas
}

// clusterNodes is the number of nodes of a cluster.
const clusterNodes = 3

func startCluster(t *testing.T) *cluster {
	t.Helper()
	return startConfiguredCluster(t, nil)
}

func startConfiguredCluster(t *testing.T, configure func(*Config)) *cluster {
	t.Helper()
	return startClusterOf(t, &cluster{configure: configure})
}

// startWrappedCluster starts a cluster whose nodes use a wrapper of their groups.
func startWrappedCluster(t *testing.T, wrap func(position int, replicas Replicas) Replicas) *cluster {
	t.Helper()
	return startClusterOf(t, &cluster{wrap: wrap})
}

func startClusterOf(t *testing.T, c *cluster) *cluster {
	t.Helper()
	c.t, c.folder, c.servers, c.runs = t, t.TempDir(), make([]*Server, clusterNodes), make([]chan error, clusterNodes)
	listeners := make([]net.Listener, clusterNodes)
	for position := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[position] = listener
		c.peers = append(c.peers, Peer{ID: uint64(position + 1), Name: fmt.Sprint("control-", position+1), Address: listener.Addr().String()})
	}
	for position, listener := range listeners {
		c.start(position, listener)
	}
	t.Cleanup(func() {
		for position := range c.servers {
			c.kill(position)
		}
	})
	return c
}

// start runs a node. Without a listener the node binds its previous address.
func (c *cluster) start(position int, listener net.Listener) {
	c.t.Helper()
	c.open(position, listener, func() {})
}

// startWith restarts a node and calls prepare immediately before it runs.
func (c *cluster) startWith(position int, prepare func()) {
	c.t.Helper()
	c.open(position, nil, prepare)
}

func (c *cluster) open(position int, listener net.Listener, prepare func()) {
	c.t.Helper()
	peer := c.peers[position]
	config := Config{
		Name: peer.Name, NodeID: peer.ID, ClusterID: "test", Listen: peer.Address, Listener: listener,
		Peers: c.peers, DataFolder: filepath.Join(c.folder, peer.Name), Tick: 20 * time.Millisecond,
	}
	if c.configure != nil {
		c.configure(&config)
	}
	server, err := New(config)
	if err != nil {
		c.t.Fatal(err)
	}
	if c.wrap != nil {
		server.replicas = c.wrap(position, server.replicas)
	}
	prepare()
	run := make(chan error, 1)
	go func() { run <- server.Run(context.Background()) }()
	c.servers[position], c.runs[position] = server, run
}

// kill closes a node abruptly and waits until it has stopped.
func (c *cluster) kill(position int) {
	c.t.Helper()
	if c.servers[position] == nil {
		return
	}
	if err := c.servers[position].Close(); err != nil {
		c.t.Error(err)
	}
	if err := <-c.runs[position]; err != nil {
		c.t.Error(err)
	}
	c.servers[position] = nil
}

func (c *cluster) addresses() []string {
	var addresses []string
	for _, peer := range c.peers {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// client returns a client that knows all nodes unless config names other addresses.
func (c *cluster) client(config controlclient.Config) *controlclient.Client {
	c.t.Helper()
	if config.Addresses == nil {
		config.Addresses = c.addresses()
	}
	client, err := controlclient.New(config)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = client.Close() })
	return client
}

// session starts a session of a gateway member.
func (c *cluster) session(name string, dial controlclient.DialFunc) *controlclient.Session {
	c.t.Helper()
	client := c.client(controlclient.Config{Member: gatewayMember(name), Dial: dial})
	session, err := client.StartSession(testContext(c.t))
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(session.Close)
	return session
}

func gatewayMember(name string) *wire.Member {
	return &wire.Member{Name: name, Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Address: "127.0.0.1:1"}
}

// leader waits until one node leads the control group and returns its position.
func (c *cluster) leader() int {
	c.t.Helper()
	position := -1
	eventually(c.t, "a leader", func() bool {
		for candidate, server := range c.servers {
			if server != nil && server.leadsControlGroup() {
				position = candidate
				return true
			}
		}
		return false
	})
	return position
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// eventually waits for a condition. The time limit only ends tests that would otherwise never end.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", what)
}

// poolChange returns a change of version base that creates a pool with a weight.
func poolChange(id string, base uint64, weight string) *wire.TableChange {
	return &wire.TableChange{
		ChangeId: id, BaseVersion: base, Operator: "operator-" + id,
		Cells: []*wire.CellChange{
			{Row: "copy", Column: "kind", Value: "pool"},
			{Row: "copy", Column: "weight", Value: weight},
		},
	}
}

func weightChange(id string, base uint64, weight string) *wire.TableChange {
	return &wire.TableChange{
		ChangeId: id, BaseVersion: base, Operator: "operator-" + id,
		Cells: []*wire.CellChange{{Row: "copy", Column: "weight", Value: weight}},
	}
}

func mustAccept(t *testing.T, client *controlclient.Client, change *wire.TableChange, wait bool) (version, inForce uint64) {
	t.Helper()
	result, inForce, err := client.ChangeTable(testContext(t), change, wait)
	if err != nil {
		t.Fatal(err)
	}
	if result.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatalf("change %s was not accepted, got %v", change.ChangeId, result)
	}
	return result.Version, inForce
}

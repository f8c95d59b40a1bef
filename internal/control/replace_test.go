package control

import (
	"context"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
)

// startJoining runs a node with an empty folder that waits to be added.
func (c *cluster) startJoining(id uint64, name string) *Server {
	c.t.Helper()
	server, err := New(Config{
		Name: name, NodeID: id, ClusterID: "test", Listen: "127.0.0.1:0", Peers: c.peers, Join: true,
		DataFolder: filepath.Join(c.folder, name), Tick: 20 * time.Millisecond,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	run := make(chan error, 1)
	go func() { run <- server.Run(context.Background()) }()
	c.peers = append(c.peers, Peer{ID: id, Name: name, Address: server.Address()})
	c.servers, c.runs = append(c.servers, server), append(c.runs, run)
	return server
}

// TestLeaderIsReplaced replaces the leader by a new node, repeating the commands, then kills another node. The two
// remaining voters must accept changes.
func TestLeaderIsReplaced(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), false)
	old := c.leader()
	c.startJoining(4, "control-4")
	for range 2 { // the commands can be repeated
		if err := operator.AddNode(testContext(t), client, 4); err != nil {
			t.Fatal(err)
		}
		if err := operator.RemoveNode(testContext(t), client, c.peers[old].ID); err != nil {
			t.Fatal(err)
		}
	}
	c.kill(old)
	for _, server := range c.servers {
		if server == nil {
			continue
		}
		for group := range uint32(DefaultLedgerGroups + 1) {
			status, err := server.replicas.Status(testContext(t), group)
			if err != nil {
				t.Fatal(err)
			}
			if voters := status.Configuration.Voters; len(voters) != 3 || slices.Contains(voters, c.peers[old].ID) {
				t.Errorf("node %s: voters of group %d are %v, want 3 without the removed node", server.config.Name, group, voters)
			}
		}
	}
	c.kill(c.leader()) // leaves two of three voters
	if version, _ := mustAccept(t, client, weightChange("after", base, "2"), false); version != base+1 {
		t.Fatalf("got version %d after the losses, want %d", version, base+1)
	}
	eventually(t, "the status to show the change after the losses", func() bool { // a node's own view may be outdated
		status := operator.ReadStatus(testContext(t), client)
		return status.MembersError == "" && status.TableVersion == base+1
	})
}

// TestSessionSurvivesReplacementOfAllItsNodes replaces all nodes that a session's settings name, then kills the only
// node that its redirects have named. The session must still find the group, through the node list in its grants.
func TestSessionSurvivesReplacementOfAllItsNodes(t *testing.T) {
	c := startCluster(t)
	lasting := c.client(controlclient.Config{Member: gatewayMember("gateway-1")})
	session, err := lasting.StartSession(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	for old := range 3 {
		fresh := uint64(old + 4)
		c.startJoining(fresh, "control-"+strconv.Itoa(old+4))
		client := c.client(controlclient.Config{})
		if err := operator.AddNode(testContext(t), client, fresh); err != nil {
			t.Fatal(err)
		}
		if err := operator.RemoveNode(testContext(t), client, c.peers[old].ID); err != nil {
			t.Fatal(err)
		}
		c.kill(old)
	}
	time.Sleep(2 * nodeListMaxAge)
	c.kill(c.leader())
	mustAccept(t, lasting, poolChange("after", 0, "1"), false)
}

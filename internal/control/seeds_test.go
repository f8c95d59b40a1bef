package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/monotonic"
)

// seededCluster is a cluster whose nodes find each other by a list of addresses.
type seededCluster struct {
	*cluster
	seeds    []string
	losses   int   // number of simultaneous losses that the groups tolerate
	standbys []int // positions of the standbys
	// dial returns the dial function of the node at a position. Optional.
	dial func(position int) controlclient.DialFunc
	log  *logrus.Entry // of all nodes; optional
	// clock is the clock of all nodes. Optional.
	clock monotonic.Clock
}

// startSeeded founds a cluster of three nodes, which start one after the other.
func startSeeded(t *testing.T) *seededCluster {
	t.Helper()
	return startSeededWith(t, &seededCluster{})
}

func startSeededWith(t *testing.T, c *seededCluster) *seededCluster {
	t.Helper()
	c.cluster = &cluster{t: t, folder: t.TempDir()}
	listeners := make([]net.Listener, 3)
	for position := range listeners {
		listeners[position] = listen(t, "127.0.0.1:0")
		c.seeds = append(c.seeds, listeners[position].Addr().String())
	}
	t.Cleanup(func() {
		for position := range c.servers {
			c.kill(position)
		}
	})
	for position, listener := range listeners {
		c.open(position, listener, true)
	}
	return c
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// open runs the node at a position, which may be new, with its existing folder.
func (c *seededCluster) open(position int, listener net.Listener, found bool) {
	c.t.Helper()
	seeds := slices.Clone(c.seeds)
	slices.Reverse(seeds[:position%len(seeds)+1]) // the order must not matter
	server, err := OpenSeeded(SeedConfig{Seeds: seeds, Found: found, Losses: c.losses, Config: Config{
		Name: fmt.Sprint("position-", position), ClusterID: "test", Listen: listener.Addr().String(), Listener: listener,
		DataFolder: c.folderOf(position), LedgerGroups: 1, Tick: 20 * time.Millisecond, Standby: slices.Contains(c.standbys, position), Dial: c.dialOf(position), Log: c.log, Clock: c.clock,
	}})
	if err != nil {
		c.t.Fatal(err)
	}
	run := make(chan error, 1)
	go func() { run <- server.Run(context.Background()) }()
	for len(c.servers) <= position {
		c.servers, c.runs = append(c.servers, nil), append(c.runs, nil)
	}
	c.servers[position], c.runs[position] = server, run
}

// dialOf returns a node's dial function, or nil for plain TCP.
func (c *seededCluster) dialOf(position int) controlclient.DialFunc {
	if c.dial == nil {
		return nil
	}
	return c.dial(position)
}

func (c *seededCluster) folderOf(position int) string {
	return filepath.Join(c.folder, fmt.Sprint(position))
}

// wipe kills a node and deletes its folder.
func (c *seededCluster) wipe(position int) {
	c.t.Helper()
	c.kill(position)
	if err := os.RemoveAll(c.folderOf(position)); err != nil {
		c.t.Fatal(err)
	}
}

// awaitVoters waits until the voters of all groups are exactly the nodes at the positions.
func (c *seededCluster) awaitVoters(positions ...int) {
	c.t.Helper()
	var want []uint64
	for _, position := range positions {
		want = append(want, c.servers[position].config.NodeID)
	}
	slices.Sort(want)
	eventually(c.t, fmt.Sprintf("the voters %v", want), func() bool {
		for _, position := range positions {
			for group := range uint32(2) {
				status, err := c.servers[position].replicas.Status(testContext(c.t), group)
				if err != nil || status.Leader == 0 || !slices.Equal(status.Configuration.Voters, want) {
					return false
				}
			}
		}
		return true
	})
}

// seededClient returns a client that knows only the seeds.
func (c *seededCluster) seededClient() *controlclient.Client {
	return c.client(controlclient.Config{Addresses: c.seeds, LedgerGroups: 1})
}

// TestSeedsFoundAndRestartFromTheirFolders restarts the founders with a changed list of seeds. They must keep the
// identities in their folders.
func TestSeedsFoundAndRestartFromTheirFolders(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	base, _ := mustAccept(t, c.seededClient(), poolChange("base", 0, "1"), false)
	addresses := slices.Clone(c.seeds)
	c.seeds = []string{addresses[1], addresses[0], "127.0.0.1:1"} // a changed list
	for position := range 3 {
		c.kill(position)
		c.open(position, listen(t, addresses[position]), false)
	}
	c.awaitVoters(0, 1, 2)
	if version, _ := mustAccept(t, c.seededClient(), weightChange("after", base, "2"), false); version != base+1 {
		t.Fatalf("version %d, want %d", version, base+1)
	}
}

// TestWipedNodeIsReplacedAtTheSameAddress wipes the leader and restarts it at its address, then kills another node. The
// wiped node must come back as a new node and replace the lost one as a voter.
func TestWipedNodeIsReplacedAtTheSameAddress(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	client := c.seededClient()
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), false)
	wiped := c.leader()
	before := c.servers[wiped].config.NodeID
	c.wipe(wiped)
	c.open(wiped, listen(t, c.seeds[wiped]), false)
	if after := c.servers[wiped].config.NodeID; after == before || after < joinedIdentity {
		t.Fatalf("the wiped node %d came back as node %d, want the new identity of a joined node", before, after)
	}
	c.awaitVoters(0, 1, 2)
	c.kill((wiped + 1) % 3)
	if version, _ := mustAccept(t, client, weightChange("after", base, "2"), false); version != base+1 {
		t.Fatalf("version %d, want %d", version, base+1)
	}
}

// TestEmptyNodesElsewhereReplaceAllFounders replaces the founders one after the other by empty nodes at other
// addresses, each as soon as the previous replacement votes. No change may be lost.
func TestEmptyNodesElsewhereReplaceAllFounders(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	client := c.seededClient()
	version, _ := mustAccept(t, client, poolChange("base", 0, "1"), false)
	place := []int{0, 1, 2}
	for lost := range 3 {
		c.wipe(lost)
		place[lost] = lost + 3
		fresh := listen(t, "127.0.0.1:0")
		c.open(lost+3, fresh, true) // with Found set, as on the first start of a cluster
		c.awaitVoters(place...)
		next, _ := mustAccept(t, c.client(controlclient.Config{Addresses: []string{fresh.Addr().String()}, LedgerGroups: 1}),
			weightChange(fmt.Sprint("after-", lost), version, fmt.Sprint(lost+2)), false)
		if next != version+1 {
			t.Fatalf("version %d after loss %d, want %d", next, lost, version+1)
		}
		version = next
		c.seeds[lost] = fresh.Addr().String()
	}
}

// TestReplacedNodeTakesAnotherPlace lets an empty node replace one that is only temporarily down. That node must wait
// after its return with its disk, and replace another node that is lost for good.
func TestReplacedNodeTakesAnotherPlace(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	base, _ := mustAccept(t, c.seededClient(), poolChange("base", 0, "1"), false)
	c.kill(1)
	c.open(3, listen(t, "127.0.0.1:0"), false)
	c.awaitVoters(0, 2, 3)
	c.open(1, listen(t, c.seeds[1]), false)
	c.wipe(2)
	c.awaitVoters(0, 1, 3)
	if version, _ := mustAccept(t, c.seededClient(), weightChange("after", base, "2"), false); version != base+1 {
		t.Fatalf("version %d, want %d", version, base+1)
	}
}

// TestDrainedNodeIsReplacedByWaitingNode starts a fourth node, which waits, and drains the leader. The fourth node must
// replace it as a voter.
func TestDrainedNodeIsReplacedByWaitingNode(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	c.open(3, listen(t, "127.0.0.1:0"), false)
	eventually(t, "the empty node's request to join", func() bool {
		for _, server := range c.servers[:3] {
			if len(server.voters.recentCandidates(server.config.Clock())) == 0 {
				return false
			}
		}
		return true
	})
	leader := c.leader()
	if err := c.servers[leader].Drain(testContext(t)); err != nil {
		t.Fatal(err)
	}
	c.kill(leader)
	left := slices.DeleteFunc([]int{0, 1, 2, 3}, func(position int) bool { return position == leader })
	c.awaitVoters(left...)
}

// TestWipedNodesFormNoNewGroup guards against a second cluster: wiped nodes that find no member must not found a group.
func TestWipedNodesFormNoNewGroup(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	mustAccept(t, c.seededClient(), poolChange("base", 0, "1"), false)
	for position := range 3 {
		c.kill(position)
	}
	for _, position := range []int{1, 2} {
		c.wipe(position)
		c.open(position, listen(t, c.seeds[position]), false)
	}
	time.Sleep(50 * c.servers[1].config.Tick)
	for _, position := range []int{1, 2} {
		status, err := c.servers[position].replicas.Status(testContext(t), controlGroup)
		if err != nil {
			t.Fatal(err)
		}
		if len(status.Configuration.Voters) != 0 || status.Leader != 0 {
			t.Errorf("node %d has the voters %v and the leader %d, want none", status.ID, status.Configuration.Voters, status.Leader)
		}
	}
}

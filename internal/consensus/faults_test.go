package consensus

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
)

func TestPartitionedLeaderGivesWay(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit(0, "before")
	old := c.leader(0)
	var others []*testNode
	for _, node := range c.running() {
		if node != old {
			others = append(others, node)
			c.network.isolate(old.id, true, node.id)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, _, err := old.host.Propose(ctx, 0, named("cut off")); err == nil {
		t.Fatal("a leader without a quorum committed")
	}
	leader := c.leaderAmong(0, others...)
	if _, _, err := leader.host.Propose(ctx, 0, named("meanwhile")); err != nil {
		t.Fatal(err)
	}
	if err := old.host.Read(ctx, 0); err == nil {
		t.Fatal("a deposed leader confirmed a read")
	}
	for _, node := range others {
		c.network.isolate(old.id, false, node.id)
	}
	c.wait("the old leader follows", func() bool { return slices.Contains(old.localList(0), "meanwhile") })
	if slices.Contains(old.localList(0), "cut off") {
		t.Fatal("a command that no quorum held was applied")
	}
}

func TestSnapshotCatchUp(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) { config.SnapshotEntries = 50 })
	c.commit(0, "first")
	var lagging *testNode
	leader := c.leader(0)
	for _, node := range c.running() {
		if node != leader {
			lagging = node
		}
	}
	lagging.kill()
	const changes = 1300 // more than raft retains behind a snapshot
	for i := range changes {
		c.commit(0, fmt.Sprint(i))
	}
	lagging.start()
	c.wait("the node that was away has everything", func() bool {
		return slices.Contains(lagging.localList(0), fmt.Sprint(changes-1))
	})
	if got, want := lagging.localList(0), c.leader(0).localList(0); !slices.Equal(got, want) {
		t.Fatalf("%d commands on the node that was away, %d on the leader", len(got), len(want))
	}
	if restored, err := lagging.store.Load(0); err != nil || restored.Snapshot.Index == 0 {
		t.Fatalf("no snapshot was stored: %v", err)
	}
}

// runError waits for a node to stop by itself.
func (n *testNode) runError() error {
	n.cluster.t.Helper()
	select {
	case err := <-n.finished:
		n.close()
		return err
	case <-time.After(patience):
		n.cluster.t.Fatal("the node went on")
		return nil
	}
}

func TestLostDiskIsRefused(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit(0, "kept")
	node := c.nodes[2]
	node.kill()
	if err := os.RemoveAll(node.folder); err != nil {
		t.Fatal(err)
	}
	node.start()
	var refused *ErrRefused
	if err := node.runError(); !errors.As(err, &refused) {
		t.Fatalf("a node without its disk ended with %v", err)
	}
	c.commit(0, "goes on")
}

// TestLostDiskBeforeOthersAgree has node 1, which knows the lost folder, down: the node that lost its disk
// and one that never took part must not found the cluster a second time.
func TestLostDiskBeforeOthersAgree(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit(0, "kept")
	c.nodes[1].kill()
	node := c.nodes[2]
	node.kill()
	if err := os.RemoveAll(node.folder); err != nil {
		t.Fatal(err)
	}
	c.nodes[3].kill()
	if err := os.RemoveAll(c.nodes[3].folder); err != nil {
		t.Fatal(err)
	}
	node.start()
	c.nodes[3].start()
	c.wait("the two have met", func() bool { return node.host.book.knownFolder(3) != 0 && c.nodes[3].host.book.knownFolder(2) != 0 })
	if node.host.book.takesPart() || c.nodes[3].host.book.takesPart() {
		t.Fatal("two empty nodes found the cluster without the third")
	}
	c.nodes[1].start()
	var refused *ErrRefused
	if err := node.runError(); !errors.As(err, &refused) {
		t.Fatalf("ended with %v", err)
	}
}

func TestOlderFolderIsRefused(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit(0, "old")
	node := c.nodes[3]
	node.kill()
	copied := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(copied, os.DirFS(node.folder)); err != nil {
		t.Fatal(err)
	}
	node.start()
	c.commit(0, "new")
	c.wait("the others know the later start", func() bool {
		return c.nodes[1].startsKnown(3) == 2 && c.nodes[2].startsKnown(3) == 2
	})
	node.kill()
	node.folder = copied
	node.start() // its second start, as the real folder had
	var refused *ErrRefused
	if err := node.runError(); !errors.As(err, &refused) {
		t.Fatalf("a node with an older folder ended with %v", err)
	}
}

func (n *testNode) startsKnown(node uint64) uint64 {
	n.host.book.mutex.Lock()
	defer n.host.book.mutex.Unlock()
	return n.host.book.records[node].Starts
}

// TestReplaceThenLoseAnother replaces a lost machine by a learner under a new ID and then loses a second.
func TestReplaceThenLoseAnother(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) { config.SnapshotEntries = 20 })
	for i := range 100 {
		c.commit(0, fmt.Sprint(i))
	}
	c.nodes[3].kill()
	fresh := c.add(4, c.nodes[1].change)
	fresh.join = true
	fresh.start()
	for _, group := range c.groups {
		c.manage("add the learner", group, func(ctx context.Context, leader *Host) error { return leader.AddLearner(ctx, group, 4) },
			raft.ErrAlreadyMember)
		c.manage("promote it", group, func(ctx context.Context, leader *Host) error { return leader.Promote(ctx, group, 4) },
			raft.ErrAlreadyMember)
		c.manage("remove the lost node", group, func(ctx context.Context, leader *Host) error { return leader.Remove(ctx, group, 3) },
			raft.ErrNotMember)
	}
	c.nodes[1].kill()
	c.commit(0, "after the second loss")
	if got := c.leader(0).localList(0); !slices.Contains(got, "0") || !slices.Contains(got, "99") {
		t.Fatalf("commands are lost: %v", got)
	}
	c.nodes[1].start()
	c.wait("the second comes back", func() bool { return slices.Contains(c.nodes[1].localList(0), "after the second loss") })
}

// manage repeats a membership operation until it worked or has worked before.
func (c *testCluster) manage(what string, group uint32, operate func(context.Context, *Host) error, done error) {
	c.t.Helper()
	var last error
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		leader := c.leader(group)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		last = operate(ctx, leader.host)
		cancel()
		if last == nil || errors.Is(last, done) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("could not %s: %v", what, last)
}

func TestTransferLeadership(t *testing.T) {
	c := newCluster(t, 3, nil)
	leader := c.leader(0)
	target := leader.id%3 + 1
	c.wait("leadership moves", func() bool {
		node := c.leader(0)
		if node.id == target {
			return true
		}
		_ = node.host.TransferLeadership(context.Background(), 0, target)
		return false
	})
	c.commit(0, "under the new leader")
}

// TestDialOfANodeThatStartsLater: no first attempt of a node to connect to one with a higher number ever ends by
// itself, as when that one's machine had no power yet. They elect a leader all the same, once they hear each other.
func TestDialOfANodeThatStartsLater(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) {
		dial, hung := config.Dial, map[uint64]bool{}
		var mutex sync.Mutex
		config.Dial = func(ctx context.Context, peer Peer) (net.Conn, error) {
			mutex.Lock()
			hangs := peer.ID > config.NodeID && !hung[peer.ID]
			hung[peer.ID] = true
			mutex.Unlock()
			if hangs {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return dial(ctx, peer)
		}
	})
	c.commit(0, "first")
	c.commit(1, "first")
}

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

// TestPartitionedLeaderIsReplaced guards against a leader that commits commands or confirms reads without a quorum, and
// against its uncommitted command being applied after the partition ends.
func TestPartitionedLeaderIsReplaced(t *testing.T) {
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
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, _, err := old.host.Propose(ctx, 0, newCommand("cut off")); err == nil {
		t.Fatal("a leader without a quorum committed")
	}
	leader := c.waitForLeaderAmong(0, others...)
	if _, _, err := leader.host.Propose(ctx, 0, newCommand("meanwhile")); err != nil {
		t.Fatal(err)
	}
	if err := old.host.Read(ctx, 0); err == nil {
		t.Fatal("a leader without a quorum confirmed a read")
	}
	for _, node := range others {
		c.network.isolate(old.id, false, node.id)
	}
	c.wait("the old leader follows", func() bool { return slices.Contains(old.appliedLocally(0), "meanwhile") })
	if slices.Contains(old.appliedLocally(0), "cut off") {
		t.Fatal("a command that was not stored by a quorum was applied")
	}
}

// TestSnapshotCatchUp guards against a node that cannot catch up by a snapshot after the entries that it lacks were
// compacted.
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
		return slices.Contains(lagging.appliedLocally(0), fmt.Sprint(changes-1))
	})
	if got, want := lagging.appliedLocally(0), c.leader(0).appliedLocally(0); !slices.Equal(got, want) {
		t.Fatalf("got %d commands on the restarted node, want the %d of the leader", len(got), len(want))
	}
	if restored, err := lagging.store.Load(0); err != nil || restored.Snapshot.Index == 0 {
		t.Fatalf("the restarted node has stored no snapshot: %v", err)
	}
}

// waitForRunError waits for a node to stop by itself and returns the error of Run.
func (n *testNode) waitForRunError() error {
	n.cluster.t.Helper()
	select {
	case err := <-n.finished:
		n.close()
		return err
	case <-time.After(waitTimeout):
		n.cluster.t.Fatal("the node kept running")
		return nil
	}
}

// TestLostDiskIsRefused guards against a node that participates under its old ID after its data folder was lost. It
// may have forgotten votes and acknowledged entries.
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
	if err := node.waitForRunError(); !errors.As(err, &refused) {
		t.Fatalf("a node that lost its data folder ended with %v, want *ErrRefused", err)
	}
	c.commit(0, "goes on")
}

// TestLostDisksDoNotFoundClusterAgain guards against a node that lost its data folder and a node that never
// participated founding the cluster a second time while node 1, which knows the lost folder, is down. Node 3 plays
// the second of these nodes: its folder is removed as well.
func TestLostDisksDoNotFoundClusterAgain(t *testing.T) {
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
	if node.host.book.canParticipate() || c.nodes[3].host.book.canParticipate() {
		t.Fatal("two nodes with empty data folders participate without the third")
	}
	c.nodes[1].start()
	var refused *ErrRefused
	if err := node.waitForRunError(); !errors.As(err, &refused) {
		t.Fatalf("node 2 ended with %v, want *ErrRefused", err)
	}
}

// TestOlderFolderIsRefused guards against a node that starts with an older copy of its data folder, which may lack
// votes and acknowledged entries.
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
		return c.nodes[1].knownStarts(3) == 2 && c.nodes[2].knownStarts(3) == 2
	})
	node.kill()
	node.folder = copied
	node.start() // the second start of the copy, as of the original
	var refused *ErrRefused
	if err := node.waitForRunError(); !errors.As(err, &refused) {
		t.Fatalf("a node with an older data folder ended with %v, want *ErrRefused", err)
	}
}

func (n *testNode) knownStarts(node uint64) uint64 {
	n.host.book.mutex.Lock()
	defer n.host.book.mutex.Unlock()
	return n.host.book.records[node].Starts
}

// TestReplaceThenLoseAnother guards against lost commands when a lost node is replaced by a learner under a new ID
// and a second node is lost afterwards.
func TestReplaceThenLoseAnother(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) { config.SnapshotEntries = 20 })
	for i := range 100 {
		c.commit(0, fmt.Sprint(i))
	}
	c.nodes[3].kill()
	replacement := c.add(4, c.nodes[1].change)
	replacement.join = true
	replacement.start()
	for _, group := range c.groups {
		c.retryMembershipChange("add the learner", group, func(ctx context.Context, leader *Host) error { return leader.AddLearner(ctx, group, 4) },
			raft.ErrAlreadyMember)
		c.retryMembershipChange("promote it", group, func(ctx context.Context, leader *Host) error { return leader.Promote(ctx, group, 4) },
			raft.ErrAlreadyMember)
		c.retryMembershipChange("remove the lost node", group, func(ctx context.Context, leader *Host) error { return leader.Remove(ctx, group, 3) },
			raft.ErrNotMember)
	}
	c.nodes[1].kill()
	c.commit(0, "after the second loss")
	if got := c.leader(0).appliedLocally(0); !slices.Contains(got, "0") || !slices.Contains(got, "99") {
		t.Fatalf("got the commands %v, want at least 0 and 99", got)
	}
	c.nodes[1].start()
	c.wait("the second comes back", func() bool { return slices.Contains(c.nodes[1].appliedLocally(0), "after the second loss") })
}

// retryMembershipChange repeats a membership change until it succeeds or its error shows that it succeeded before.
func (c *testCluster) retryMembershipChange(what string, group uint32, operate func(context.Context, *Host) error, done error) {
	c.t.Helper()
	var last error
	deadline := time.Now().Add(waitTimeout)
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

// TestTransferLeadership guards against a leadership transfer that does not reach the requested voter.
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

// TestHangingDialIsRestartedWhenPeerIsHeard guards against a dial attempt that never ends, as when the machine of the
// peer had no power yet. The first attempt of each node to dial a node with a higher ID hangs. The nodes must still
// elect a leader once they hear each other.
func TestHangingDialIsRestartedWhenPeerIsHeard(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) {
		dial, attempted := config.Dial, map[uint64]bool{}
		var mutex sync.Mutex
		config.Dial = func(ctx context.Context, peer Peer) (net.Conn, error) {
			mutex.Lock()
			hangs := peer.ID > config.NodeID && !attempted[peer.ID]
			attempted[peer.ID] = true
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

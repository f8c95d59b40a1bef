package consensus

import (
	"context"
	"errors"
	"io/fs"
	"slices"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/tamarindring/tamarindring/internal/storage"
)

// faultyDisk holds the injected faults of the disk of one node.
type faultyDisk struct {
	syncFails atomic.Bool
	full      atomic.Bool // writes fail with ENOSPC
	lowSpace  atomic.Bool // free space is below the headroom
	refused   atomic.Int64
}

func (d *faultyDisk) hooks() storage.Hooks {
	return storage.Hooks{
		Sync: func() error {
			if d.syncFails.Load() {
				return unix.EIO
			}
			return nil
		},
		BeforeCommit: func() error {
			if d.full.Load() {
				d.refused.Add(1)
				return &fs.PathError{Op: "write", Path: "data.db", Err: unix.ENOSPC}
			}
			return nil
		},
		FreeBytes: func() (uint64, error) {
			if d.lowSpace.Load() {
				return 0, nil
			}
			return 1 << 40, nil
		},
	}
}

// newFaultyCluster starts three nodes with disks that can be made to fail.
func newFaultyCluster(t *testing.T) (*testCluster, map[uint64]*faultyDisk) {
	t.Helper()
	c := newCluster(t, 0, nil)
	disks := map[uint64]*faultyDisk{}
	for id := uint64(1); id <= 3; id++ {
		disks[id] = &faultyDisk{}
		c.add(id, nil).hooks = disks[id].hooks()
	}
	for _, peer := range c.peers {
		c.nodes[peer.ID].start()
	}
	return c, disks
}

// TestFailedSyncStopsTheNode guards against a node that continues after a failed sync, when it is unknown what
// reached the disk. The sync of the leader fails: the leader must stop while the other nodes continue, and after a
// restart it must hold everything that was acknowledged.
func TestFailedSyncStopsTheNode(t *testing.T) {
	c, disks := newFaultyCluster(t)
	c.commit(0, "before")
	leader := c.leader(0)
	disks[leader.id].syncFails.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, _, err := leader.host.Propose(ctx, 0, newCommand("unsynced")); err == nil {
		// The two other nodes may have stored the entry. The copy of this node is not needed for a quorum.
		t.Log("the others committed the entry")
	}
	if err := leader.waitForRunError(); !errors.Is(err, unix.EIO) {
		t.Fatalf("after a failed sync the node ended with %v, want EIO", err)
	}
	c.commit(0, "goes on")
	disks[leader.id].syncFails.Store(false)
	leader.start()
	c.wait("the node has caught up", func() bool {
		applied := leader.appliedLocally(0)
		return slices.Contains(applied, "before") && slices.Contains(applied, "goes on")
	})
}

// TestLowDiskSpaceRejectsNewCommands takes the leader's free space below the headroom. New commands must be rejected
// as not proposed, the existing state must still be served, and commands must be accepted again once there is enough
// space.
func TestLowDiskSpaceRejectsNewCommands(t *testing.T) {
	c, disks := newFaultyCluster(t)
	c.commit(0, "kept")
	leader := c.leader(0)
	disks[leader.id].lowSpace.Store(true)
	propose := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, _, err := leader.host.Propose(ctx, 0, newCommand("new"))
		if other := new(ErrNotLeader); errors.As(err, &other) && other.Leader != 0 { // another node was elected
			_ = c.nodes[other.Leader].host.TransferLeadership(ctx, 0, leader.id)
		}
		return err
	}
	c.wait("new commands are rejected for lack of disk space", func() bool { return errors.Is(propose(), ErrDiskFull) })
	if err := leader.host.Read(context.Background(), 0); err != nil {
		t.Fatalf("a read with little free disk space failed: %v", err)
	}
	if applied := leader.appliedLocally(0); !slices.Contains(applied, "kept") {
		t.Fatalf("with little free disk space the node has applied %v, want also the command kept", applied)
	}
	disks[leader.id].lowSpace.Store(false)
	c.wait("there is enough free space again", func() bool { return propose() == nil })
}

// TestWriteIsRetriedWhenDiskIsFull makes the writes of a follower and the leader fail for lack of space. The entry
// must not be acknowledged meanwhile, and both nodes must continue by themselves once there is space.
func TestWriteIsRetriedWhenDiskIsFull(t *testing.T) {
	c, disks := newFaultyCluster(t)
	c.commit(0, "kept")
	leader := c.leader(0)
	for id, disk := range disks {
		if id == leader.id || id == leader.id%3+1 {
			disk.full.Store(true)
		}
	}
	answered := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, _, err := leader.host.Propose(ctx, 0, newCommand("waits"))
		answered <- err
	}()
	c.wait("writes have failed on both disks", func() bool {
		return disks[leader.id].refused.Load() > 0 && disks[leader.id%3+1].refused.Load() > 0
	})
	select {
	case err := <-answered:
		if err == nil {
			t.Fatal("an entry on one disk of three was acknowledged")
		}
	default:
	}
	for _, disk := range disks {
		disk.full.Store(false)
	}
	c.commit(0, "after")
	for _, peer := range c.peers {
		node := c.nodes[peer.ID]
		c.wait("all nodes hold everything", func() bool {
			applied := node.appliedLocally(0)
			return slices.Contains(applied, "kept") && slices.Contains(applied, "after")
		})
	}
}

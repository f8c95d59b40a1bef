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

// faultyDisk is the state of one node's disk.
type faultyDisk struct {
	syncFails atomic.Bool
	full      atomic.Bool // writes find no space
	lowSpace  atomic.Bool // less free space than the headroom
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

// newFaultyCluster starts three nodes whose disks can be made to fail.
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

// TestFailedSyncStopsTheNode fails the leader's sync: it stops rather than guess, the others go on, and after
// a restart it holds all that was acknowledged.
func TestFailedSyncStopsTheNode(t *testing.T) {
	c, disks := newFaultyCluster(t)
	c.commit(0, "before")
	leader := c.leader(0)
	disks[leader.id].syncFails.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, _, err := leader.host.Propose(ctx, 0, named("unsynced")); err == nil {
		// Two other disks may have it; this node's own copy is not needed.
		t.Log("the others committed the entry")
	}
	if err := leader.runError(); !errors.Is(err, unix.EIO) {
		t.Fatalf("after a failed sync the node ended with %v", err)
	}
	c.commit(0, "goes on")
	disks[leader.id].syncFails.Store(false)
	leader.start()
	c.wait("the node has caught up", func() bool {
		applied := leader.localList(0)
		return slices.Contains(applied, "before") && slices.Contains(applied, "goes on")
	})
}

// TestFullDiskRefusesAndKeeps takes the leader's free space below the headroom: new work is refused as not
// proposed, what is there is still served, and the node takes new work once there is room.
func TestFullDiskRefusesAndKeeps(t *testing.T) {
	c, disks := newFaultyCluster(t)
	c.commit(0, "kept")
	leader := c.leader(0)
	disks[leader.id].lowSpace.Store(true)
	propose := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, _, err := leader.host.Propose(ctx, 0, named("new"))
		if other := new(ErrNotLeader); errors.As(err, &other) && other.Leader != 0 { // an election in between
			_ = c.nodes[other.Leader].host.TransferLeadership(ctx, 0, leader.id)
		}
		return err
	}
	c.wait("the disk is found full", func() bool { return errors.Is(propose(), ErrDiskFull) })
	if err := leader.host.Read(context.Background(), 0); err != nil {
		t.Fatalf("a read on a full disk: %v", err)
	}
	if applied := leader.localList(0); !slices.Contains(applied, "kept") {
		t.Fatalf("on a full disk the node holds %v", applied)
	}
	disks[leader.id].lowSpace.Store(false)
	c.wait("there is room again", func() bool { return propose() == nil })
}

// TestWriteWithoutSpaceIsRepeated lets a follower's and the leader's writes find no space: nothing of theirs
// is acknowledged meanwhile, and both go on by themselves.
func TestWriteWithoutSpaceIsRepeated(t *testing.T) {
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
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, _, err := leader.host.Propose(ctx, 0, named("waits"))
		answered <- err
	}()
	c.wait("both disks have refused", func() bool {
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
			applied := node.localList(0)
			return slices.Contains(applied, "kept") && slices.Contains(applied, "after")
		})
	}
}

package consensus

import (
	"slices"
	"sync/atomic"
	"testing"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/storage"
)

// noSnapshotSpaceStore has space for entries and votes, but not for snapshots while noSpace is set.
type noSnapshotSpaceStore struct {
	Store
	noSpace *atomic.Bool
	refused *atomic.Int64
}

// Write implements Store.
func (s noSnapshotSpaceStore) Write(batch []storage.GroupWrite) error {
	for i := range batch {
		if batch[i].Compaction != nil && s.noSpace.Load() {
			s.refused.Add(1)
			return storage.ErrNoSpace
		}
	}
	return s.Store.Write(batch)
}

// TestGroupServesWithoutSpaceForSnapshot guards against entries and votes that fit on the disk but wait for a
// snapshot that does not. The state is the same on all nodes, so their own snapshots are due at the same time. On
// disks of 128 MB none fitted, each node retried the whole batch every half second forever, and the votes and
// acknowledgements of all groups waited behind it. After 86 s of batch jobs a group of five voters was without a
// leader for more than 22 s, although all voters were running and heard each other: all four core machines logged
// "group_without_leader ... terms=0, campaigns=0, syncs=0, writing_ms=22998" and had logged "disk_changed full=true"
// in the same half second.
func TestGroupServesWithoutSpaceForSnapshot(t *testing.T) {
	var noSpace atomic.Bool
	var refused atomic.Int64
	c, logs := startWithEvents(t, func(node *testNode) {
		node.change = func(config *Config) {
			config.SnapshotEntries = 8
			config.Store = noSnapshotSpaceStore{Store: config.Store, noSpace: &noSpace, refused: &refused}
		}
	})
	c.commit(0, "kept")
	noSpace.Store(true)
	for refused.Load() == 0 {
		c.commit(1, "fills the log")
	}
	c.commit(0, "goes on")
	leader := c.leader(0)
	leader.kill()
	c.commit(0, "under another leader")
	leader.start()
	c.wait("all entries on the node that started again on its old snapshot", func() bool {
		return slices.Contains(leader.appliedLocally(0), "under another leader") && slices.Contains(leader.appliedLocally(1), "fills the log")
	})
	if !anyEvent(logs, func(event *events.SnapshotLeftOut) bool { return event.Group == 1 && event.Bytes > 0 }) {
		t.Error("no event reports the snapshot that was left out for lack of space")
	}
	noSpace.Store(false)
	c.commit(1, "with room again")
}

package consensus

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/tamarindring/tamarindring/internal/statepart"
)

// blockingEncodeJournal blocks the encoding of a captured state until allowEncode is closed.
type blockingEncodeJournal struct {
	journal
	captured    chan struct{}
	allowEncode chan struct{}
}

func (j *blockingEncodeJournal) Capture() func() (statepart.Parts, error) {
	encode := j.journal.Capture()
	return func() (statepart.Parts, error) {
		select {
		case j.captured <- struct{}{}:
		default:
		}
		<-j.allowEncode
		return encode()
	}
}

// TestEncodingHoldsUpCommands guards against commands that wait for the encoding of a snapshot. It commits while a
// snapshot is being encoded, and then restarts from that snapshot.
func TestEncodingHoldsUpCommands(t *testing.T) {
	captured, allowEncode := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() { close(allowEncode) })
	defer release()
	c := newCluster(t, 1, func(config *Config) {
		config.SnapshotEntries = 10
		config.NewStateMachine = func(uint32) StateMachine { return &blockingEncodeJournal{captured: captured, allowEncode: allowEncode} }
	})
	var names []string
	proposals := 0
	commit := func(name string) {
		names = append(names, name)
		proposals += c.commit(0, name)
	}
	for i := range 20 {
		commit(fmt.Sprint("before ", i))
	}
	<-captured
	for i := range 20 {
		commit(fmt.Sprint("meanwhile ", i))
	}
	release()
	c.wait("the snapshot is taken", func() bool { return c.nodes[1].snapshotIndex(0) > 0 })
	c.nodes[1].kill()
	c.nodes[1].start()
	commit("after the restart")
	got := c.nodes[1].appliedLocally(0)
	// A command that was proposed again because its answer came late stands there again, directly after the first time.
	if len(got) > proposals || !slices.Equal(slices.Compact(slices.Clone(got)), names) {
		t.Fatalf("got %d commands of %d proposals after the restart, want each once in order: %v", len(got), proposals, got)
	}
}

func (n *testNode) snapshotIndex(group uint32) uint64 {
	var index uint64
	err := n.host.call(context.Background(), group, func(g *hostedGroup) error {
		index = g.snapshots.index
		return nil
	})
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return index
}

// TestSnapshotCostIsBounded guards against a large state that is encoded and written too often, and against snapshots
// that are taken while another one is in progress or nothing new was applied.
func TestSnapshotCostIsBounded(t *testing.T) {
	config := &Config{SnapshotEntries: 10, SnapshotBytes: 1 << 30, SnapshotCost: 4}
	for _, example := range []struct {
		name     string
		schedule snapshotSchedule
		applied  uint64
		due      bool
	}{
		{"few entries", snapshotSchedule{index: 5, newBytes: 100, appliedBytes: 50}, 14, false},
		{"enough entries of a small state", snapshotSchedule{index: 5, newBytes: 100, appliedBytes: 1}, 15, true},
		{"enough entries, too few bytes for a large state", snapshotSchedule{index: 5, newBytes: 8 << 20, appliedBytes: 2<<20 - 1}, 500, false},
		{"a quarter of a large state", snapshotSchedule{index: 5, newBytes: 8 << 20, appliedBytes: 2 << 20}, 500, true},
		{"one is being encoded", snapshotSchedule{index: 5, encoding: true, appliedBytes: 1 << 30}, 500, false},
		{"one waits to be taken", snapshotSchedule{index: 5, encoded: &encodedState{}, appliedBytes: 1 << 30}, 500, false},
		{"nothing new", snapshotSchedule{index: 5, appliedBytes: 1 << 31}, 5, false},
	} {
		if got := example.schedule.isDue(config, example.applied); got != example.due {
			t.Errorf("%s: got due %v, want the opposite", example.name, got)
		}
	}
}

// snapshotBytesInMemory returns how many bytes of a snapshot of a group raft holds in memory.
func (n *testNode) snapshotBytesInMemory(group uint32) int {
	var bytes int
	err := n.host.call(context.Background(), group, func(g *hostedGroup) error {
		bytes = g.node.SnapshotBytes()
		return nil
	})
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return bytes
}

// TestStoredSnapshotIsReleasedFromMemory guards against a node that keeps a snapshot in memory after it was written
// to disk or loaded by a restart.
func TestStoredSnapshotIsReleasedFromMemory(t *testing.T) {
	c := newCluster(t, 1, func(config *Config) { config.SnapshotEntries = 10 })
	for i := range 40 {
		c.commit(0, fmt.Sprint(i))
	}
	node := c.nodes[1]
	released := func() bool { return node.snapshotIndex(0) > 0 && node.snapshotBytesInMemory(0) == 0 }
	c.wait("the snapshot is stored and not held", released)
	if stored, err := node.store.LoadSnapshot(0); err != nil || len(stored.Data) == 0 {
		t.Fatalf("got %d parts of a stored snapshot and error %v, want at least one part", len(stored.Data), err)
	}
	node.kill()
	node.start()
	c.wait("a restarted node does not hold it either", released)
}

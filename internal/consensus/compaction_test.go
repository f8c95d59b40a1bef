package consensus

import (
	"context"
	"fmt"
	"sync"
	"testing"
)

// slowJournal encodes a captured state only when it is let.
type slowJournal struct {
	journal
	captured chan struct{}
	let      chan struct{}
}

func (j *slowJournal) Capture() func() ([][]byte, error) {
	encode := j.journal.Capture()
	return func() ([][]byte, error) {
		select {
		case j.captured <- struct{}{}:
		default:
		}
		<-j.let
		return encode()
	}
}

// TestEncodingHoldsUpCommands commits while a snapshot is being encoded, and restarts from that snapshot.
func TestEncodingHoldsUpCommands(t *testing.T) {
	captured, let := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() { close(let) })
	defer release()
	c := newCluster(t, 1, func(config *Config) {
		config.SnapshotEntries = 10
		config.NewStateMachine = func(uint32) StateMachine { return &slowJournal{captured: captured, let: let} }
	})
	for i := range 20 {
		c.commit(0, fmt.Sprint("before ", i))
	}
	<-captured
	for i := range 20 {
		c.commit(0, fmt.Sprint("meanwhile ", i))
	}
	release()
	c.wait("the snapshot is taken", func() bool { return c.nodes[1].snapshotIndex(0) > 0 })
	c.nodes[1].kill()
	c.nodes[1].start()
	c.commit(0, "after the restart")
	if got := c.nodes[1].localList(0); len(got) != 41 {
		t.Fatalf("%d commands after the restart: %v", len(got), got)
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

func TestLargeStateIsEncodedTooOften(t *testing.T) {
	config := &Config{SnapshotEntries: 10, SnapshotBytes: 1 << 30, SnapshotCost: 4}
	for _, example := range []struct {
		name    string
		account snapshots
		applied uint64
		due     bool
	}{
		{"few entries", snapshots{index: 5, written: 100, appliedBytes: 50}, 14, false},
		{"enough entries of a small state", snapshots{index: 5, written: 100, appliedBytes: 1}, 15, true},
		{"enough entries, too few bytes for a large state", snapshots{index: 5, written: 8 << 20, appliedBytes: 2<<20 - 1}, 500, false},
		{"a quarter of a large state", snapshots{index: 5, written: 8 << 20, appliedBytes: 2 << 20}, 500, true},
		{"one is being encoded", snapshots{index: 5, encoding: true, appliedBytes: 1 << 30}, 500, false},
		{"one waits to be taken", snapshots{index: 5, encoded: &encodedState{}, appliedBytes: 1 << 30}, 500, false},
		{"nothing new", snapshots{index: 5, appliedBytes: 1 << 31}, 5, false},
	} {
		if got := example.account.due(config, example.applied); got != example.due {
			t.Errorf("%s: due is %v", example.name, got)
		}
	}
}

// heldSnapshotBytes is what raft holds of a group's snapshot in memory.
func (n *testNode) heldSnapshotBytes(group uint32) int {
	var held int
	err := n.host.call(context.Background(), group, func(g *hostedGroup) error {
		held = g.node.SnapshotBytes()
		return nil
	})
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return held
}

func TestStoredSnapshotStaysInMemory(t *testing.T) {
	c := newCluster(t, 1, func(config *Config) { config.SnapshotEntries = 10 })
	for i := range 40 {
		c.commit(0, fmt.Sprint(i))
	}
	node := c.nodes[1]
	released := func() bool { return node.snapshotIndex(0) > 0 && node.heldSnapshotBytes(0) == 0 }
	c.wait("the snapshot is stored and not held", released)
	if stored, err := node.store.LoadSnapshot(0); err != nil || len(stored.Data) == 0 {
		t.Fatalf("%d bytes of snapshot are stored: %v", len(stored.Data), err)
	}
	node.kill()
	node.start()
	c.wait("a restarted node does not hold it either", released)
}

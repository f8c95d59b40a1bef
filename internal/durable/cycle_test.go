package durable

import (
	"math/rand"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// TestOlderCompactionIsNotWrittenOverReceivedSnapshot checks that a snapshot which this node made is not written over a
// newer one from the leader, and that it is not reported as stored.
func TestOlderCompactionIsNotWrittenOverReceivedSnapshot(t *testing.T) {
	cycle := New(3, nil, raft.HardState{})
	cycle.Hold(&raft.Ready{Snapshot: &raft.Snapshot{Index: 9}})
	cycle.Compact(&raft.Snapshot{Index: 5})
	write := cycle.Write()
	if write.Group != 3 || write.Compaction != nil || write.Snapshot.Index != 9 {
		t.Fatalf("got write %+v, want only the received snapshot of index 9", write)
	}
	if ready, compacted := cycle.CompleteWrite(); ready == nil || compacted != 0 {
		t.Fatalf("got Ready %v and compacted index %d, want a Ready and index 0", ready, compacted)
	}
	cycle.Compact(&raft.Snapshot{Index: 12})
	if write = cycle.Write(); write.Compaction == nil || write.Compaction.Index != 12 {
		t.Fatalf("got write %+v, want the newer snapshot of index 12", write)
	}
	if _, compacted := cycle.CompleteWrite(); compacted != 12 {
		t.Fatalf("got compacted index %d, want 12", compacted)
	}
}

// TestDurableEntriesPrecedeTheNewOnes checks that Durable returns exactly those committed entries, in order, that
// precede the entries that are not written yet. Only these may be applied before the sync.
func TestDurableEntriesPrecedeTheNewOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ready := &raft.Ready{}
		first := uint64(rapid.IntRange(1, 5).Draw(t, "first"))
		for index := first; index < first+uint64(rapid.IntRange(0, 8).Draw(t, "committed")); index++ {
			ready.Committed = append(ready.Committed, raft.Entry{Index: index})
		}
		for index := uint64(rapid.IntRange(1, 14).Draw(t, "new from")); len(ready.Entries) < rapid.IntRange(0, 3).Draw(t, "new"); index++ {
			ready.Entries = append(ready.Entries, raft.Entry{Index: index})
		}
		durable := ready.Durable()
		for i, entry := range durable {
			if entry.Index != ready.Committed[i].Index || len(ready.Entries) > 0 && entry.Index >= ready.Entries[0].Index {
				t.Fatalf("entry %d of the committed entries %v must not be in Durable, or has another place there; unwritten entries: %v", i, ready.Committed, ready.Entries)
			}
		}
		if left := ready.Committed[len(durable):]; len(left) > 0 && (len(ready.Entries) == 0 || left[0].Index < ready.Entries[0].Index) {
			t.Fatalf("the durable entry %d is missing in Durable", left[0].Index)
		}
	})
}

// TestOneReadyAtATime checks that no Ready is taken while another waits for its write, and that an unchanged hard state
// is not written again.
func TestOneReadyAtATime(t *testing.T) {
	node, err := raft.New(raft.Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 1, Random: rand.New(rand.NewSource(1))},
		raft.Restored{Snapshot: raft.Snapshot{Configuration: raft.Configuration{Voters: []uint64{1}}}})
	if err != nil {
		t.Fatal(err)
	}
	cycle := New(1, node, raft.HardState{})
	if !cycle.IsHardStateEmpty() {
		t.Fatal("IsHardStateEmpty is false for a node that stored nothing")
	}
	for range 40 {
		node.Tick()
	}
	ready := cycle.Take()
	if ready == nil || !ready.MustSync {
		t.Fatalf("got Ready %+v, want one that must be synced", ready)
	}
	cycle.Hold(ready)
	if cycle.Take() != nil || cycle.IsIdle() || cycle.IsHardStateEmpty() {
		t.Fatal("a second Ready was taken before the first was durable, or the cycle reports that it is idle or blank")
	}
	if !cycle.Queue() || cycle.Queue() {
		t.Fatal("Queue must return true the first time and false the second time")
	}
	if write := cycle.Write(); write.HardState == nil || *write.HardState != ready.HardState {
		t.Fatalf("got write %+v, want the hard state of the Ready", write)
	}
	written, _ := cycle.CompleteWrite()
	if written != ready {
		t.Fatal("CompleteWrite returned another Ready than the one that was written")
	}
	cycle.Finish(written)
	if write := cycle.Write(); write.HardState != nil {
		t.Fatal("an unchanged hard state is written again")
	}
}

package consensus

import (
	"bytes"
	"reflect"
	"runtime"
	"testing"
	"time"
	"weak"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestReconnectBacksOffAfterShortConnections guards against rapid reconnects to a node whose address now belongs to
// another node, which accepts each connection and closes it. After the first attempts the node must be dialed twice a
// second, and with the minimum delay after a connection that worked.
func TestReconnectBacksOffAfterShortConnections(t *testing.T) {
	var backoff reconnectBackoff
	var spent time.Duration
	tries := 0
	for spent < 10*time.Second {
		spent += backoff.next(true, 2*time.Millisecond)
		tries++
	}
	if most := int(10*time.Second/maxBackoff) + 6; tries > most {
		t.Fatalf("%d connections in 10 s, want %d at most", tries, most)
	}
	if pause := backoff.next(true, time.Minute); pause != minBackoff {
		t.Fatalf("got a delay of %v after a connection that worked, want the minimum", pause)
	}
	if first, second := backoff.next(false, 0), backoff.next(false, 0); second <= first {
		t.Fatalf("got delays %v and %v after failures, want them to increase", first, second)
	}
}

// TestSentSnapshotIsReleased guards against a queue that keeps the data of a sent snapshot in memory for as long as
// the connection lasts.
func TestSentSnapshotIsReleased(t *testing.T) {
	waiting := &queue{}
	data := func() weak.Pointer[byte] {
		snapshot := &raft.Snapshot{Index: 7, Term: 1, Data: raft.Parts{make([]byte, 3*chunkBytes+1)}}
		waiting.addChunks(snapshotChunks(1, &raft.Message{Kind: raft.MessageSnapshot, Snapshot: snapshot}, true))
		return weak.Make(&snapshot.Data[0][0])
	}()
	taken := 0
	for {
		batch := &wire.RaftBatch{}
		if !waiting.fill(batch) {
			break
		}
		taken += len(batch.Messages)
	}
	if taken != 4 {
		t.Fatalf("%d chunks were taken from the queue, want 4", taken)
	}
	runtime.GC()
	if data.Value() != nil {
		t.Fatal("the queue keeps a sent snapshot in memory")
	}
	runtime.KeepAlive(waiting)
}

// TestSnapshotPartsRoundTrip: the parts of a snapshot must arrive as they were sent, or as one part if the sender or
// the receiver is a build that does not support parts.
func TestSnapshotPartsRoundTrip(t *testing.T) {
	parts := raft.Parts{[]byte("head"), bytes.Repeat([]byte{1}, 2*chunkBytes+1), bytes.Repeat([]byte{2}, chunkBytes), []byte("end")}
	chunks := snapshotChunks(1, &raft.Message{Kind: raft.MessageSnapshot, Snapshot: &raft.Snapshot{Index: 7, Term: 1, Data: parts}}, true)
	receive := func() raft.Parts {
		receiving := assembler{partial: map[uint32]*partialSnapshot{}}
		for _, chunk := range chunks {
			chunk = proto.CloneOf(chunk)
			if whole := receiving.add(1, chunk.Snapshot); whole != nil {
				return whole.Data
			}
		}
		return nil
	}
	got := receive()
	if !reflect.DeepEqual(got, parts) {
		t.Errorf("got %d parts of %d bytes in all, want the parts that were sent", len(got), got.Size())
	}
	for position, part := range got {
		if cap(part) > len(part)+len(part)/maxUnusedShare {
			t.Errorf("part %d has a capacity of %d bytes for %d bytes of data", position, cap(part), len(part))
		}
	}
	var older []byte
	for _, chunk := range chunks {
		older = append(older, chunk.Snapshot.Data...)
		chunk.Snapshot.BeginsPart = false
	}
	if !bytes.Equal(older, parts.Join()) {
		t.Error("a receiver without support for parts gets another state")
	}
	if got := receive(); len(got) != 1 || !bytes.Equal(got[0], older) {
		t.Errorf("got %d parts from a sender without support for parts, want one with the whole state", len(got))
	}
}

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

// TestConnectionsThatEndAtOnceAreRare: a node whose address another one has takes the connection and ends it; after the
// first tries it is asked twice a second, and at once again after a connection that worked.
func TestConnectionsThatEndAtOnceAreRare(t *testing.T) {
	var wait reconnect
	var spent time.Duration
	tries := 0
	for spent < 10*time.Second {
		spent += wait.pause(true, 2*time.Millisecond)
		tries++
	}
	if most := int(10*time.Second/lastBackoff) + 6; tries > most {
		t.Fatalf("%d connections in 10 s, want %d at most", tries, most)
	}
	if pause := wait.pause(true, time.Minute); pause != firstBackoff {
		t.Fatalf("after a connection that worked the pause is %v", pause)
	}
	if first, second := wait.pause(false, 0), wait.pause(false, 0); second <= first {
		t.Fatalf("pauses %v and %v", first, second)
	}
}

// TestSentSnapshotIsNotHeld: once all pieces of a snapshot were taken to be sent, nothing of the queue keeps its data in
// memory; a node that has sent one would otherwise hold it for as long as the connection lasts.
func TestSentSnapshotIsNotHeld(t *testing.T) {
	waiting := &queue{}
	data := func() weak.Pointer[byte] {
		snapshot := &raft.Snapshot{Index: 7, Term: 1, Data: raft.Parts{make([]byte, 3*chunkBytes+1)}}
		waiting.addChunks(snapshotChunks(1, &raft.Message{Kind: raft.MessageSnapshot, Snapshot: snapshot}, true))
		return weak.Make(&snapshot.Data[0][0])
	}()
	taken := 0
	for {
		batch := &wire.RaftBatch{}
		if !waiting.take(batch) {
			break
		}
		taken += len(batch.Messages)
	}
	if taken != 4 {
		t.Fatalf("%d pieces were taken", taken)
	}
	runtime.GC()
	if data.Value() != nil {
		t.Fatal("the queue holds a snapshot that was sent")
	}
	runtime.KeepAlive(waiting)
}

// TestPartsArriveAsTheyWereSent, and in one piece where sender or receiver is a build that knows no parts.
func TestPartsArriveAsTheyWereSent(t *testing.T) {
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
		t.Errorf("%d parts of %d bytes arrived", len(got), got.Size())
	}
	for position, part := range got {
		if cap(part) > len(part)+len(part)/trimShare {
			t.Errorf("part %d takes %d bytes for %d", position, cap(part), len(part))
		}
	}
	var older []byte
	for _, chunk := range chunks {
		older = append(older, chunk.Snapshot.Data...)
		chunk.Snapshot.BeginsPart = false
	}
	if !bytes.Equal(older, parts.Join()) {
		t.Error("a receiver that knows no parts gets another state")
	}
	if got := receive(); len(got) != 1 || !bytes.Equal(got[0], older) {
		t.Errorf("from a sender that knows no parts came %d", len(got))
	}
}

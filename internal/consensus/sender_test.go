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
	"github.com/tamarindring/tamarindring/internal/statepart"
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

// allChunks returns the messages of a transfer.
func allChunks(t testing.TB, transfer *snapshotTransfer) []*wire.RaftMessage {
	t.Helper()
	var chunks []*wire.RaftMessage
	for !transfer.isDone() {
		chunk, err := transfer.next()
		if err != nil {
			t.Fatal(err)
		}
		chunks = append(chunks, chunk)
	}
	return chunks
}

// TestSentSnapshotIsReleased guards against a queue that keeps the data of a sent snapshot in memory for as long as
// the connection lasts.
func TestSentSnapshotIsReleased(t *testing.T) {
	waiting := &queue{}
	data := func() weak.Pointer[byte] {
		content := make([]byte, 3*chunkBytes+1)
		snapshot := &raft.Snapshot{Index: 7, Term: 1, Data: statepart.NewParts(content)}
		waiting.addTransfer(newSnapshotTransfer(1, &raft.Message{Kind: raft.MessageSnapshot, Snapshot: snapshot}, true))
		return weak.Make(&content[0])
	}()
	taken := 0
	for transfer := waiting.nextTransfer(); transfer != nil; transfer = waiting.nextTransfer() {
		taken += len(allChunks(t, transfer))
		waiting.removeTransfer(transfer)
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

// countingSource counts how often its content is read, and holds it in memory.
type countingSource struct {
	content []byte
	reads   int
}

func (s *countingSource) Content() ([]byte, error) {
	s.reads++
	return s.content, nil
}

func (s *countingSource) Section(offset, size int, _ uint64) statepart.Source {
	return &countingSource{content: s.content[offset : offset+size]}
}

// TestSentStateIsReadPartByPart guards against a leader that reads its whole state into memory for each lagging node.
func TestSentStateIsReadPartByPart(t *testing.T) {
	var sources []*countingSource
	var parts statepart.Parts
	for range 3 {
		source := &countingSource{content: make([]byte, 2*chunkBytes)}
		sources = append(sources, source)
		parts = append(parts, statepart.NewStored(len(source.content), 0, source))
	}
	transfer := newSnapshotTransfer(1, &raft.Message{Kind: raft.MessageSnapshot, Snapshot: &raft.Snapshot{Index: 7, Data: parts}}, true)
	for chunk := 0; !transfer.isDone(); chunk++ {
		if _, err := transfer.next(); err != nil {
			t.Fatal(err)
		}
		for position, source := range sources {
			if due := position <= chunk/2; (source.reads == 1) != due || source.reads > 1 {
				t.Errorf("after chunk %d part %d was read %d times", chunk, position, source.reads)
			}
		}
	}
}

// TestSnapshotPartsRoundTrip: the parts of a snapshot must arrive as they were sent, or as one part if the sender or
// the receiver is a build that does not support parts.
func TestSnapshotPartsRoundTrip(t *testing.T) {
	contents := [][]byte{[]byte("head"), bytes.Repeat([]byte{1}, 2*chunkBytes+1), bytes.Repeat([]byte{2}, chunkBytes), []byte("end")}
	snapshot := &raft.Snapshot{Index: 7, Term: 1, Data: statepart.NewParts(contents...)}
	chunks := allChunks(t, newSnapshotTransfer(1, &raft.Message{Kind: raft.MessageSnapshot, Snapshot: snapshot}, true))
	receive := func() [][]byte {
		receiving := assembler{partial: map[uint32]*partialSnapshot{}}
		for _, chunk := range chunks {
			chunk = proto.CloneOf(chunk)
			if whole := receiving.add(1, chunk.Snapshot); whole != nil {
				return contentsOf(t, whole.Data)
			}
		}
		return nil
	}
	got := receive()
	if !reflect.DeepEqual(got, contents) {
		t.Errorf("got %d parts, want those that were sent", len(got))
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
	if !bytes.Equal(older, bytes.Join(contents, nil)) {
		t.Error("a receiver without support for parts gets another state")
	}
	if got := receive(); len(got) != 1 || !bytes.Equal(got[0], older) {
		t.Errorf("got %d parts from a sender without support for parts, want one with the whole state", len(got))
	}
}

// contentsOf returns the content of each part.
func contentsOf(t *testing.T, parts statepart.Parts) [][]byte {
	t.Helper()
	var contents [][]byte
	for _, part := range parts {
		content, err := part.Content()
		if err != nil {
			t.Fatal(err)
		}
		contents = append(contents, content)
	}
	return contents
}

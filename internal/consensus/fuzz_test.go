package consensus

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// FuzzMessage decodes arbitrary bytes as a message from another node. A message is either rejected or converted
// without loss, and the assembler accepts any sequence of snapshot chunks.
func FuzzMessage(f *testing.F) {
	entries := []raft.Entry{{Index: 7, Term: 2, Data: []byte("x")}, {Index: 8, Term: 2, Kind: raft.EntryConfiguration}}
	messages := []*wire.RaftMessage{
		toWire(3, &raft.Message{Kind: raft.MessageAppend, To: 1, From: 2, Term: 2, Index: 6, LogTerm: 1, Entries: entries, Commit: 5}),
		toWire(0, &raft.Message{Kind: raft.MessageVoteReply, To: 1, From: 2, Term: 9, Reject: true}),
	}
	snapshot := raft.Snapshot{Index: 3, Term: 1, Configuration: raft.Configuration{Voters: []uint64{1, 2}}, Data: statepart.NewParts(make([]byte, 2*chunkBytes+1), []byte{1})}
	messages = append(messages, allChunks(f, newSnapshotTransfer(0, &raft.Message{Kind: raft.MessageSnapshot, To: 1, From: 2, Term: 2, Snapshot: &snapshot}, true))[2])
	for _, message := range messages {
		data, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		encoded := &wire.RaftMessage{}
		if proto.Unmarshal(data, encoded) != nil {
			return
		}
		message, err := fromWire(encoded.From, encoded)
		if err != nil {
			return
		}
		again, err := fromWire(message.From, withSnapshot(toWire(encoded.Group, &message), encoded.Snapshot))
		if err != nil || !reflect.DeepEqual(message, again) {
			t.Fatalf("the message %+v became %+v after encoding and decoding (%v)", message, again, err)
		}
		if encoded.Snapshot == nil {
			return
		}
		pieces := assembler{partial: map[uint32]*partialSnapshot{}}
		whole := pieces.add(encoded.Group, encoded.Snapshot)
		if whole != nil && (encoded.Snapshot.ChunkCount > 1 || encoded.Snapshot.Chunk != 0) {
			t.Fatal("one chunk of several was returned as the whole snapshot")
		}
		pieces.add(encoded.Group, encoded.Snapshot)
	})
}

func withSnapshot(message *wire.RaftMessage, snapshot *wire.RaftSnapshot) *wire.RaftMessage {
	message.Snapshot = snapshot
	return message
}

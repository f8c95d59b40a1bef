package consensus

import (
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// chunkBytes is the maximum size of one chunk of a snapshot that is sent to another node.
const chunkBytes = 512 << 10

// snapshotTransfer sends a snapshot as several messages, each with a chunk of one part. It reads a part when its turn
// comes, so that a state on disk is never in memory as a whole.
type snapshotTransfer struct {
	group       uint32
	message     *raft.Message
	partsAgreed bool // all nodes support snapshots in parts

	parts      statepart.Parts // that are not sent completely; empty parts are left out
	content    []byte          // rest of the first part, nil if it has not been read
	chunk      uint32          // number of the next chunk
	chunkCount uint32
}

func newSnapshotTransfer(group uint32, message *raft.Message, partsAgreed bool) *snapshotTransfer {
	transfer := &snapshotTransfer{group: group, message: message, partsAgreed: partsAgreed}
	for _, part := range message.Snapshot.Data {
		if part.Size() > 0 {
			transfer.parts = append(transfer.parts, part)
			transfer.chunkCount += uint32((part.Size() + chunkBytes - 1) / chunkBytes)
		}
	}
	transfer.chunkCount = max(1, transfer.chunkCount) // an empty state is one empty chunk
	return transfer
}

// isDone reports whether all chunks were returned by next.
func (t *snapshotTransfer) isDone() bool { return t.chunk == t.chunkCount }

// next returns the message with the next chunk. The error is that of reading a part.
func (t *snapshotTransfer) next() (*wire.RaftMessage, error) {
	beginsPart := t.content == nil
	if beginsPart && len(t.parts) > 0 {
		content, err := t.parts[0].Content()
		if err != nil {
			return nil, err
		}
		t.content = content
	}
	data := t.content[:min(chunkBytes, len(t.content))]
	if t.content = t.content[len(data):]; len(t.content) == 0 && len(t.parts) > 0 {
		t.content, t.parts = nil, t.parts[1:]
	}
	encoded := toWire(t.group, t.message)
	snapshot := t.message.Snapshot
	encoded.Snapshot = &wire.RaftSnapshot{
		Index: snapshot.Index,
		Term:  snapshot.Term,
		Configuration: &wire.RaftConfiguration{
			Voters:   snapshot.Configuration.Voters,
			Learners: snapshot.Configuration.Learners,
		},
		Data: data, Chunk: t.chunk, ChunkCount: t.chunkCount, BeginsPart: beginsPart, PartsAgreed: t.partsAgreed,
	}
	t.chunk++
	return encoded, nil
}

package consensus

import (
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// chunkBytes is the maximum size of one chunk of a snapshot that is sent to another node.
const chunkBytes = 512 << 10

// toWire encodes a message. It shares the data of the entries, which raft never modifies.
func toWire(group uint32, message *raft.Message) *wire.RaftMessage {
	encoded := &wire.RaftMessage{
		Group:      group,
		Kind:       uint32(message.Kind),
		To:         message.To,
		From:       message.From,
		Term:       message.Term,
		LogTerm:    message.LogTerm,
		Index:      message.Index,
		Commit:     message.Commit,
		Reject:     message.Reject,
		RejectHint: message.RejectHint,
		Context:    message.Context,
	}
	if len(message.Entries) == 0 {
		return encoded
	}
	entries := make([]wire.RaftEntry, len(message.Entries))
	encoded.Entries = make([]*wire.RaftEntry, len(message.Entries))
	for i := range message.Entries {
		entry := &message.Entries[i]
		entries[i].Index, entries[i].Term, entries[i].Kind, entries[i].Data = entry.Index, entry.Term, uint32(entry.Kind), entry.Data
		encoded.Entries[i] = &entries[i]
	}
	return encoded
}

// snapshotChunks encodes a snapshot message as several messages. Each holds a chunk of one part of the data.
func snapshotChunks(group uint32, message *raft.Message, partsAgreed bool) []*wire.RaftMessage {
	snapshot := message.Snapshot
	var chunks []*wire.RaftMessage
	add := func(data []byte, beginsPart bool) {
		chunk := toWire(group, message)
		chunk.Snapshot = &wire.RaftSnapshot{
			Index: snapshot.Index,
			Term:  snapshot.Term,
			Configuration: &wire.RaftConfiguration{
				Voters:   snapshot.Configuration.Voters,
				Learners: snapshot.Configuration.Learners,
			},
			Data: data, Chunk: uint32(len(chunks)), BeginsPart: beginsPart, PartsAgreed: partsAgreed,
		}
		chunks = append(chunks, chunk)
	}
	for _, part := range snapshot.Data {
		for from := 0; from < len(part); from += chunkBytes {
			add(part[from:min(from+chunkBytes, len(part))], from == 0)
		}
	}
	if len(chunks) == 0 {
		add(nil, true)
	}
	for _, chunk := range chunks {
		chunk.Snapshot.ChunkCount = uint32(len(chunks))
	}
	return chunks
}

// fromWire decodes a message received from the given node. It returns an error if the sender's ID differs, the kind
// is unknown, or a snapshot is missing or unexpected.
func fromWire(from uint64, encoded *wire.RaftMessage) (raft.Message, error) {
	if encoded.From != from {
		return raft.Message{}, trace.BadParameter("node %d sent a message of node %d", from, encoded.From)
	}
	kind := raft.MessageKind(encoded.Kind)
	if kind < raft.MessagePreVote || kind > raft.MessageTimeoutNow {
		return raft.Message{}, trace.BadParameter("unknown kind %d of message", encoded.Kind)
	}
	if (kind == raft.MessageSnapshot) != (encoded.Snapshot != nil) {
		return raft.Message{}, trace.BadParameter("a message of kind %d with or without a snapshot", encoded.Kind)
	}
	message := raft.Message{
		Kind:       kind,
		To:         encoded.To,
		From:       encoded.From,
		Term:       encoded.Term,
		LogTerm:    encoded.LogTerm,
		Index:      encoded.Index,
		Commit:     encoded.Commit,
		Reject:     encoded.Reject,
		RejectHint: encoded.RejectHint,
		Context:    encoded.Context,
	}
	if len(encoded.Entries) > 0 {
		message.Entries = make([]raft.Entry, len(encoded.Entries))
		for i, entry := range encoded.Entries {
			message.Entries[i] = raft.Entry{Index: entry.GetIndex(), Term: entry.GetTerm(),
				Kind: raft.EntryKind(entry.GetKind()), Data: entry.GetData()}
		}
	}
	return message, nil
}

// assembler joins the snapshot chunks that arrive over one stream.
type assembler struct {
	partial map[uint32]*partialSnapshot // by group
}

type partialSnapshot struct {
	index, term           uint64
	nextChunk, chunkCount uint32
	parts                 raft.Parts
}

// addChunk adds the data of a chunk. The slice belongs to the chunk alone, so it is kept without a copy. A chunk that
// does not begin a part is appended to the last part.
func (p *partialSnapshot) addChunk(chunk *wire.RaftSnapshot) {
	if last := len(p.parts) - 1; last >= 0 && !chunk.BeginsPart {
		p.parts[last] = append(p.parts[last], chunk.Data...)
		return
	}
	p.trim()
	if len(chunk.Data) > 0 {
		p.parts = append(p.parts, chunk.Data)
	}
}

// maxUnusedShare limits the unused capacity of a received part to its length divided by this number. The state keeps
// the part for as long as the batch job exists, so unused capacity would be held that long too.
const maxUnusedShare = 8

// trim reallocates the newest part if growing it left too much unused capacity.
func (p *partialSnapshot) trim() {
	last := len(p.parts) - 1
	if last < 0 || cap(p.parts[last]) <= len(p.parts[last])+len(p.parts[last])/maxUnusedShare {
		return
	}
	exact := make([]byte, len(p.parts[last]))
	copy(exact, p.parts[last])
	p.parts[last] = exact
}

// add adds a chunk and returns the snapshot once it is complete, otherwise nil. Chunks have to arrive in order. A
// chunk out of order discards the partial snapshot, and the leader sends the snapshot again.
func (a *assembler) add(group uint32, chunk *wire.RaftSnapshot) *raft.Snapshot {
	partial := a.partial[group]
	if chunk.Chunk == 0 {
		partial = &partialSnapshot{index: chunk.Index, term: chunk.Term, chunkCount: max(1, chunk.ChunkCount)}
		a.partial[group] = partial
	}
	if partial == nil || partial.index != chunk.Index || partial.term != chunk.Term || partial.nextChunk != chunk.Chunk ||
		chunk.Chunk >= partial.chunkCount {
		delete(a.partial, group)
		return nil
	}
	partial.addChunk(chunk)
	partial.nextChunk++
	if partial.nextChunk < partial.chunkCount {
		return nil
	}
	delete(a.partial, group)
	partial.trim()
	return &raft.Snapshot{
		Index: chunk.Index,
		Term:  chunk.Term,
		Configuration: raft.Configuration{
			Voters:   chunk.Configuration.GetVoters(),
			Learners: chunk.Configuration.GetLearners(),
		},
		Data: partial.parts,
	}
}

package consensus

import (
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// chunkBytes is the size of one piece of a snapshot on its way to another node.
const chunkBytes = 512 << 10

// toWire encodes a message. The entries' data is shared; raft never changes it.
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

// snapshotChunks encodes a snapshot message as several, each with a piece of a part of the data.
func snapshotChunks(group uint32, message *raft.Message, partsAgreed bool) []*wire.RaftMessage {
	snapshot := message.Snapshot
	var chunks []*wire.RaftMessage
	add := func(data []byte, begins bool) {
		chunk := toWire(group, message)
		chunk.Snapshot = &wire.RaftSnapshot{
			Index: snapshot.Index,
			Term:  snapshot.Term,
			Configuration: &wire.RaftConfiguration{
				Voters:   snapshot.Configuration.Voters,
				Learners: snapshot.Configuration.Learners,
			},
			Data: data, Chunk: uint32(len(chunks)), BeginsPart: begins, PartsAgreed: partsAgreed,
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

// fromWire decodes a message from a node; one that cannot come from it is an error.
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

// assembler puts the chunks of snapshots that come over one stream together.
type assembler struct {
	partial map[uint32]*partialSnapshot // by group
}

type partialSnapshot struct {
	index, term uint64
	next, count uint32
	parts       raft.Parts
}

// take adds a chunk's data. It has memory of its own. One that begins no part goes on with the part before.
func (p *partialSnapshot) take(chunk *wire.RaftSnapshot) {
	if last := len(p.parts) - 1; last >= 0 && !chunk.BeginsPart {
		p.parts[last] = append(p.parts[last], chunk.Data...)
		return
	}
	p.trim()
	if len(chunk.Data) > 0 {
		p.parts = append(p.parts, chunk.Data)
	}
}

// trimShare is the part of a received part's size that may be lost to its growth: the state keeps the part for as long as the job.
const trimShare = 8

// trim gives back what the growth of the newest part took beyond its size.
func (p *partialSnapshot) trim() {
	last := len(p.parts) - 1
	if last < 0 || cap(p.parts[last]) <= len(p.parts[last])+len(p.parts[last])/trimShare {
		return
	}
	exact := make([]byte, len(p.parts[last]))
	copy(exact, p.parts[last])
	p.parts[last] = exact
}

// add returns the whole snapshot once its last chunk is there, else nil. Chunks come in order; one out of
// order drops what was gathered, and the leader sends the snapshot again.
func (a *assembler) add(group uint32, chunk *wire.RaftSnapshot) *raft.Snapshot {
	gathered := a.partial[group]
	if chunk.Chunk == 0 {
		gathered = &partialSnapshot{index: chunk.Index, term: chunk.Term, count: max(1, chunk.ChunkCount)}
		a.partial[group] = gathered
	}
	if gathered == nil || gathered.index != chunk.Index || gathered.term != chunk.Term || gathered.next != chunk.Chunk ||
		chunk.Chunk >= gathered.count {
		delete(a.partial, group)
		return nil
	}
	gathered.take(chunk)
	gathered.next++
	if gathered.next < gathered.count {
		return nil
	}
	delete(a.partial, group)
	gathered.trim()
	return &raft.Snapshot{
		Index: chunk.Index,
		Term:  chunk.Term,
		Configuration: raft.Configuration{
			Voters:   chunk.Configuration.GetVoters(),
			Learners: chunk.Configuration.GetLearners(),
		},
		Data: gathered.parts,
	}
}

package consensus

import (
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// assembler joins the snapshot chunks that arrive over one stream.
type assembler struct {
	partial map[uint32]*partialSnapshot // by group
}

type partialSnapshot struct {
	index, term           uint64
	nextChunk, chunkCount uint32
	parts                 [][]byte
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

// maxUnusedShare limits the unused capacity of a received part to its length divided by this number. A receiver holds all
// parts until they are stored, and unused capacity as long.
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
		Data: statepart.NewParts(partial.parts...),
	}
}

package sim

import (
	"fmt"

	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// tokenTruth is a run of tokens that an engine really generated for a sample.
type tokenTruth struct {
	engine  string
	version uint64
	first   int
	end     int
}

// generated: an engine makes tokens of a sample by the version that it serves.
func (t *truth) generated(g *generation, made *chunk) {
	t.tokens[g.sample] = append(t.tokens[g.sample], tokenTruth{engine: made.replica, version: made.version, first: made.offset, end: made.offset + made.count})
}

// really tells whether an engine generated a token of a sample by a version.
func (t *truth) really(sample string, token int, segment *wire.Segment) bool {
	for _, run := range t.tokens[sample] {
		if run.engine == segment.GetReplica() && run.version == segment.GetVersionNumber() && run.first <= token && token < run.end {
			return true
		}
	}
	return false
}

// obeyed: an engine acts on an order that carries a fencing token.
func (t *truth) obeyed(e *modelEngine, fence uint64) {
	owner := fmt.Sprintf("%s#%d", e.name, e.epoch) // an engine remembers no token over a restart
	t.examine(fenceOrder, fence >= t.fences[owner], "%s obeys an order with token %d after one with token %d", e.name, fence, t.fences[owner])
	t.fences[owner] = max(t.fences[owner], fence)
}

// handedOver: a coordinator gives samples away under a staleness bound.
func (t *truth) handedOver(c *coordinator, bound uint64) {
	floor := max(t.inForce, uint64(t.boundVersion))
	for version := floor; version <= uint64(len(t.accepted)); version++ {
		if t.bounds[version] == bound {
			t.examine(invariant.StalenessBound, true, "")
			return
		}
	}
	t.examine(invariant.StalenessBound, false, "%s hands samples over under the bound %d, which no table version from %d on has", c.name, bound, floor)
}

// received: a trainer has a batch.
func (t *truth) received(trainer *trainer, reply *fetchReply) {
	for _, sample := range reply.samples {
		t.samples++
		id := sample.GetId()
		before, twice := t.taken[id]
		t.examine(invariant.SampleOnce, !twice, "%s got sample %s at cursor %d and again at %d", trainer.name, id, before, reply.cursor)
		t.taken[id] = reply.cursor
		t.receivedVersions(trainer, sample)
		_, oldest := sampleTokens(sample)
		t.examine(invariant.StalenessBound, oldest+reply.bound >= trainer.version, "%s at version %d got sample %s of version %d under the bound %d",
			trainer.name, trainer.version, id, oldest, reply.bound)
	}
	if reply.complete {
		t.wholeStep(trainer, reply.step)
	}
}

// receivedVersions: every token was made by the version and replica that the sample names.
func (t *truth) receivedVersions(trainer *trainer, sample *wire.Sample) {
	next := 0
	for _, segment := range sample.GetSegments() {
		t.examine(invariant.SampleVersions, int(segment.GetFirstToken()) == next, "sample %s has a segment at token %d, not %d", sample.GetId(), segment.GetFirstToken(), next)
		for range segment.GetTokenCount() {
			t.examine(invariant.SampleVersions, t.really(sample.GetId(), next, segment), "%s got sample %s, whose token %d was not made by version %d of %s",
				trainer.name, sample.GetId(), next, segment.GetVersionNumber(), segment.GetReplica())
			next++
		}
	}
	t.examine(invariant.SampleVersions, next == sampleLength(sample.GetId()), "sample %s has %d tokens, not %d", sample.GetId(), next, sampleLength(sample.GetId()))
}

// wholeStep: a step that is said to be complete is.
func (t *truth) wholeStep(trainer *trainer, step uint64) {
	for _, prompt := range stepPrompts(step) {
		for index := range uint32(samplesPerPrompt) {
			id := ledger.SlotID{Trainer: trainer.name, Step: step, Prompt: prompt.GetId(), Index: index}.String()
			_, taken := t.taken[id]
			t.examine(invariant.SampleOnce, taken, "%s was told that step %d is complete, but has no sample %s", trainer.name, step, id)
		}
	}
}

package sim

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	streamSilenceLimit = 1500 * time.Millisecond
	storeRetryInterval = 200 * time.Millisecond
)

// sampleRun is one attempt at generating a sample.
type sampleRun struct {
	coordinator    *coordinator
	owned          *ownedTrainer
	id             rollout.SampleID
	edition        uint32
	tokens         int
	segments       []*wire.Segment
	generation     *generation
	lastChunkAt    time.Duration
	complete       bool
	versionAtStart uint64 // the engine's weight version when the run began; only used by the mutation VersionAskedBefore
}

// schedule starts samples and drives the weight wave at regular intervals.
func (c *coordinator) schedule() {
	if bound, leased := c.currentBound(); leased && !c.draining {
		for _, t := range c.fleet.trainers {
			if c.ownedTrainers[t.name] != nil {
				c.scheduler.Released(c.clock(), t.name, c.availableVersion())
			}
		}
		for _, start := range c.scheduler.Next(c.clock(), rollout.Capacity{Slots: rolloutSlots, StalenessBound: bound}) {
			c.startSample(start)
		}
		c.dropExpired(bound)
		c.driveWave()
	}
	c.after(scheduleInterval, c.schedule)
}

// dropExpired drops the tokens of unfinished samples that would be too old when they are used.
func (c *coordinator) dropExpired(bound uint64) {
	for _, id := range c.scheduler.Expired(bound) {
		run, partial := c.runs[id], c.partialRuns[id.String()]
		switch {
		case run != nil && run.complete:
			continue // the ledger may already have the sample, and the next fetch discards it
		case run != nil:
			c.dropRun(run)
			c.scheduler.Discarded(c.clock(), id, run.edition)
		case partial != nil:
			delete(c.partialRuns, id.String())
			c.scheduler.Discarded(c.clock(), id, partial.edition)
		}
	}
}

func (c *coordinator) startSample(start rollout.Start) {
	t := c.ownedTrainers[start.ID.Trainer]
	if t == nil {
		c.scheduler.Forget(start.ID.Trainer)
		return
	}
	run := &sampleRun{coordinator: c, owned: t, id: start.ID, edition: start.Edition}
	run.edition = max(start.Edition, editionOf(t.view, start.ID.String()))
	if partial := c.partialRuns[start.ID.String()]; partial != nil && start.PrefixTokens > 0 && partial.edition == run.edition {
		run.tokens, run.segments = partial.tokens, partial.segments
	}
	delete(c.partialRuns, start.ID.String())
	c.runs[start.ID] = run
	c.tracef("starts sample %s, edition %d, at token %d", start.ID, run.edition, run.tokens)
	run.generate()
}

// editionOf returns a slot's edition in the last view of the ledger.
func editionOf(view *wire.TrainerView, id string) uint32 {
	for _, step := range view.GetSteps() {
		for _, edition := range step.GetEditions() {
			if edition.GetId() == id {
				return edition.GetEdition()
			}
		}
	}
	return 0
}

// generate asks a random engine for the rest of the sample.
func (r *sampleRun) generate() {
	c := r.coordinator
	e := c.fleet.engines[c.world.random.Intn(len(c.fleet.engines))]
	epoch := e.epoch
	g := &generation{sample: r.id.String(), edition: r.edition, offset: r.tokens, chunks: c.world.network.openStream(e.process, c.currentRun()), receive: r.receiveChunk}
	if c.world.hasMutation(ContinueFromWrongOffset) && r.tokens > 0 {
		g.offset = max(0, r.tokens-1)
	}
	if c.world.hasMutation(VersionAskedBefore) {
		r.versionAtStart = e.version
	}
	r.generation, r.lastChunkAt = g, c.clock()
	c.world.network.sendOnce(c.process, e.process, func() {
		if e.epoch == epoch {
			e.generate(g)
		}
	})
	r.watch(g)
}

// watch interrupts a run whose engine has been silent for longer than streamSilenceLimit.
func (r *sampleRun) watch(g *generation) {
	c := r.coordinator
	c.after(streamSilenceLimit/2, func() {
		if r.generation != g || r.complete || !r.isCurrent() {
			return
		}
		if c.clock()-r.lastChunkAt > streamSilenceLimit {
			r.interrupt()
			return
		}
		r.watch(g)
	})
}

func (r *sampleRun) isCurrent() bool { return r.coordinator.runs[r.id] == r }

// interrupt ends the attempt. The sample resumes from its tokens at another engine.
func (r *sampleRun) interrupt() {
	c := r.coordinator
	c.tracef("sample %s stops at token %d", r.id, r.tokens)
	r.generation.stopped = true
	delete(c.runs, r.id)
	if c.scheduler.Interrupted(c.clock(), r.id) == r.tokens {
		c.partialRuns[r.id.String()] = r
	}
}

// dropRun stops an attempt that is no longer needed.
func (c *coordinator) dropRun(r *sampleRun) {
	r.generation.stopped = true
	delete(c.runs, r.id)
}

// runsOf returns the attempts for a trainer, in the order of their sample ids.
func (c *coordinator) runsOf(t *ownedTrainer) []*sampleRun {
	var runs []*sampleRun
	for _, run := range c.runs {
		if run.owned == t {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *sampleRun) int { return strings.Compare(a.id.String(), b.id.String()) })
	return runs
}

// receiveChunk appends a chunk with the weight version that the engine states for it.
func (r *sampleRun) receiveChunk(made chunk) {
	c := r.coordinator
	if !r.isCurrent() || r.complete || r.generation.stopped {
		return
	}
	r.lastChunkAt = c.clock()
	if made.offset != r.tokens && !c.world.hasMutation(ContinueFromWrongOffset) {
		r.interrupt()
		return
	}
	version := made.version
	if c.world.hasMutation(VersionAskedBefore) {
		version = r.versionAtStart
	}
	r.appendTokens(made.replica, version, made.count)
	c.scheduler.Progress(c.clock(), r.id, r.tokens, version)
	if made.last {
		r.complete = true
		r.store()
	}
}

func (r *sampleRun) appendTokens(replica string, version uint64, count int) {
	if last := len(r.segments) - 1; last >= 0 && r.segments[last].VersionNumber == version && r.segments[last].Replica == replica {
		grown := &wire.Segment{VersionNumber: version, Replica: replica, FirstToken: r.segments[last].FirstToken,
			TokenCount: r.segments[last].TokenCount + uint32(count)}
		r.segments = append(append([]*wire.Segment(nil), r.segments[:last]...), grown)
	} else {
		r.segments = append(r.segments, &wire.Segment{VersionNumber: version, Replica: replica, FirstToken: uint32(r.tokens), TokenCount: uint32(count)})
	}
	r.tokens += count
}

// store writes the sample to the ledger. The sample counts as finished only after that.
func (r *sampleRun) store() {
	c := r.coordinator
	sample := &wire.Sample{Id: r.id.String(), Trainer: r.id.Trainer, Step: r.id.Step, PromptId: r.id.Prompt, Index: r.id.Index,
		Segments: r.segments, Edition: r.edition}
	command := &wire.Command{Kind: &wire.Command_SampleStore{SampleStore: &wire.SampleStore{Sample: sample, Owner: c.owner(), Fence: r.owned.fence}}}
	c.execute(r.owned, command, func(result *wire.SampleResult) {
		switch {
		case !r.isCurrent():
		case result == nil:
			c.after(storeRetryInterval, func() {
				if r.isCurrent() {
					r.store()
				}
			})
		case !result.GetAccepted():
			c.releaseTrainer(r.owned, result.GetReason())
		default:
			tokens, oldest := summarizeSegments(sample)
			r.owned.ledgerEditions[sample.Id] = sample.Edition
			delete(c.runs, r.id)
			c.scheduler.Finished(c.clock(), r.id, tokens, oldest)
		}
	})
}

package sim

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	streamSilence = 1500 * time.Millisecond
	storeRetry    = 200 * time.Millisecond
)

// sampleRun is one attempt at a sample.
type sampleRun struct {
	coordinator *coordinator
	owned       *ownedTrainer
	id          rollout.SampleID
	edition     uint32
	tokens      int
	segments    []*wire.Segment
	generation  *generation
	heard       time.Duration
	whole       bool
	asked       uint64 // the engine's version when the run began
}

// schedule starts samples and drives the wave, again and again.
func (c *coordinator) schedule() {
	if bound, leased := c.bound(); leased && !c.draining {
		for _, t := range c.fleet.trainers {
			if c.owned[t.name] != nil {
				c.scheduler.Released(c.clock(), t.name, c.available())
			}
		}
		for _, start := range c.scheduler.Next(c.clock(), rollout.Room{Slots: rolloutSlots, StalenessBound: bound}) {
			c.startSample(start)
		}
		c.expire(bound)
		c.driveWave()
	}
	c.after(scheduleEvery, c.schedule)
}

// expire drops the tokens of unfinished samples that will be too old when they are used.
func (c *coordinator) expire(bound uint64) {
	for _, id := range c.scheduler.Expired(bound) {
		run, kept := c.running[id], c.partials[id.String()]
		switch {
		case run != nil && run.whole:
			continue // the ledger may have it: the next fetch discards it
		case run != nil:
			c.dropRun(run)
			c.scheduler.Discarded(c.clock(), id, run.edition)
		case kept != nil:
			delete(c.partials, id.String())
			c.scheduler.Discarded(c.clock(), id, kept.edition)
		}
	}
}

func (c *coordinator) startSample(start rollout.Start) {
	t := c.owned[start.ID.Trainer]
	if t == nil {
		c.scheduler.Forget(start.ID.Trainer)
		return
	}
	run := &sampleRun{coordinator: c, owned: t, id: start.ID, edition: start.Edition}
	run.edition = max(start.Edition, editionOf(t.view, start.ID.String()))
	if kept := c.partials[start.ID.String()]; kept != nil && start.PrefixTokens > 0 && kept.edition == run.edition {
		run.tokens, run.segments = kept.tokens, kept.segments
	}
	delete(c.partials, start.ID.String())
	c.running[start.ID] = run
	c.tracef("starts sample %s, edition %d, at token %d", start.ID, run.edition, run.tokens)
	run.generate()
}

// editionOf is a slot's edition as the ledger last told.
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

// generate asks an engine for the rest of the sample.
func (r *sampleRun) generate() {
	c := r.coordinator
	e := c.fleet.engines[c.world.random.Intn(len(c.fleet.engines))]
	epoch := e.epoch
	g := &generation{sample: r.id.String(), edition: r.edition, offset: r.tokens, out: c.world.network.open(e.process, c.thisRun()), take: r.take}
	if c.world.mutated(ContinueFromWrongOffset) && r.tokens > 0 {
		g.offset = max(0, r.tokens-1)
	}
	if c.world.mutated(VersionAskedBefore) {
		r.asked = e.version
	}
	r.generation, r.heard = g, c.clock()
	c.world.network.once(c.process, e.process, func() {
		if e.epoch == epoch {
			e.generate(g)
		}
	})
	r.watch(g)
}

// watch interrupts a run whose engine is silent.
func (r *sampleRun) watch(g *generation) {
	c := r.coordinator
	c.after(streamSilence/2, func() {
		if r.generation != g || r.whole || !r.current() {
			return
		}
		if c.clock()-r.heard > streamSilence {
			r.interrupted()
			return
		}
		r.watch(g)
	})
}

func (r *sampleRun) current() bool { return r.coordinator.running[r.id] == r }

// interrupted ends the attempt; the sample goes on from its tokens at another engine.
func (r *sampleRun) interrupted() {
	c := r.coordinator
	c.tracef("sample %s stops at token %d", r.id, r.tokens)
	r.generation.stopped = true
	delete(c.running, r.id)
	if c.scheduler.Interrupted(c.clock(), r.id) == r.tokens {
		c.partials[r.id.String()] = r
	}
}

// dropRun stops an attempt that no longer counts.
func (c *coordinator) dropRun(r *sampleRun) {
	r.generation.stopped = true
	delete(c.running, r.id)
}

// runsOf lists the attempts for a trainer, in the order of their ids.
func (c *coordinator) runsOf(t *ownedTrainer) []*sampleRun {
	var runs []*sampleRun
	for _, run := range c.running {
		if run.owned == t {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *sampleRun) int { return strings.Compare(a.id.String(), b.id.String()) })
	return runs
}

// take adds a chunk with the version that the engine states for it.
func (r *sampleRun) take(made chunk) {
	c := r.coordinator
	if !r.current() || r.whole || r.generation.stopped {
		return
	}
	r.heard = c.clock()
	if made.offset != r.tokens && !c.world.mutated(ContinueFromWrongOffset) {
		r.interrupted()
		return
	}
	version := made.version
	if c.world.mutated(VersionAskedBefore) {
		version = r.asked
	}
	r.add(made.replica, version, made.count)
	c.scheduler.Progress(c.clock(), r.id, r.tokens, version)
	if made.last {
		r.whole = true
		r.store()
	}
}

func (r *sampleRun) add(replica string, version uint64, count int) {
	if last := len(r.segments) - 1; last >= 0 && r.segments[last].VersionNumber == version && r.segments[last].Replica == replica {
		grown := &wire.Segment{VersionNumber: version, Replica: replica, FirstToken: r.segments[last].FirstToken,
			TokenCount: r.segments[last].TokenCount + uint32(count)}
		r.segments = append(append([]*wire.Segment(nil), r.segments[:last]...), grown)
	} else {
		r.segments = append(r.segments, &wire.Segment{VersionNumber: version, Replica: replica, FirstToken: uint32(r.tokens), TokenCount: uint32(count)})
	}
	r.tokens += count
}

// store keeps the sample in the ledger; it counts as finished only then.
func (r *sampleRun) store() {
	c := r.coordinator
	sample := &wire.Sample{Id: r.id.String(), Trainer: r.id.Trainer, Step: r.id.Step, PromptId: r.id.Prompt, Index: r.id.Index,
		Segments: r.segments, Edition: r.edition}
	command := &wire.Command{Kind: &wire.Command_SampleStore{SampleStore: &wire.SampleStore{Sample: sample, Owner: c.owner(), Fence: r.owned.fence}}}
	c.execute(r.owned, command, func(result *wire.SampleResult) {
		switch {
		case !r.current():
		case result == nil:
			c.after(storeRetry, func() {
				if r.current() {
					r.store()
				}
			})
		case !result.GetAccepted():
			c.depose(r.owned, result.GetReason())
		default:
			tokens, oldest := sampleTokens(sample)
			r.owned.known[sample.Id] = sample.Edition
			delete(c.running, r.id)
			c.scheduler.Finished(c.clock(), r.id, tokens, oldest)
		}
	})
}

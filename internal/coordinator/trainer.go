package coordinator

import (
	"context"
	"strings"

	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// trainerState is one trainer that this coordinator owns. Its fields are guarded by the server's mutex,
// except those that never change.
type trainerState struct {
	name    string
	group   uint32 // ledger group
	fence   uint64
	context context.Context // ends when the trainer is given up
	cancel  context.CancelFunc

	delivery *delivery
	partials map[string]*partial // kept tokens of interrupted samples, by sample id
	changed  chan struct{}       // closed and replaced when a waiting fetch should look again
	turn     *turn               // of the fetch being served
	version  uint64              // named by the last fetch
	account  trainerAccount
	// served is the fetch for which the ledger knows that the sealed batch may be handed over.
	served  fetchMark
	sealing bool // a batch is on its way to the ledger: nothing may be discarded
	// lastOpened is the highest step known to have been opened, 0 when unknown: one at or below it that is
	// not open may have been delivered.
	lastOpened uint64
}

// partial is the part of a sample that is generated.
type partial struct {
	text     strings.Builder
	tokens   int
	segments []*wire.Segment
	cache    *kvCache // of the tokens, at a replica that waits for the continuation; nil when none
}

// add appends tokens of one version made by one replica.
func (p *partial) add(text string, tokens int, version string, number uint64, replica string) {
	p.text.WriteString(text)
	if last := len(p.segments) - 1; last >= 0 {
		segment := p.segments[last]
		if segment.WeightVersion == version && segment.VersionNumber == number && segment.Replica == replica {
			segment.TokenCount += uint32(tokens)
			p.tokens += tokens
			return
		}
	}
	p.segments = append(p.segments, &wire.Segment{WeightVersion: version, VersionNumber: number,
		FirstToken: uint32(p.tokens), TokenCount: uint32(tokens), Replica: replica})
	p.tokens += tokens
}

// notify wakes the waiting fetch.
func (t *trainerState) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// turn is the right to serve a trainer's fetch. A trainer that fetches again has given its earlier call up.
type turn struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// takeTurn ends the fetch served before and returns once it is over. The context ends when a later fetch
// takes the turn, the trainer is given up or the caller is gone. The returned function gives the turn back.
func (s *Server) takeTurn(ctx context.Context, t *trainerState) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(t.context, cancel)
	mine := &turn{cancel: cancel, done: make(chan struct{})}
	s.mutex.Lock()
	before := t.turn
	t.turn = mine
	s.mutex.Unlock()
	if before != nil {
		before.cancel()
		<-before.done
	}
	return ctx, func() {
		stop()
		cancel()
		close(mine.done)
	}
}

// scheduleStep gives a step to its pool's scheduler, with what the ledger holds of it. The caller holds the
// mutex.
func (s *Server) scheduleStep(t *trainerState, step *deliveryStep) {
	if step.scheduled {
		return
	}
	now := s.now()
	p := s.pool(step.open.GetPool())
	plan := rollout.Step{Trainer: t.name, Number: step.open.GetStep(), SamplesPerPrompt: int(step.open.GetSamplesPerPrompt())}
	for _, prompt := range step.open.GetPrompts() {
		plan.Prompts = append(plan.Prompts, rollout.Prompt{ID: prompt.GetId(), MaxTokens: int(prompt.GetMaxTokens())})
	}
	if err := p.scheduler.OpenStep(now, plan); err != nil {
		s.config.Log.WithError(err).Warnf("step %d of trainer %s cannot be scheduled", plan.Number, t.name)
		return
	}
	step.scheduled = true
	for _, text := range step.ids {
		slot := step.slots[text]
		if slot.sample == nil && !slot.delivered {
			continue
		}
		tokens, oldest := sampleTokens(slot.sample)
		p.scheduler.Finished(now, rolloutID(slot.id), tokens, oldest)
	}
}

func rolloutID(id ledger.SlotID) rollout.SampleID {
	return rollout.SampleID{Trainer: id.Trainer, Step: id.Step, Prompt: id.Prompt, Index: id.Index}
}

func ledgerID(id rollout.SampleID) ledger.SlotID {
	return ledger.SlotID{Trainer: id.Trainer, Step: id.Step, Prompt: id.Prompt, Index: id.Index}
}

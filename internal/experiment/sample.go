package experiment

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/routing"
)

// promptGroup is one prompt and what its samples share.
type promptGroup struct {
	tokens int
	hashes []uint64
	blocks []uint64 // of hashes, those that routing compares
}

// sample is one slot of a step: the truth about its length, and what has been generated.
type sample struct {
	coordinator *coordinator
	trainer     *trainer
	step        *trainerStep
	id          rollout.SampleID
	group       *promptGroup
	length      int
	generated   int
	oldest      uint64 // trainer version of the oldest kept token; meaningful when generated > 0
	done        bool   // scored and reported
	edition     uint32

	gateway    *gateway
	admission  uint64 // identity at the gateway's queue; 0 while not running
	current    *attempt
	reportedAt time.Duration
	exported   int // tokens of context whose KV cache was exported when the sample was moved
}

// moveAway takes the sample off its replica, with its KV cache where that is on; it goes on elsewhere.
func (p *sample) moveAway() {
	s := p.coordinator.simulation
	if !s.policy.off(MechanismTransfer) {
		one := p.current
		if exported, err := one.replica.engine.Export(s.now, one.id); err == nil {
			p.exported = exported.Tokens
			delete(one.replica.attempts, one.id)
			s.wakeForEvent(one.replica)
		}
	}
	s.measure.moved(s.now)
	p.interrupt()
}

// start asks a gateway for a slot.
func (p *sample) start(start rollout.Start) {
	c := p.coordinator
	s := c.simulation
	p.gateway = s.gateways[c.gateways%len(s.gateways)]
	c.gateways++
	s.requests++
	p.admission = s.requests
	identity := p.admission
	current := func(run func()) func() {
		return func() {
			if p.admission == identity {
				run()
			}
		}
	}
	request := admission.Request{
		ID: identity, Class: classRollout, Rollout: true, Preemptible: true, Deadline: s.scenario.Duration + time.Hour,
		Resumed: start.PrefixTokens > 0,
	}
	s.admit(p.gateway, request, &ask{
		granted: current(func() { p.send(start) }),
		refused: func(retryAfter time.Duration) { current(func() { p.refused(retryAfter) })() },
		yield:   current(p.yield),
	})
}

func (p *sample) send(start rollout.Start) {
	s := p.coordinator.simulation
	wanted := p.length - p.generated
	if wanted == 0 { // the last token came just before the interruption
		p.finished()
		return
	}
	request := routing.Request{Work: float64(start.PredictedTokens - start.PrefixTokens), Blocks: p.group.blocks}
	work := engine.Request{
		Priority: priorityRollout, PromptTokens: p.group.tokens + p.generated, OutputTokens: wanted, Prefix: p.group.hashes,
		ImportedTokens: p.exported,
	}
	sent, chosen := s.send(p.gateway, p, request, work)
	if !chosen {
		p.refused(coordinatorTick)
		return
	}
	p.current, p.exported = sent, 0
	p.reportedAt = -progressInterval
}

// refused puts the sample back and holds new ones for a while.
func (p *sample) refused(retryAfter time.Duration) {
	c := p.coordinator
	c.holdUntil = max(c.holdUntil, c.simulation.now+min(retryAfter, time.Second))
	p.interrupt()
}

func (p *sample) yield() {
	p.coordinator.simulation.measure.yielded(p.coordinator.simulation.now)
	p.interrupt()
}

// interrupt ends the running attempt; the scheduler says how many tokens are kept.
func (p *sample) interrupt() {
	if p.admission == 0 || p.done {
		return
	}
	p.stop()
	c := p.coordinator
	c.scheduler.Progress(c.simulation.now, p.id, p.generated, p.oldest)
	if c.scheduler.Interrupted(c.simulation.now, p.id) == 0 {
		p.drop()
	}
}

// stop gives the slot back and cancels the attempt.
func (p *sample) stop() {
	s := p.coordinator.simulation
	if p.current != nil {
		s.advance(p.current.replica)
		s.cancel(p.current)
		p.current = nil
	}
	if p.admission != 0 {
		identity := p.admission
		p.admission = 0
		s.leave(p.gateway, identity)
	}
}

// drop throws the tokens away.
func (p *sample) drop() {
	p.coordinator.simulation.measure.thrownAway(p.coordinator.simulation.now, p.generated)
	p.generated = 0
}

// discard throws a sample away that is too old, so that it is generated again.
func (p *sample) discard() {
	p.stop()
	p.drop()
	if p.done {
		p.done = false
		p.step.finished--
	}
	p.edition++
	p.coordinator.scheduler.Discarded(p.coordinator.simulation.now, p.id, p.edition)
}

// tokens implements receiver.
func (p *sample) tokens(_ time.Duration, count int, version uint64) {
	c := p.coordinator
	s := c.simulation
	if p.current == nil {
		return
	}
	number := s.weights.trainerVersion(version, p.trainer.index)
	if p.generated == 0 || number < p.oldest {
		p.oldest = number
	}
	p.generated += count
	s.measure.rolloutTokens(s.now, count)
	if s.now-p.reportedAt >= progressInterval {
		p.reportedAt = s.now
		c.scheduler.Progress(s.now, p.id, p.generated, number)
	}
}

// finished implements receiver: the scorer is next.
func (p *sample) finished() {
	s := p.coordinator.simulation
	p.current = nil
	p.stop()
	edition := p.edition
	s.at(max(s.now, s.scorerUntil)+p.trainer.spec.ScoreTime, func() {
		if p.edition == edition {
			p.scored()
		}
	})
}

func (p *sample) scored() {
	c := p.coordinator
	p.done = true
	p.step.finished++
	c.scheduler.Finished(c.simulation.now, p.id, p.generated, p.oldest)
	p.trainer.tryDeliver()
	c.dispatch()
}

// lost implements receiver: the tokens that were streamed before are kept if the policy keeps any.
func (p *sample) lost() {
	p.current = nil
	p.interrupt()
	p.coordinator.simulation.after(coordinatorTick, p.coordinator.dispatch)
}

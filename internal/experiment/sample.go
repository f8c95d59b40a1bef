package experiment

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/routing"
)

// promptGroup is a prompt that the samples of a group share.
type promptGroup struct {
	promptTokens  int
	blockHashes   []uint64
	routingBlocks []uint64 // the subset of blockHashes that routing compares
}

// sample is one sample of a step. Its final length is fixed when the step opens, but unknown to the scheduler.
type sample struct {
	coordinator     *coordinator
	trainer         *trainer
	step            *trainerStep
	id              rollout.SampleID
	group           *promptGroup
	targetTokens    int
	generatedTokens int
	oldestVersion   uint64 // trainer's weight version of the oldest kept token; undefined if generatedTokens is 0
	scored          bool   // and reported to the scheduler as finished
	edition         uint32

	gateway        *gateway
	admissionID    uint64 // request ID in the gateway's admission queue; 0 while neither queued nor running
	current        *attempt
	reportedAt     time.Duration
	exportedTokens int // context tokens in the KV cache that was exported when the sample was migrated
}

// migrate interrupts the sample on its leaving replica, so that it continues on another one. Unless the transfer
// mechanism is disabled, its KV cache is exported first.
func (p *sample) migrate() {
	s := p.coordinator.simulation
	if !s.policy.isDisabled(MechanismTransfer) {
		one := p.current
		if exported, err := one.replica.engine.Export(s.now, one.id); err == nil {
			p.exportedTokens = exported.Tokens
			delete(one.replica.attempts, one.id)
			s.wakeForEvent(one.replica)
		}
	}
	s.measurement.countMigration(s.now)
	p.interrupt()
}

// start requests admission at the next gateway. Callbacks of an admission that has ended since are ignored.
func (p *sample) start(start rollout.Start) {
	c := p.coordinator
	s := c.simulation
	p.gateway = s.gateways[c.gatewayCursor%len(s.gateways)]
	c.gatewayCursor++
	s.lastRequestID++
	p.admissionID = s.lastRequestID
	identity := p.admissionID
	ifCurrent := func(run func()) func() {
		return func() {
			if p.admissionID == identity {
				run()
			}
		}
	}
	request := admission.Request{
		ID: identity, Class: classRollout, Rollout: true, Preemptible: true, Deadline: s.scenario.Duration + time.Hour,
		Resumed: start.PrefixTokens > 0,
	}
	s.admit(p.gateway, request, &admissionCallbacks{
		onGranted:  ifCurrent(func() { p.send(start) }),
		onRejected: func(retryAfter time.Duration) { ifCurrent(func() { p.handleRejection(retryAfter) })() },
		onPreempt:  ifCurrent(p.preempt),
	})
}

func (p *sample) send(start rollout.Start) {
	s := p.coordinator.simulation
	remaining := p.targetTokens - p.generatedTokens
	if remaining == 0 { // interrupted after the last token but before the end arrived
		p.onFinished()
		return
	}
	request := routing.Request{Work: float64(start.PredictedTokens - start.PrefixTokens), Blocks: p.group.routingBlocks}
	engineRequest := engine.Request{
		Priority: priorityRollout, PromptTokens: p.group.promptTokens + p.generatedTokens, OutputTokens: remaining,
		Prefix: p.group.blockHashes, ImportedTokens: p.exportedTokens,
	}
	sent, chosen := s.routeToReplica(p.gateway, p, request, engineRequest)
	if !chosen {
		p.handleRejection(coordinatorTickInterval)
		return
	}
	p.current, p.exportedTokens = sent, 0
	p.reportedAt = -progressInterval
}

// handleRejection returns the sample to the scheduler and holds back new samples for retryAfter, at most one second.
func (p *sample) handleRejection(retryAfter time.Duration) {
	c := p.coordinator
	c.holdUntil = max(c.holdUntil, c.simulation.now+min(retryAfter, time.Second))
	p.interrupt()
}

func (p *sample) preempt() {
	p.coordinator.simulation.measurement.countSlotPreemption(p.coordinator.simulation.now)
	p.interrupt()
}

// interrupt ends the running attempt. The scheduler decides whether the generated tokens are kept.
func (p *sample) interrupt() {
	if p.admissionID == 0 || p.scored {
		return
	}
	p.stopAttempt()
	c := p.coordinator
	c.scheduler.Progress(c.simulation.now, p.id, p.generatedTokens, p.oldestVersion)
	if c.scheduler.Interrupted(c.simulation.now, p.id) == 0 {
		p.dropTokens()
	}
}

// stopAttempt cancels the attempt and releases the slot.
func (p *sample) stopAttempt() {
	s := p.coordinator.simulation
	if p.current != nil {
		s.advance(p.current.replica)
		s.cancel(p.current)
		p.current = nil
	}
	if p.admissionID != 0 {
		identity := p.admissionID
		p.admissionID = 0
		s.withdraw(p.gateway, identity)
	}
}

// dropTokens discards the generated tokens.
func (p *sample) dropTokens() {
	p.coordinator.simulation.measurement.addDiscardedTokens(p.coordinator.simulation.now, p.generatedTokens)
	p.generatedTokens = 0
}

// discard drops a sample that exceeds the staleness bound, so that it is generated again.
func (p *sample) discard() {
	p.stopAttempt()
	p.dropTokens()
	if p.scored {
		p.scored = false
		p.step.finished--
	}
	p.edition++
	p.coordinator.scheduler.Discarded(p.coordinator.simulation.now, p.id, p.edition)
}

// onTokens implements receiver.
func (p *sample) onTokens(_ time.Duration, count int, version uint64) {
	c := p.coordinator
	s := c.simulation
	if p.current == nil {
		return
	}
	number := s.weights.trainerVersion(version, p.trainer.index)
	if p.generatedTokens == 0 || number < p.oldestVersion {
		p.oldestVersion = number
	}
	p.generatedTokens += count
	s.measurement.addRolloutTokens(s.now, count)
	if s.now-p.reportedAt >= progressInterval {
		p.reportedAt = s.now
		c.scheduler.Progress(s.now, p.id, p.generatedTokens, number)
	}
}

// onFinished implements receiver. It releases the slot and schedules the scoring of the sample.
func (p *sample) onFinished() {
	s := p.coordinator.simulation
	p.current = nil
	p.stopAttempt()
	edition := p.edition
	s.at(max(s.now, s.scorerStalledUntil)+p.trainer.spec.ScoreTime, func() {
		if p.edition == edition {
			p.handleScore()
		}
	})
}

func (p *sample) handleScore() {
	c := p.coordinator
	p.scored = true
	p.step.finished++
	c.scheduler.Finished(c.simulation.now, p.id, p.generatedTokens, p.oldestVersion)
	p.trainer.tryDeliver()
	c.dispatch()
}

// onLost implements receiver. Tokens streamed before the loss are kept if the policy keeps tokens of interrupted
// samples.
func (p *sample) onLost() {
	p.current = nil
	p.interrupt()
	p.coordinator.simulation.after(coordinatorTickInterval, p.coordinator.dispatch)
}

package experiment

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// liveAttempts is how many replicas a live call is tried on.
const liveAttempts = 3

// liveCall is one call of live traffic, from its arrival at a gateway to its answer.
type liveCall struct {
	simulation *simulation
	gateway    *gateway
	admission  uint64
	arrived    time.Duration
	call       workload.Call
	prefix     []uint64
	excluded   []int
	current    *attempt
	firstToken time.Duration
	inWave     bool // new weights were on their way to some replica when it arrived
}

// scheduleCall sets the next call of a source.
func (s *simulation) scheduleCall(generator *workload.Generator) {
	call := generator.Next()
	if call.At > s.scenario.Duration {
		return
	}
	s.at(call.At, func() {
		s.arrive(call)
		s.scheduleCall(generator)
	})
}

func (s *simulation) arrive(call workload.Call) {
	source := &s.scenario.Live[call.Source]
	s.requests++
	one := &liveCall{
		simulation: s, gateway: s.gateways[s.random.IntN(len(s.gateways))], admission: s.requests, arrived: s.now, call: call,
		inWave: s.weights.spreading(),
	}
	if call.Prefix >= 0 {
		name := uint64(call.Source+1)<<32 | uint64(call.Prefix)
		one.prefix = blockHashes(name, source.Sharing.PrefixTokens, s.scenario.Fleet.Engine.BlockTokens)
		one.call.PromptTokens += source.Sharing.PrefixTokens
	}
	s.measure.liveArrived(s.now)
	request := admission.Request{ID: one.admission, Class: classLive, Deadline: s.now + source.Deadline}
	s.admit(one.gateway, request, &ask{granted: one.send, refused: func(time.Duration) { s.measure.liveRefused(s.now) }})
}

func (l *liveCall) send() {
	s := l.simulation
	request := routing.Request{
		Work: float64(l.call.OutputTokens), Urgent: true, Excluded: l.excluded,
		Blocks: routingBlocks(l.prefix, s.scenario.Fleet.Engine.BlockTokens),
	}
	work := engine.Request{
		Priority: priorityLive, PromptTokens: l.call.PromptTokens, OutputTokens: l.call.OutputTokens, Prefix: l.prefix,
	}
	sent, chosen := s.send(l.gateway, l, request, work)
	if !chosen {
		l.fail()
		return
	}
	l.current = sent
}

// tokens implements receiver.
func (l *liveCall) tokens(first time.Duration, _ int, _ uint64) {
	if l.firstToken == 0 {
		l.firstToken = first + l.current.delay
	}
}

// finished implements receiver.
func (l *liveCall) finished() {
	s := l.simulation
	s.release(l.gateway, l.admission)
	s.measure.liveAnswered(l, s.now)
}

// lost implements receiver: the call is tried on another replica.
func (l *liveCall) lost() {
	l.excluded = append(l.excluded, l.current.replica.index)
	l.firstToken = 0
	if len(l.excluded) >= liveAttempts {
		l.fail()
		return
	}
	l.send()
}

func (l *liveCall) fail() {
	l.simulation.release(l.gateway, l.admission)
	l.simulation.measure.liveLost(l.simulation.now)
}

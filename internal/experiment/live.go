package experiment

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// maxLiveAttempts is the maximum number of replicas on which a live call is attempted.
const maxLiveAttempts = 3

// liveCall is the state of one live call, from its arrival at a gateway to its answer.
type liveCall struct {
	simulation        *simulation
	gateway           *gateway
	admissionID       uint64
	arrivedAt         time.Duration
	call              workload.Call
	prefixHashes      []uint64
	excludedReplicas  []int
	current           *attempt
	firstTokenAt      time.Duration
	arrivedDuringWave bool // some replica did not serve the newest weights yet
}

// scheduleCall schedules the next call of a source, if it arrives before the end of the run.
func (s *simulation) scheduleCall(generator *workload.Generator) {
	call := generator.Next()
	if call.At > s.scenario.Duration {
		return
	}
	s.at(call.At, func() {
		s.startLiveCall(call)
		s.scheduleCall(generator)
	})
}

func (s *simulation) startLiveCall(call workload.Call) {
	source := &s.scenario.Live[call.Source]
	s.lastRequestID++
	one := &liveCall{
		simulation: s, gateway: s.gateways[s.random.IntN(len(s.gateways))], admissionID: s.lastRequestID, arrivedAt: s.now,
		call: call, arrivedDuringWave: s.weights.isUpdating(),
	}
	if call.Prefix >= 0 {
		hashName := uint64(call.Source+1)<<32 | uint64(call.Prefix)
		one.prefixHashes = hashBlocks(hashName, source.Sharing.PrefixTokens, s.scenario.Fleet.Engine.BlockTokens)
		one.call.PromptTokens += source.Sharing.PrefixTokens
	}
	s.measurement.countLiveArrival(s.now)
	request := admission.Request{ID: one.admissionID, Class: classLive, Deadline: s.now + source.Deadline}
	s.admit(one.gateway, request, &admissionCallbacks{
		onGranted: one.send, onRejected: func(time.Duration) { s.measurement.countLiveRejection(s.now) }})
}

func (l *liveCall) send() {
	s := l.simulation
	request := routing.Request{
		Work: float64(l.call.OutputTokens), Urgent: true, Excluded: l.excludedReplicas,
		Blocks: selectRoutingBlocks(l.prefixHashes, s.scenario.Fleet.Engine.BlockTokens),
	}
	engineRequest := engine.Request{
		Priority: priorityLive, PromptTokens: l.call.PromptTokens, OutputTokens: l.call.OutputTokens, Prefix: l.prefixHashes,
	}
	sent, chosen := s.routeToReplica(l.gateway, l, request, engineRequest)
	if !chosen {
		l.fail()
		return
	}
	l.current = sent
}

// onTokens implements receiver.
func (l *liveCall) onTokens(first time.Duration, _ int, _ uint64) {
	if l.firstTokenAt == 0 {
		l.firstTokenAt = first + l.current.oneWayDelay
	}
}

// onFinished implements receiver.
func (l *liveCall) onFinished() {
	s := l.simulation
	s.releaseSlot(l.gateway, l.admissionID)
	s.measurement.recordLiveAnswer(l, s.now)
}

// onLost implements receiver. It retries the call on another replica, up to maxLiveAttempts.
func (l *liveCall) onLost() {
	l.excludedReplicas = append(l.excludedReplicas, l.current.replica.index)
	l.firstTokenAt = 0
	if len(l.excludedReplicas) >= maxLiveAttempts {
		l.fail()
		return
	}
	l.send()
}

func (l *liveCall) fail() {
	l.simulation.releaseSlot(l.gateway, l.admissionID)
	l.simulation.measurement.countLiveLoss(l.simulation.now)
}

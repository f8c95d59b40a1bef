package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// Priorities of requests at the engines. A lower number is more urgent.
const (
	priorityLive    = 0
	priorityRollout = 1
)

// replica is a simulated engine and the attempts submitted to it.
type replica struct {
	index        int
	name         string
	zone         Zone
	engine       *engine.Engine
	attempts     map[uint64]*attempt // by attempt ID
	wakeAt       time.Duration
	wakePosition int // index in the wake heap, -1 if absent
	down         bool
	leaving      bool
}

// receiver gets the results of an attempt. It is implemented by live calls and samples. onFinished and onLost are
// called once the result has travelled back to the gateway. onTokens is called without that delay, because tokens
// are streamed and counted immediately.
type receiver interface {
	// onTokens reports count tokens generated under a weight version, the first of them at the time first.
	onTokens(first time.Duration, count int, version uint64)
	// onFinished reports that the answer is complete.
	onFinished()
	// onLost reports that the attempt ended without a complete answer.
	onLost()
}

// attempt is one submission of a request to one replica.
type attempt struct {
	id          uint64
	replica     *replica
	gateway     *gateway
	request     routing.Request
	receiver    receiver
	oneWayDelay time.Duration // between gateway and replica
	ended       bool
}

// simulation is the state of one run, which simulates one policy with one seed.
type simulation struct {
	eventQueue
	scenario           *Scenario
	policy             *Policy
	seed               uint64
	random             *rand.Rand
	replicas           []*replica
	replicaIndex       map[string]int // index in replicas by name
	gateways           []*gateway
	coordinator        *coordinator
	weights            *weightRollout
	measurement        *measurement
	reportLag          time.Duration
	scorerStalledUntil time.Duration
	lastRequestID      uint64
}

// Stream numbers of the random sources. Separate streams keep the draws of one component independent of how many
// values another component draws.
const (
	streamGateways = iota + 1
	streamTrainers
	streamFaults
	streamSamples
)

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func newSimulation(scenario *Scenario, policy *Policy, seed uint64) (*simulation, error) {
	s := &simulation{
		scenario: scenario, policy: policy, seed: seed, reportLag: scenario.Fleet.ReportLag,
		random: newRandom(seed, streamGateways), measurement: newMeasurement(scenario), replicaIndex: map[string]int{},
	}
	if err := s.addReplicas(); err != nil {
		return nil, err
	}
	s.addGateways()
	s.weights = newWeightRollout(s)
	s.coordinator = newCoordinator(s)
	for _, generator := range (workload.Workload{Sources: scenario.Live}).Generators(int64(seed)) {
		s.scheduleCall(generator)
	}
	s.scheduleReports()
	s.scheduleFaults()
	s.scheduleTimeline()
	return s, nil
}

// run simulates up to the end of the scenario. It calls progress periodically with the current virtual time. It fails
// only if ctx ends.
func (s *simulation) run(ctx context.Context, progress func(time.Duration)) error {
	const eventsPerCheck = 4096
	for events := 0; ; events++ {
		if events%eventsPerCheck == 0 {
			if err := ctx.Err(); err != nil {
				return trace.Wrap(err)
			}
			progress(s.now)
		}
		due, more := s.step(s.scenario.Duration)
		if !more {
			break
		}
		if due != nil {
			s.advance(due)
		}
	}
	s.now = s.scenario.Duration
	s.coordinator.close()
	return nil
}

func (s *simulation) addReplicas() error {
	for _, zone := range s.scenario.Fleet.Zones {
		for number := range zone.Replicas {
			made, err := engine.New(s.scenario.Fleet.Engine, initialVersion)
			if err != nil {
				return trace.Wrap(err)
			}
			name := replicaName(zone.Name, number)
			s.replicaIndex[name] = len(s.replicas)
			s.replicas = append(s.replicas, &replica{
				index: len(s.replicas), name: name, zone: zone, engine: made,
				attempts: map[uint64]*attempt{}, wakePosition: -1,
			})
		}
	}
	return nil
}

// replica returns the replica with the given name.
func (s *simulation) replica(name string) *replica { return s.replicas[s.replicaIndex[name]] }

// advance runs a replica's engine up to the current time, handles its events and schedules its next wake-up.
func (s *simulation) advance(r *replica) {
	for _, event := range r.engine.Advance(s.now) {
		s.handleEngineEvent(r, event)
	}
	at, due := r.engine.NextMilestone()
	s.wake(r, at, due)
}

func (s *simulation) handleEngineEvent(r *replica, event engine.Event) {
	switch event.Kind {
	case engine.EventSwapped, engine.EventSwapFailed:
		s.weights.handleSwapEnd(r)
		return
	case engine.EventPreempted:
		s.measurement.countEnginePreemption(event.At)
		return
	}
	one := r.attempts[event.Request]
	if one == nil {
		return
	}
	if one.ended {
		s.handleCancelled(r, one, event)
		return
	}
	switch event.Kind {
	case engine.EventTokens:
		one.receiver.onTokens(event.First, event.Count, event.Version)
	case engine.EventFinished:
		delete(r.attempts, event.Request)
		s.scheduleAttemptEnd(one, event.At, true)
	case engine.EventFailed:
		delete(r.attempts, event.Request)
		s.scheduleAttemptEnd(one, event.At, false)
	}
}

// handleCancelled handles an event of an attempt that its gateway has ended but whose cancellation has not reached the
// replica yet. Rollout tokens generated in this interval count as discarded.
func (s *simulation) handleCancelled(r *replica, one *attempt, event engine.Event) {
	if event.Kind != engine.EventTokens {
		delete(r.attempts, event.Request)
		return
	}
	if !one.request.Urgent {
		s.measurement.addRolloutTokens(s.now, event.Count)
		s.measurement.addDiscardedTokens(s.now, event.Count)
	}
}

// scheduleAttemptEnd reports the end of an attempt at its replica to its gateway, one network delay later.
func (s *simulation) scheduleAttemptEnd(one *attempt, at time.Duration, succeeded bool) {
	s.at(at+one.oneWayDelay, func() { s.endAttempt(one, succeeded) })
}

// endAttempt removes an attempt from its gateway's routing pool and notifies the receiver.
func (s *simulation) endAttempt(one *attempt, succeeded bool) {
	if one.ended {
		return
	}
	one.ended = true
	pool := one.gateway.pool
	pool.Ended(one.replica.name, &one.request, s.now)
	if succeeded {
		pool.Succeeded(one.replica.name, s.now)
		one.receiver.onFinished()
		return
	}
	pool.Failed(one.replica.name, s.now)
	one.receiver.onLost()
}

// wakeForEvent schedules the replica's next wake-up at its engine's next event of any kind.
func (s *simulation) wakeForEvent(r *replica) {
	at, due := r.engine.NextEvent()
	s.wake(r, at, due)
}

// submit sends an attempt to its replica, where it arrives after the network delay and the transfer of an imported
// KV cache.
func (s *simulation) submit(one *attempt, request engine.Request) {
	delay := one.oneWayDelay
	if request.ImportedTokens > 0 {
		delay += 2 * s.scenario.Fleet.Engine.TransferTime(request.ImportedTokens) // export and import
	}
	s.after(delay, func() {
		if one.ended {
			return
		}
		r := one.replica
		s.advance(r)
		if err := r.engine.Submit(s.now, request); err != nil {
			s.scheduleAttemptEnd(one, s.now, false)
			return
		}
		r.attempts[one.id] = one
		s.wakeForEvent(r)
	})
}

// cancel ends an attempt immediately at its gateway and, one network delay later, at the replica.
func (s *simulation) cancel(one *attempt) {
	if one.ended {
		return
	}
	one.ended = true
	one.gateway.pool.Ended(one.replica.name, &one.request, s.now)
	s.after(one.oneWayDelay, func() {
		r := one.replica
		if r.attempts[one.id] == nil {
			return
		}
		s.advance(r)
		if r.attempts[one.id] == nil {
			return
		}
		delete(r.attempts, one.id)
		if r.engine.Cancel(s.now, one.id) == nil {
			s.wakeForEvent(r)
		}
	})
}

// crash stops a replica, which loses all its attempts, and restarts it with the same weights after the downtime.
func (s *simulation) crash(r *replica, downtime time.Duration) {
	if r.down {
		return
	}
	s.advance(r)
	version := r.engine.Version()
	r.down = true
	r.engine.Crash(s.now)
	s.wake(r, 0, false)
	for _, one := range sortedAttempts(r) {
		s.scheduleAttemptEnd(one, s.now, false)
	}
	clear(r.attempts)
	s.weights.handleCrash(r)
	s.after(downtime, func() {
		r.down = false
		r.engine.Restart(s.now, version)
		s.weights.handleRestart(r)
	})
}

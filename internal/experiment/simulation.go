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

// Priorities at the engines; a lower number is more urgent.
const (
	priorityLive    = 0
	priorityRollout = 1
)

// replica is one engine and who has work there.
type replica struct {
	index        int
	name         string
	zone         Zone
	engine       *engine.Engine
	attempts     map[uint64]*attempt // by request identity
	wakeAt       time.Duration
	wakePosition int // in the wake heap; -1 when not in it
	down         bool
	leaving      bool
}

// receiver is whoever asked for a request: a live call or a sample. The methods are called when the news
// has travelled back to the gateway, but for tokens, which are streamed and counted at once.
type receiver interface {
	// tokens reports count tokens generated under a version, the first at first.
	tokens(first time.Duration, count int, version uint64)
	// finished reports the whole answer.
	finished()
	// lost reports that the request ended without an answer.
	lost()
}

// attempt is one request at one replica.
type attempt struct {
	id       uint64
	replica  *replica
	gateway  *gateway
	request  routing.Request
	receiver receiver
	delay    time.Duration // one way between gateway and replica
	over     bool
}

// simulation is one run: one policy with one seed.
type simulation struct {
	agenda
	scenario    *Scenario
	policy      *Policy
	seed        uint64
	random      *rand.Rand
	replicas    []*replica
	byName      map[string]int // index in replicas
	gateways    []*gateway
	coordinator *coordinator
	weights     *weightRollout
	measure     *measurement
	reportLag   time.Duration
	scorerUntil time.Duration
	requests    uint64
}

// stream numbers of the random sources, so that one part's draws do not move another's.
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
		random: newRandom(seed, streamGateways), measure: newMeasurement(scenario), byName: map[string]int{},
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
	s.scheduleSamples()
	return s, nil
}

// run goes on to the scenario's end; progress is told the virtual time now and then.
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
			made, err := engine.New(s.scenario.Fleet.Engine, firstVersion)
			if err != nil {
				return trace.Wrap(err)
			}
			name := replicaName(zone.Name, number)
			s.byName[name] = len(s.replicas)
			s.replicas = append(s.replicas, &replica{
				index: len(s.replicas), name: name, zone: zone, engine: made,
				attempts: map[uint64]*attempt{}, wakePosition: -1,
			})
		}
	}
	return nil
}

// replica returns the replica of a name.
func (s *simulation) replica(name string) *replica { return s.replicas[s.byName[name]] }

// advance runs a replica's engine up to now, hands out its events and sets its next wake.
func (s *simulation) advance(r *replica) {
	for _, event := range r.engine.Advance(s.now) {
		s.handle(r, event)
	}
	at, due := r.engine.NextMilestone()
	s.wake(r, at, due)
}

func (s *simulation) handle(r *replica, event engine.Event) {
	switch event.Kind {
	case engine.EventSwapped, engine.EventSwapFailed:
		s.weights.swapEnded(r)
		return
	case engine.EventPreempted:
		s.measure.preempted(event.At)
		return
	}
	one := r.attempts[event.Request]
	if one == nil {
		return
	}
	if one.over {
		s.handleCancelled(r, one, event)
		return
	}
	switch event.Kind {
	case engine.EventTokens:
		one.receiver.tokens(event.First, event.Count, event.Version)
	case engine.EventFinished:
		delete(r.attempts, event.Request)
		s.answer(one, event.At, true)
	case engine.EventFailed:
		delete(r.attempts, event.Request)
		s.answer(one, event.At, false)
	}
}

// handleCancelled counts what a replica does for a request between its cancellation at the gateway and the
// arrival of the news.
func (s *simulation) handleCancelled(r *replica, one *attempt, event engine.Event) {
	if event.Kind != engine.EventTokens {
		delete(r.attempts, event.Request)
		return
	}
	if !one.request.Urgent {
		s.measure.rolloutTokens(s.now, event.Count)
		s.measure.thrownAway(s.now, event.Count)
	}
}

// answer brings an attempt's end back to its gateway.
func (s *simulation) answer(one *attempt, at time.Duration, whole bool) {
	s.at(at+one.delay, func() { s.ended(one, whole) })
}

// ended takes an attempt off its gateway's books and tells the receiver.
func (s *simulation) ended(one *attempt, whole bool) {
	if one.over {
		return
	}
	one.over = true
	pool := one.gateway.pool
	pool.Ended(one.replica.name, &one.request, s.now)
	if whole {
		pool.Succeeded(one.replica.name, s.now)
		one.receiver.finished()
		return
	}
	pool.Failed(one.replica.name, s.now)
	one.receiver.lost()
}

// wakeForEvent makes sure that the replica is advanced at its engine's next event of any kind.
func (s *simulation) wakeForEvent(r *replica) {
	at, due := r.engine.NextEvent()
	s.wake(r, at, due)
}

// submit brings an attempt to its replica.
func (s *simulation) submit(one *attempt, request engine.Request) {
	delay := one.delay
	if request.ImportedTokens > 0 {
		delay += 2 * s.scenario.Fleet.Engine.TransferTime(request.ImportedTokens) // out and in
	}
	s.after(delay, func() {
		if one.over {
			return
		}
		r := one.replica
		s.advance(r)
		if err := r.engine.Submit(s.now, request); err != nil {
			s.answer(one, s.now, false)
			return
		}
		r.attempts[one.id] = one
		s.wakeForEvent(r)
	})
}

// cancel ends an attempt at once at its gateway and, a one-way delay later, at the replica.
func (s *simulation) cancel(one *attempt) {
	if one.over {
		return
	}
	one.over = true
	one.gateway.pool.Ended(one.replica.name, &one.request, s.now)
	s.after(one.delay, func() {
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

// crash takes a replica away; all its requests are lost.
func (s *simulation) crash(r *replica, away time.Duration) {
	if r.down {
		return
	}
	s.advance(r)
	version := r.engine.Version()
	r.down = true
	r.engine.Crash(s.now)
	s.wake(r, 0, false)
	for _, one := range sortedAttempts(r) {
		s.answer(one, s.now, false)
	}
	clear(r.attempts)
	s.weights.crashed(r)
	s.after(away, func() {
		r.down = false
		r.engine.Restart(s.now, version)
		s.weights.restarted(r)
	})
}

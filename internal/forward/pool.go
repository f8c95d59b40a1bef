package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/replicabytes"
	"github.com/tamarindring/tamarindring/internal/retrybudget"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
)

// pool holds this process's state of one pool of back ends.
type pool struct {
	name           string
	mu             sync.Mutex  // guards the fields below
	version        uint64      // of the table that defines the replicas
	view           *table.View // of that version; nil before the first update
	replicas       *routing.Pool
	queue          *admission.Queue
	targets        map[string]replica.Target            // by instance, like the replicas
	slots          map[string]int                       // by instance, of the back ends that accept new work
	sends          map[*attempt]context.CancelCauseFunc // in flight
	waiting        map[uint64]chan admission.Refusal    // by request id, of requests without a decision of the queue
	rejected       rejectedRequests
	budget         *retrybudget.Budget // nil: retries are not bounded
	random         *rand.PCG
	maxConnections int
	sharing        slotSharing
	large          largeBodies
	onShareUse     func() // called when a request arrives at a pool with shared slots
	metrics        *forwarderMetrics
	log            *logrus.Entry
}

// classOrder lists the admission classes by route priority. Priorities beyond the last class share it.
var classOrder = func() []string {
	order := make([]string, maxClasses)
	for rank := range order {
		order[rank] = strconv.Itoa(rank)
	}
	return order
}()

const maxClasses = 10

// className returns the admission class of a priority.
func className(priority uint32) string { return classOrder[min(priority, maxClasses-1)] }

// Routing settings that differ from the defaults of package routing. With few requests a failure must take effect at
// once, and a replica that recovers must be noticed soon. Losing to a hedge counts as half a failure.
const (
	failureLimit    = 2
	quarantineLimit = 8 * time.Second
	returnRamp      = 2 * time.Second
)

func newPool(name string, config *Config, seed uint64, metrics *forwarderMetrics) *pool {
	settings := config.Routing
	if settings.FailureLimit == 0 {
		settings.FailureLimit = failureLimit
	}
	if settings.QuarantineLimit == 0 {
		settings.QuarantineLimit = quarantineLimit
	}
	if settings.ReturnRamp == 0 {
		settings.ReturnRamp = returnRamp
	}
	return &pool{name: name, replicas: routing.NewPool(settings), queue: admission.New(admission.Limits{}),
		targets: map[string]replica.Target{}, sends: map[*attempt]context.CancelCauseFunc{}, waiting: map[uint64]chan admission.Refusal{},
		random: rand.NewPCG(seed, seed+1), large: newLargeBodies(config.Shares), metrics: metrics, log: config.Log}
}

// update applies the table's rows of the pool.
func (p *pool) update(now time.Duration, view *table.View, row *table.Row, config *Config) {
	backends := view.Backends(row.Name)
	configs := make([]routing.ReplicaConfig, 0, len(backends))
	targets := make(map[string]replica.Target, len(backends))
	slots := make(map[string]int, len(backends))
	limits := admission.Limits{QueueLimit: int(row.QueueLimit), QueueWait: row.QueueWait, ClassOrder: classOrder}
	for _, backend := range backends {
		configs = append(configs, routing.ReplicaConfig{Name: backend.Instance, Weight: float64(backend.Weight),
			MaxInFlight: int(backend.MaxInFlight), Draining: backend.State != table.Active,
			Distance: routing.DistanceBetween(config.Zone, backend.Zone)})
		targets[backend.Instance] = replica.Target{Instance: backend.Instance, Address: backend.Address}
		if backend.Serving() {
			slots[backend.Instance] = int(backend.MaxInFlight)
			limits.Slots += int(backend.MaxInFlight)
		}
	}
	if limits.Slots > 0 {
		limits.Slots = max(1, int(float64(limits.Slots)*config.SlotShare))
	}
	limits.RolloutSlots = limits.Slots
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version, p.view, p.targets, p.slots = view.Version(), view, targets, slots
	p.maxConnections = 0
	if row.MaxConnections > 0 {
		p.maxConnections = max(1, int(row.MaxConnections)/config.ConnectionDivisor)
	}
	p.replicas.SetReplicas(configs)
	p.cancelRestartedSends()
	if row.SharedSlots {
		p.setSharedLimits(now, limits, config.Shares)
	} else {
		p.setSharedLimits(now, limits, nil)
	}
}

// errRestarted cancels a send to a back end that has restarted since. The start that received the request no longer
// runs anything, but behind a network partition the connection does not show that.
var errRestarted = errors.New("forward: the back end has started again")

// cancelRestartedSends cancels the sends to back ends that have restarted since. The caller holds the mutex.
func (p *pool) cancelRestartedSends() {
	for sending, cancel := range p.sends {
		if p.view.IsKnownRestarted(sending.target.Instance) {
			cancel(errRestarted)
		}
	}
}

// trackSend registers a send until stop is called. The returned context is cancelled when the back end restarts.
func (p *pool) trackSend(ctx context.Context, sending *attempt) (limited context.Context, stop func()) {
	limited, cancel := context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends[sending] = cancel
	if p.view != nil && p.view.IsKnownRestarted(sending.target.Instance) {
		cancel(errRestarted) // the table changed after the choice
	}
	return limited, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.sends, sending)
		cancel(nil)
	}
}

// deliverDecisions passes the queue's decisions to the waiting requests. The caller holds the mutex.
func (p *pool) deliverDecisions(effects *admission.Effects) {
	for _, id := range effects.Granted {
		p.deliverDecision(id, admission.Refusal{})
	}
	for _, refusal := range effects.Refused {
		p.deliverDecision(refusal.ID, refusal)
	}
}

func (p *pool) deliverDecision(id uint64, refusal admission.Refusal) {
	if decision := p.waiting[id]; decision != nil {
		delete(p.waiting, id)
		decision <- refusal
	}
}

// acquireSlot waits for a slot, at most for the given time. A rejection has a Reason other than zero.
func (p *pool) acquireSlot(ctx context.Context, clock func() time.Duration, request admission.Request, wait time.Duration) (admission.Refusal, error) {
	decision := make(chan admission.Refusal, 1)
	now := clock()
	p.mu.Lock()
	p.waiting[request.ID] = decision
	effects, until := p.queue.Arrive(now, request)
	p.deliverDecisions(effects)
	if p.sharing.source != nil {
		p.onShareUse()
	}
	if p.sharing.source != nil && p.queue.Waiting() > 0 {
		p.updateShareLocked(now)
	}
	p.mu.Unlock()
	select {
	case refusal := <-decision:
		return refusal, nil
	default:
	}
	timer := time.NewTimer(max(min(until-now, wait), 0))
	defer timer.Stop()
	select {
	case refusal := <-decision:
		return refusal, nil
	case <-timer.C:
		p.expire(clock(), request.ID)
		return <-decision, nil
	case <-ctx.Done():
		p.abandon(clock(), request.ID)
		return admission.Refusal{}, ctx.Err()
	}
}

func (p *pool) expire(now time.Duration, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliverDecisions(p.queue.Expire(now, id))
}

// abandon removes a request that waits or was granted a slot in the meantime.
func (p *pool) abandon(now time.Duration, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	p.deliverDecisions(p.queue.Leave(now, id))
	p.deliverDecisions(p.queue.Done(now, id))
}

// releaseSlot returns a request's slot.
func (p *pool) releaseSlot(now time.Duration, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget != nil {
		p.budget.Ended()
	}
	p.deliverDecisions(p.queue.Done(now, id))
}

// choice is a chosen back end, with the table version on which the choice is based.
type choice struct {
	target         replica.Target
	version        uint64
	maxConnections int
	hasSpare       bool               // another back end could take the request too
	inFlight       int                // requests of this process at the back end, including this one
	largeBody      *replicabytes.Body // nil unless the request's body is large
}

// choose chooses a back end and counts the request there. ok is false if no back end can take it.
func (p *pool) choose(now time.Duration, request *routing.Request, excluded []string) (chosen choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setExcluded(request, excluded)
	return p.chooseLocked(now, request, len(excluded))
}

// setExcluded sets the back ends that the choice for a request must not use.
func (p *pool) setExcluded(request *routing.Request, excluded []string) {
	request.Excluded = request.Excluded[:0]
	for _, name := range excluded {
		request.Excluded = append(request.Excluded, p.replicas.Index(name))
	}
}

// chooseLocked chooses among the back ends that the request does not exclude. tried is the number of back ends already
// tried. The caller holds the mutex.
func (p *pool) chooseLocked(now time.Duration, request *routing.Request, tried int) (chosen choice, ok bool) {
	i := routing.Balanced{}.Choose(p.replicas, request, now, p.random)
	if i == routing.None {
		return choice{version: p.version}, false
	}
	name := p.replicas.Name(i)
	p.replicas.Sent(i, request, now)
	hasSpare := p.replicas.Len()-tried > 1 && p.replicas.HasAlternative(name, now)
	return choice{target: p.targets[name], version: p.version, maxConnections: p.maxConnections, hasSpare: hasSpare,
		inFlight: p.replicas.InFlight(i)}, true
}

// hasSlots reports whether some back end of the pool accepts new work.
func (p *pool) hasSlots() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Slots() > 0
}

// health is the indication that one send gives about its back end.
type health uint8

const (
	healthNeutral health = iota
	healthGood
	healthSlow
	healthDoubtful // failed a request that may fail anywhere
	healthBad
	healthLeaving
)

// String returns the name used in logs and metrics.
func (h health) String() string {
	return [...]string{healthNeutral: "neutral", healthGood: "good", healthSlow: "slow", healthDoubtful: "doubtful", healthBad: "bad", healthLeaving: "leaving"}[h]
}

// healthChange is the effect of a send on the health state of its back end.
type healthChange struct {
	quarantined    bool // by this send
	restored       bool // by this send
	quarantineLeft time.Duration
	failuresInRow  int
}

// endSend removes a request from its back end, applies its outcome and returns the resulting change.
func (p *pool) endSend(now time.Duration, name string, request *routing.Request, indication health, load *loadreport.Observation) healthChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	leftBefore, inRowBefore := p.replicas.Quarantine(name, now)
	p.recordOutcome(now, name, request, indication, load)
	left, inRow := p.replicas.Quarantine(name, now)
	return healthChange{quarantined: left > 0 && leftBefore == 0, restored: inRow == 0 && inRowBefore > 0, quarantineLeft: left, failuresInRow: inRow}
}

// recordOutcome applies the outcome of a send to the routing state of its back end. The caller holds the mutex.
func (p *pool) recordOutcome(now time.Duration, name string, request *routing.Request, indication health, load *loadreport.Observation) {
	p.replicas.Ended(name, request, now)
	switch indication {
	case healthGood:
		p.replicas.Succeeded(name, now)
	case healthSlow, healthDoubtful:
		p.replicas.Failed(name, now)
	case healthBad:
		for range failureLimit {
			p.replicas.Failed(name, now)
		}
	case healthLeaving:
		p.replicas.RecordLeavingRefusal(name, now)
	}
	if load != nil {
		p.replicas.Report(name, routing.LoadReport{Requests: float64(load.Running + load.Waiting)}, now)
		p.replicas.RecordPace(name, load.Pace, load.Seen)
	}
}

package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
)

// pool is one pool of back ends as this gateway uses it: replicas, admission queue and current limits.
type pool struct {
	policy routing.Policy

	mutex            sync.Mutex // guards the fields below, except subset
	row              *table.Row
	version          uint64 // table version that the replicas come from
	replicas         *routing.Pool
	queue            *admission.Queue
	addresses        map[string]string    // addresses by the back end's row name
	exchanges        map[uint64]*exchange // by request ID; waiting for a slot or holding one
	random           *rand.PCG
	tableLimits      admission.Limits // this gateway's limits according to the table
	unavailableSlots int              // slots subtracted from tableLimits at limitsAdjustedAt
	limitsAdjustedAt time.Duration

	subset subset // guarded by Server.updateMutex
}

func newPool(policy routing.Policy, settings routing.Settings, subsetSettings routing.SubsetSettings) *pool {
	return &pool{policy: policy, replicas: routing.NewPool(settings), queue: admission.New(admission.Limits{}),
		addresses: map[string]string{}, exchanges: map[uint64]*exchange{}, random: rand.NewPCG(rand.Uint64(), rand.Uint64()),
		subset: subset{settings: subsetSettings}}
}

// update applies the table's rows of the pool.
func (p *pool) update(now time.Duration, view *table.View, row *table.Row, gateways gatewaySet) {
	backends := view.Backends(row.Name)
	shares := p.subset.ownShares(gateways, backends)
	configs := make([]routing.ReplicaConfig, 0, len(backends))
	addresses := make(map[string]string, len(backends))
	limits := admission.Limits{QueueLimit: gateways.shareOf(row.QueueLimit, row.Name), QueueWait: row.QueueWait, ClassOrder: row.ClassOrder}
	for _, backend := range backends {
		config := replicaConfig(backend, shares[backend.Name], gateways.ownPlace())
		configs = append(configs, config)
		addresses[backend.Name] = backend.Address
		if backend.Serving() && !config.Reserve {
			limits.Slots += config.MaxInFlight
			limits.RolloutSlots += rolloutSlots(backend, config.MaxInFlight)
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.row, p.version, p.addresses = row, view.Version(), addresses
	p.replicas.SetReplicas(configs)
	p.tableLimits, p.unavailableSlots, p.limitsAdjustedAt = limits, 0, 0
	p.applyEffects(p.queue.SetLimits(now, limits))
	p.adjustLimits(now)
}

// adjustInterval is the minimum time between two adjustments of the limits to the condition of the replicas.
const adjustInterval = 200 * time.Millisecond

// adjustLimits subtracts the slots of replicas that take no work from the limits. Otherwise rollout requests would
// fill the slots of the remaining replicas and live requests would find none free. If no replica takes work, the
// limits stay as they are, because the pool is still tried. The caller holds the mutex.
func (p *pool) adjustLimits(now time.Duration) {
	if p.limitsAdjustedAt > 0 && now < p.limitsAdjustedAt+adjustInterval {
		return
	}
	p.limitsAdjustedAt = now
	slots, background := p.replicas.UnavailableSlots(now)
	if slots >= p.tableLimits.Slots {
		slots, background = 0, 0
	}
	if slots == p.unavailableSlots {
		return
	}
	p.unavailableSlots = slots
	limits := p.tableLimits
	limits.Slots -= slots
	limits.RolloutSlots = max(limits.RolloutSlots-background, 0)
	p.applyEffects(p.queue.SetLimits(now, limits))
}

// maxReserveInFlight bounds this gateway's requests in flight at a back end outside its subset.
const maxReserveInFlight = 1

// replicaConfig returns the routing configuration of a back end for a gateway that has the given place and the
// given share of the back end.
func replicaConfig(backend *table.Row, share routing.Share, place routing.Place) routing.ReplicaConfig {
	config := routing.ReplicaConfig{Name: backend.Name, Weight: float64(backend.Weight), Draining: backend.State != table.Active,
		Distance: routing.DistanceBetween(place.Zone, backend.Zone), Polled: share.Rank >= 0, Reserve: share.Rank < 0}
	config.MaxInFlight = shareOfLimit(backend.MaxInFlight, share, backend.Name)
	if config.Reserve {
		config.MaxInFlight = min(maxReserveInFlight, int(backend.MaxInFlight))
	}
	if config.MaxInFlight == 0 {
		config.Weight = 0 // the other gateways share all of its slots
	}
	config.MaxBackground = rolloutSlots(backend, config.MaxInFlight)
	if config.MaxBackground == 0 {
		config.MaxBackground = -1
	}
	return config
}

// rolloutSlots returns how many of this gateway's slots at a back end rollout requests may hold.
func rolloutSlots(backend *table.Row, slots int) int {
	if backend.MaxInFlight == 0 {
		return 0
	}
	allowed := min(int(backend.MaxInFlight)-int(backend.LiveReserve), int(backend.MaxInFlight)*int(backend.RolloutShare)/100)
	return max(allowed, 0) * slots / int(backend.MaxInFlight)
}

// applyEffects delivers the queue's decisions to the exchanges. The caller holds the mutex.
func (p *pool) applyEffects(effects *admission.Effects) {
	for _, id := range effects.Granted {
		if x := p.exchanges[id]; x != nil {
			x.admissionDecisions <- admissionDecision{granted: true}
		}
	}
	for _, refusal := range effects.Refused {
		if x := p.exchanges[refusal.ID]; x != nil {
			x.admissionDecisions <- admissionDecision{refusal: refusal}
		}
	}
	for _, id := range effects.Preempted {
		if x := p.exchanges[id]; x != nil {
			x.preempt()
		}
	}
}

// admissionDecision is the queue's decision about one request.
type admissionDecision struct {
	granted bool
	refusal admission.Refusal
}

// requestSlot asks for a slot. The decision is sent on the exchange's channel. If it has not come by the returned
// time, the exchange must call expireWait.
func (p *pool) requestSlot(now time.Duration, x *exchange, request admission.Request) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.adjustLimits(now)
	p.exchanges[request.ID] = x
	effects, until := p.queue.Arrive(now, request)
	p.applyEffects(effects)
	return until
}

// expireWait ends a request's wait for a slot.
func (p *pool) expireWait(now time.Duration, id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.applyEffects(p.queue.Expire(now, id))
}

// releaseSlot returns a request's slot.
func (p *pool) releaseSlot(now time.Duration, id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.exchanges, id)
	p.applyEffects(p.queue.Done(now, id))
	p.adjustLimits(now)
}

// withdraw removes a waiting request from the queue.
func (p *pool) withdraw(now time.Duration, id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.exchanges, id)
	p.applyEffects(p.queue.Leave(now, id))
}

// choice is a chosen back end and the table version it was chosen on.
type choice struct {
	name    string
	address string
	version uint64
}

// choose selects a back end and counts the request as in flight there. ok is false if no back end can take it.
func (p *pool) choose(now time.Duration, request *routing.Request, excluded []string, preferred string) (chosen choice, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	request.Excluded = request.Excluded[:0]
	for _, name := range excluded {
		request.Excluded = append(request.Excluded, p.replicas.Index(name))
	}
	i := p.replicas.Index(preferred)
	if i < 0 || !p.replicas.Usable(i, request, now) {
		i = p.policy.Choose(p.replicas, request, now, p.random)
	}
	if i == routing.None {
		return choice{version: p.version}, false
	}
	p.replicas.Sent(i, request, now)
	name := p.replicas.Name(i)
	return choice{name: name, address: p.addresses[name], version: p.version}, true
}

// sendOutcome is the result of a send as it affects the back end's routing.
type sendOutcome uint8

const (
	outcomeNeutral sendOutcome = iota
	outcomeGood
	outcomeBad
	outcomeLeaving
)

// recordEnd ends a request at its back end and records the result of the send.
func (p *pool) recordEnd(now time.Duration, name string, request *routing.Request, result sendOutcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.Ended(name, request, now)
	switch result {
	case outcomeGood:
		p.replicas.Succeeded(name, now)
	case outcomeBad:
		p.replicas.Failed(name, now)
	case outcomeLeaving:
		p.replicas.RecordLeavingRefusal(name, now)
	}
}

// recordFailure records a failure of a back end at which the request still counts as in flight.
func (p *pool) recordFailure(now time.Duration, name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.Failed(name, now)
}

// recordLoad records a back end's load report.
func (p *pool) recordLoad(now time.Duration, name string, report routing.LoadReport) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.Report(name, report, now)
}

// recordEmptyPoll records that a replica answered its load poll without a usable report.
func (p *pool) recordEmptyPoll(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.RecordPoll(name)
}

// hasUnpolledReplica reports whether some polled replica was not polled for its load yet.
func (p *pool) hasUnpolledReplica() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.replicas.HasUnpolled()
}

// tableRow returns the pool's row of the table.
func (p *pool) tableRow() *table.Row {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.row
}

// polledBackends returns the addresses, by row name, of the back ends in this gateway's subset.
func (p *pool) polledBackends() map[string]string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	used := make(map[string]string)
	for name, address := range p.addresses {
		if i := p.replicas.Index(name); i >= 0 && !p.replicas.IsReserve(i) {
			used[name] = address
		}
	}
	return used
}

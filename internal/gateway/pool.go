package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
)

// pool is one pool of back ends at this gateway.
type pool struct {
	policy routing.Policy

	mutex     sync.Mutex // guards what follows
	row       *table.Row
	version   uint64 // of the table that the replicas come from
	replicas  *routing.Pool
	queue     *admission.Queue
	addresses map[string]string // by row name
	exchanges map[uint64]*exchange
	random    *rand.PCG
	limits    admission.Limits // by the table
	away      int              // slots less than that, as of followed
	followed  time.Duration

	subset subset // guarded by the server's update mutex
}

func newPool(policy routing.Policy, settings routing.Settings, subsets routing.SubsetSettings) *pool {
	return &pool{policy: policy, replicas: routing.NewPool(settings), queue: admission.New(admission.Limits{}),
		addresses: map[string]string{}, exchanges: map[uint64]*exchange{}, random: rand.NewPCG(rand.Uint64(), rand.Uint64()),
		subset: subset{settings: subsets}}
}

// update takes over the table's rows of the pool.
func (p *pool) update(now time.Duration, view *table.View, row *table.Row, own group) {
	backends := view.Backends(row.Name)
	shares := p.subset.shares(own, backends)
	configs := make([]routing.ReplicaConfig, 0, len(backends))
	addresses := make(map[string]string, len(backends))
	limits := admission.Limits{QueueLimit: own.of(row.QueueLimit, row.Name), QueueWait: row.QueueWait, ClassOrder: row.ClassOrder}
	for _, backend := range backends {
		config := replicaConfig(backend, shares[backend.Name], own.place())
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
	p.limits, p.away, p.followed = limits, 0, 0
	p.apply(p.queue.SetLimits(now, limits))
	p.follow(now)
}

// followInterval is the least time between two looks for replicas that take no work.
const followInterval = 200 * time.Millisecond

// follow takes the slots of replicas that take no work off the limits: else rollouts fill the others, and live requests
// find no place. While no replica takes work the limits stay, since it is still tried. The caller holds the mutex.
func (p *pool) follow(now time.Duration) {
	if p.followed > 0 && now < p.followed+followInterval {
		return
	}
	p.followed = now
	slots, background := p.replicas.Away(now)
	if slots >= p.limits.Slots {
		slots, background = 0, 0
	}
	if slots == p.away {
		return
	}
	p.away = slots
	limits := p.limits
	limits.Slots -= slots
	limits.RolloutSlots = max(limits.RolloutSlots-background, 0)
	p.apply(p.queue.SetLimits(now, limits))
}

// reserveSlots is what a gateway may have in flight at a back end that is not of its subset.
const reserveSlots = 1

// replicaConfig is what the table says of a back end to the gateway at a place with a share of it.
func replicaConfig(backend *table.Row, share routing.Share, place routing.Place) routing.ReplicaConfig {
	config := routing.ReplicaConfig{Name: backend.Name, Weight: float64(backend.Weight), Draining: backend.State != table.Active,
		Distance: routing.DistanceBetween(place.Zone, backend.Zone), Polled: share.Rank >= 0, Reserve: share.Rank < 0}
	config.MaxInFlight = part(backend.MaxInFlight, share, backend.Name)
	if config.Reserve {
		config.MaxInFlight = min(reserveSlots, int(backend.MaxInFlight))
	}
	if config.MaxInFlight == 0 {
		config.Weight = 0 // other gateways hold all of its slots
	}
	config.MaxBackground = rolloutSlots(backend, config.MaxInFlight)
	if config.MaxBackground == 0 {
		config.MaxBackground = -1
	}
	return config
}

// rolloutSlots is the part of this gateway's slots at a back end that rollout work may hold.
func rolloutSlots(backend *table.Row, slots int) int {
	if backend.MaxInFlight == 0 {
		return 0
	}
	allowed := min(int(backend.MaxInFlight)-int(backend.LiveRoom), int(backend.MaxInFlight)*int(backend.RolloutShare)/100)
	return max(allowed, 0) * slots / int(backend.MaxInFlight)
}

// apply passes the queue's decisions on. The caller holds the mutex.
func (p *pool) apply(effects *admission.Effects) {
	for _, id := range effects.Granted {
		if x := p.exchanges[id]; x != nil {
			x.admission <- admissionAnswer{granted: true}
		}
	}
	for _, refusal := range effects.Refused {
		if x := p.exchanges[refusal.ID]; x != nil {
			x.admission <- admissionAnswer{refusal: refusal}
		}
	}
	for _, id := range effects.Yield {
		if x := p.exchanges[id]; x != nil {
			x.askToYield()
		}
	}
}

// admissionAnswer is what the queue decided about one request.
type admissionAnswer struct {
	granted bool
	refusal admission.Refusal
}

// arrive asks for a slot; the answer comes on the exchange's channel, until the returned time at most.
func (p *pool) arrive(now time.Duration, x *exchange, request admission.Request) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.follow(now)
	p.exchanges[request.ID] = x
	effects, until := p.queue.Arrive(now, request)
	p.apply(effects)
	return until
}

// expire ends a request's wait.
func (p *pool) expire(now time.Duration, id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.apply(p.queue.Expire(now, id))
}

// done gives a slot back.
func (p *pool) done(now time.Duration, id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.exchanges, id)
	p.apply(p.queue.Done(now, id))
	p.follow(now)
}

// leave takes a waiting request out.
func (p *pool) leave(now time.Duration, id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.exchanges, id)
	p.apply(p.queue.Leave(now, id))
}

// choice is a chosen back end and the table version that the choice was made on.
type choice struct {
	name    string
	address string
	version uint64
}

// choose chooses a back end and counts the request there; ok is false when none may take it.
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

// outcome says how a send at a back end ended, for routing.
type outcome uint8

const (
	outcomeNeutral outcome = iota
	outcomeGood
	outcomeBad
	outcomeLeaving
)

// ended takes a request off its back end.
func (p *pool) ended(now time.Duration, name string, request *routing.Request, how outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.Ended(name, request, now)
	switch how {
	case outcomeGood:
		p.replicas.Succeeded(name, now)
	case outcomeBad:
		p.replicas.Failed(name, now)
	case outcomeLeaving:
		p.replicas.RefusedLeaving(name, now)
	}
}

// failed notes a failure of a back end at which the request still counts.
func (p *pool) failed(now time.Duration, name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.Failed(name, now)
}

// report takes over a back end's load report.
func (p *pool) report(now time.Duration, name string, report routing.LoadReport) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.Report(name, report, now)
}

// asked notes that a replica answered its load poll with nothing of use.
func (p *pool) asked(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.Asked(name)
}

// unasked tells whether some replica was not asked for its load yet.
func (p *pool) unasked() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.replicas.Unasked()
}

// settings returns the pool's row.
func (p *pool) settings() *table.Row {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.row
}

// polled returns the addresses, by row name, of the back ends that this gateway uses.
func (p *pool) polled() map[string]string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	used := make(map[string]string)
	for name, address := range p.addresses {
		if i := p.replicas.Index(name); i >= 0 && !p.replicas.Reserve(i) {
			used[name] = address
		}
	}
	return used
}

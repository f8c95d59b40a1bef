package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
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
}

func newPool(policy routing.Policy, settings routing.Settings) *pool {
	return &pool{policy: policy, replicas: routing.NewPool(settings), queue: admission.New(admission.Limits{}),
		addresses: map[string]string{}, exchanges: map[uint64]*exchange{}, random: rand.NewPCG(rand.Uint64(), rand.Uint64())}
}

// share is this gateway's place among the gateways that share the table's limits.
type share struct {
	count int
	rank  int
}

// gatewayShare counts the gateways that may hold requests in flight; this one counts always.
func gatewayShare(members *wire.MembersView, name string) share {
	names := []string{name}
	for _, member := range members.GetMembers() {
		gone := member.GetState() == wire.MemberState_MEMBER_STATE_GONE
		if member.GetRole() == wire.MemberRole_MEMBER_ROLE_GATEWAY && !gone && member.GetName() != name {
			names = append(names, member.GetName())
		}
	}
	slices.Sort(names)
	return share{count: len(names), rank: slices.Index(names, name)}
}

func (s share) of(limit uint32, row string) int {
	return admission.Share(int(limit), s.count, s.rank, xxhash.Sum64String(row))
}

// update takes over the table's rows of the pool.
func (p *pool) update(now time.Duration, view *table.View, row *table.Row, own share, place Place) {
	backends := view.Backends(row.Name)
	configs := make([]routing.ReplicaConfig, 0, len(backends))
	addresses := make(map[string]string, len(backends))
	limits := admission.Limits{QueueLimit: own.of(row.QueueLimit, row.Name), QueueWait: row.QueueWait, ClassOrder: row.ClassOrder}
	for _, backend := range backends {
		slots := own.of(backend.MaxInFlight, backend.Name)
		weight := float64(backend.Weight)
		if slots == 0 {
			weight = 0 // other gateways hold all of its slots
		}
		background := rolloutSlots(backend, slots)
		if background == 0 {
			background = -1
		}
		configs = append(configs, routing.ReplicaConfig{Name: backend.Name, Weight: weight, MaxInFlight: slots, MaxBackground: background,
			Distance: place.distance(backend.Zone), Draining: backend.State != table.Active})
		addresses[backend.Name] = backend.Address
		if backend.Serving() {
			limits.Slots += slots
			limits.RolloutSlots += rolloutSlots(backend, slots)
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.row, p.version, p.addresses = row, view.Version(), addresses
	p.replicas.SetReplicas(configs)
	p.apply(p.queue.SetLimits(now, limits))
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
func (p *pool) choose(now time.Duration, request *routing.Request, excluded []string) (chosen choice, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	request.Excluded = request.Excluded[:0]
	for _, name := range excluded {
		request.Excluded = append(request.Excluded, p.replicas.Index(name))
	}
	i := p.policy.Choose(p.replicas, request, now, p.random)
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

// settings returns the pool's row.
func (p *pool) settings() *table.Row {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.row
}

// Place is where a process runs.
type Place struct {
	Zone string
}

// distance tells how far a zone is. The table names zones only: zones that share the text before their
// last dash share a region.
func (p Place) distance(zone string) routing.Distance {
	switch {
	case zone == p.Zone || zone == "" || p.Zone == "":
		return routing.SameZone
	case regionOf(zone) == regionOf(p.Zone):
		return routing.SameRegion
	}
	return routing.OtherRegion
}

// regionOf returns the region part of a zone's name.
func regionOf(zone string) string {
	region, _, _ := cutLast(zone, '-')
	return region
}

// cutLast cuts text at its last separator; without one the first part is empty.
func cutLast(text string, separator byte) (before, after string, found bool) {
	for i := len(text) - 1; i >= 0; i-- {
		if text[i] == separator {
			return text[:i], text[i+1:], true
		}
	}
	return "", text, false
}

// backends returns a copy of the back ends' addresses by row name.
func (p *pool) backends() map[string]string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return maps.Clone(p.addresses)
}

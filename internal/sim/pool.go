package sim

import (
	"math/rand/v2"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
)

// pool is a pool of back ends at a gateway, like gateway.pool.
type pool struct {
	gateway  *gateway
	name     string
	tableRow *table.Row
	version  uint64
	replicas *routing.Pool
	queue    *admission.Queue
	random   *rand.PCG
}

func (g *gateway) newPool(name string) *pool {
	seed := uint64(g.world.random.Int63())
	return &pool{gateway: g, name: name, replicas: routing.NewPool(routing.Settings{}),
		queue: admission.New(admission.Limits{}), random: rand.NewPCG(seed, seed)}
}

// update adopts the table's rows of the pool.
func (p *pool) update(view *table.View) {
	row := view.Pool(p.name)
	if row == nil {
		return
	}
	count, rank := len(p.gateway.fleet.gateways), p.gateway.rank
	limits := admission.Limits{QueueLimit: admission.Share(int(row.QueueLimit), count, rank, 1), QueueWait: row.QueueWait,
		ClassOrder: row.ClassOrder}
	var configs []routing.ReplicaConfig
	for i, backend := range view.Backends(p.name) {
		slots := admission.Share(int(backend.MaxInFlight), count, rank, uint64(i))
		weight := float64(backend.Weight)
		if slots == 0 {
			weight = 0
		}
		configs = append(configs, routing.ReplicaConfig{Name: backend.Name, Weight: weight, MaxInFlight: slots, Polled: true,
			Draining: backend.State != table.Active})
		if backend.Serving() {
			limits.Slots += slots
		}
	}
	if p.tableRow == nil {
		p.gateway.tableSince = p.gateway.world.now
		p.gateway.requestLoads()
	}
	p.tableRow, p.version = row, view.Version()
	p.replicas.SetReplicas(configs)
	p.applyEffects(p.queue.SetLimits(p.gateway.clock(), limits))
}

// applyEffects passes the admission queue's decisions to the exchanges.
func (p *pool) applyEffects(effects *admission.Effects) {
	granted := append([]uint64(nil), effects.Granted...)
	refused := append([]admission.Refusal(nil), effects.Refused...)
	for _, id := range granted {
		if x := p.gateway.exchanges[id]; x != nil {
			x.onAdmitted()
		}
	}
	for _, refusal := range refused {
		if x := p.gateway.exchanges[refusal.ID]; x != nil {
			x.onRejected(refusal)
		}
	}
}

// choose selects a back end and counts the request there; false when none is available.
func (p *pool) choose(request *routing.Request, excluded []string) (*backend, bool) {
	request.Excluded = request.Excluded[:0]
	for _, name := range excluded {
		request.Excluded = append(request.Excluded, p.replicas.Index(name))
	}
	now := p.gateway.clock()
	i := routing.Balanced{}.Choose(p.replicas, request, now, p.random)
	if i == routing.None {
		return nil, false
	}
	p.replicas.Sent(i, request, now)
	return p.gateway.fleet.backendByName(p.replicas.Name(i)), true
}

package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/routing"
)

// Classes of admission, most urgent first.
const (
	classLive    = "live"
	classRollout = "rollout"
)

// weightOfReplica is each replica's cell in the table.
const weightOfReplica = 100

// routingBlockTokens is the size of the prompt blocks that routing compares.
const routingBlockTokens = 128

// gateway holds one gateway's own view: its routing pool and its part of the limits.
type gateway struct {
	zone   Zone
	pool   *routing.Pool
	policy routing.Policy
	queue  *admission.Queue
	random *rand.PCG
	asked  map[uint64]*ask // admitted or waiting
	limits admission.Limits
	away   int // slots less than that, as of followed

	followed time.Duration
}

// ask is a request that asked for admission.
type ask struct {
	granted func()
	refused func(retryAfter time.Duration)
	yield   func()
}

func replicaName(zone string, number int) string { return fmt.Sprintf("%s-%03d", zone, number) }

func (s *simulation) addGateways() {
	fleet := &s.scenario.Fleet
	for rank := range fleet.Gateways {
		added := &gateway{
			zone: fleet.Zones[rank%len(fleet.Zones)], policy: s.policy.routingPolicy(), asked: map[uint64]*ask{},
			pool: routing.NewPool(routing.Settings{
				ReportLag: fleet.ReportLag, SpreadBackground: s.policy.off(MechanismPacking),
			}),
			limits: s.limits(rank), queue: admission.New(s.limits(rank)),
			random: rand.NewPCG(s.seed, uint64(rank)<<8|streamGateways),
		}
		added.pool.SetReplicas(s.replicaConfigs(added.zone, rank))
		s.gateways = append(s.gateways, added)
	}
}

func (s *simulation) limits(rank int) admission.Limits {
	count := s.scenario.Fleet.Gateways
	slots := s.slots()
	return admission.Limits{
		Slots:        admission.Share(slots, count, rank, 0),
		RolloutSlots: admission.Share(slots*s.scenario.Table.RolloutShare/100, count, rank, 0),
		QueueLimit:   admission.Share(s.scenario.Table.QueueLimit, count, rank, 0),
		QueueWait:    s.scenario.Table.QueueWait,
		ClassOrder:   []string{classLive, classRollout},
	}
}

// slots is the number of requests that the pool may have in flight.
func (s *simulation) slots() int { return len(s.replicas) * s.scenario.Table.MaxInFlight }

func (s *simulation) replicaConfigs(zone Zone, rank int) []routing.ReplicaConfig {
	count := s.scenario.Fleet.Gateways
	background := s.scenario.Table.MaxInFlight * s.scenario.Table.RolloutShare / 100
	configs := make([]routing.ReplicaConfig, len(s.replicas))
	for index, r := range s.replicas {
		configs[index] = routing.ReplicaConfig{
			Name: r.name, Weight: weightOfReplica, Distance: distance(zone, r.zone),
			MaxInFlight:   admission.Share(s.scenario.Table.MaxInFlight, count, rank, uint64(index)),
			MaxBackground: admission.Share(background, count, rank, uint64(index)),
		}
	}
	return configs
}

func distance(from, to Zone) routing.Distance {
	switch {
	case from.Name == to.Name:
		return routing.SameZone
	case from.Region == to.Region:
		return routing.SameRegion
	}
	return routing.OtherRegion
}

// delay is the one-way time between two zones.
func (s *simulation) delay(from, to Zone) time.Duration {
	const sameZonePart = 10
	switch distance(from, to) {
	case routing.SameZone:
		return s.scenario.Fleet.ZoneDelay / sameZonePart
	case routing.SameRegion:
		return s.scenario.Fleet.ZoneDelay
	}
	return s.scenario.Fleet.RegionDelay
}

// followInterval is the least time between a gateway's looks for replicas that take no work.
const followInterval = 200 * time.Millisecond

// follow takes the slots of replicas that take no work off the limits, as the production gateway does.
func (s *simulation) follow(g *gateway) {
	if s.now < g.followed+followInterval {
		return
	}
	g.followed = s.now
	slots, background := g.pool.Away(s.now)
	if slots >= g.limits.Slots {
		slots, background = 0, 0
	}
	if slots == g.away {
		return
	}
	g.away = slots
	limits := g.limits
	limits.Slots -= slots
	limits.RolloutSlots = max(limits.RolloutSlots-background, 0)
	s.apply(g, g.queue.SetLimits(s.now, limits))
}

// admit asks a gateway for admission under an identity of the caller's choice.
func (s *simulation) admit(g *gateway, request admission.Request, one *ask) {
	s.follow(g)
	g.asked[request.ID] = one
	effects, until := g.queue.Arrive(s.now, request)
	s.apply(g, effects)
	if _, open := g.asked[request.ID]; open && until > s.now && until < s.scenario.Duration {
		s.at(until, func() { s.apply(g, g.queue.Expire(s.now, request.ID)) })
	}
}

// release gives an admitted request's slot back.
func (s *simulation) release(g *gateway, id uint64) {
	delete(g.asked, id)
	s.apply(g, g.queue.Done(s.now, id))
}

// apply tells the askers what the queue decided. What they do goes through the agenda, never back into the
// queue at once, because the effects are only valid until the next call.
func (s *simulation) apply(g *gateway, effects *admission.Effects) {
	for _, id := range effects.Granted {
		if one := g.asked[id]; one != nil {
			s.after(0, one.granted)
		}
	}
	for _, refusal := range effects.Refused {
		if one := g.asked[refusal.ID]; one != nil {
			delete(g.asked, refusal.ID)
			retryAfter := refusal.RetryAfter
			s.after(0, func() { one.refused(retryAfter) })
		}
	}
	for _, id := range effects.Yield {
		if one := g.asked[id]; one != nil && one.yield != nil {
			s.after(0, one.yield)
		}
	}
}

// send chooses a replica for an admitted request and brings it there; false if none may take it.
func (s *simulation) send(g *gateway, to receiver, request routing.Request, work engine.Request) (*attempt, bool) {
	position := g.policy.Choose(g.pool, &request, s.now, g.random)
	if position == routing.None {
		return nil, false
	}
	request.Excluded = slices.Clone(request.Excluded)
	s.requests++
	chosen := s.replicas[position]
	one := &attempt{
		id: s.requests, replica: chosen, gateway: g, request: request, receiver: to, delay: s.delay(g.zone, chosen.zone),
	}
	g.pool.Sent(position, &one.request, s.now)
	work.ID = one.id
	s.submit(one, work)
	return one, true
}

// scheduleReports makes every replica report its load to every gateway, late.
func (s *simulation) scheduleReports() {
	interval := s.scenario.Fleet.ReportInterval
	for _, r := range s.replicas {
		offset := time.Duration(float64(interval) * s.random.Float64())
		s.after(offset, func() { s.report(r) })
	}
}

func (s *simulation) report(r *replica) {
	s.after(s.scenario.Fleet.ReportInterval, func() { s.report(r) })
	if r.down {
		return
	}
	load := r.engine.Load(s.now)
	report := routing.LoadReport{Requests: float64(load.Running + load.Waiting)}
	s.after(s.reportLag, func() {
		s.weights.report(r, load)
		for _, g := range s.gateways {
			g.pool.Report(r.name, report, s.now)
		}
	})
}

func sortedAttempts(r *replica) []*attempt {
	sorted := make([]*attempt, 0, len(r.attempts))
	for _, one := range r.attempts {
		sorted = append(sorted, one)
	}
	slices.SortFunc(sorted, func(first, second *attempt) int { return cmp.Compare(first.id, second.id) })
	return sorted
}

// blockHashes returns the chained hashes of a prompt's whole blocks: equal for equal names.
func blockHashes(name uint64, tokens, blockTokens int) []uint64 {
	hashes := make([]uint64, tokens/blockTokens)
	for index := range hashes {
		hashes[index] = mix(name*math.MaxUint32 + uint64(index) + 1)
	}
	return hashes
}

// routingBlocks picks the hashes that end a block of routing's size.
func routingBlocks(hashes []uint64, blockTokens int) []uint64 {
	every := max(routingBlockTokens/blockTokens, 1)
	var picked []uint64
	for index := every - 1; index < len(hashes); index += every {
		picked = append(picked, hashes[index])
	}
	return picked
}

// mix spreads a number over all bits (the finaliser of splitmix64).
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// leave takes a request out of a gateway's queue, whether it waits or runs.
func (s *simulation) leave(g *gateway, id uint64) {
	delete(g.asked, id)
	s.apply(g, g.queue.Leave(s.now, id))
	s.apply(g, g.queue.Done(s.now, id))
}

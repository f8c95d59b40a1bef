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

// Admission classes, most urgent first.
const (
	classLive    = "live"
	classRollout = "rollout"
)

// replicaWeight is the routing weight of each replica in the settings table.
const replicaWeight = 100

// routingBlockTokens is the size in tokens of the prompt blocks that routing compares.
const routingBlockTokens = 128

// gateway is the state of one gateway: its routing pool and its share of the limits.
type gateway struct {
	zone             Zone
	pool             *routing.Pool
	policy           routing.Policy
	queue            *admission.Queue
	random           *rand.PCG
	callbacks        map[uint64]*admissionCallbacks // of admitted and waiting requests, by request ID
	limits           admission.Limits
	unavailableSlots int // subtracted from limits.Slots as of limitsUpdatedAt

	limitsUpdatedAt time.Duration
}

// admissionCallbacks holds the functions to call when the admission queue decides on a request. onPreempt may be nil.
type admissionCallbacks struct {
	onGranted  func()
	onRejected func(retryAfter time.Duration)
	onPreempt  func()
}

func replicaName(zone string, number int) string { return fmt.Sprintf("%s-%03d", zone, number) }

func (s *simulation) addGateways() {
	fleet := &s.scenario.Fleet
	for rank := range fleet.Gateways {
		added := &gateway{
			zone: fleet.Zones[rank%len(fleet.Zones)], policy: s.policy.routingPolicy(),
			callbacks: map[uint64]*admissionCallbacks{},
			pool: routing.NewPool(routing.Settings{
				ReportLag: fleet.ReportLag, SpreadBackground: s.policy.isDisabled(MechanismPacking),
			}),
			limits: s.limits(rank), queue: admission.New(s.limits(rank)),
			random: rand.NewPCG(s.seed, uint64(rank)<<8|streamGateways),
		}
		added.pool.SetReplicas(s.replicaConfigs(added.zone, rank))
		s.gateways = append(s.gateways, added)
	}
}

// limits returns the share of the pool's limits that the gateway with the given rank applies.
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

// slots returns the maximum number of requests in flight in the whole pool.
func (s *simulation) slots() int { return len(s.replicas) * s.scenario.Table.MaxInFlight }

func (s *simulation) replicaConfigs(zone Zone, rank int) []routing.ReplicaConfig {
	count := s.scenario.Fleet.Gateways
	background := s.scenario.Table.MaxInFlight * s.scenario.Table.RolloutShare / 100
	configs := make([]routing.ReplicaConfig, len(s.replicas))
	for index, r := range s.replicas {
		configs[index] = routing.ReplicaConfig{
			Name: r.name, Weight: replicaWeight, Distance: distance(zone, r.zone),
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

// oneWayDelay returns the one-way network delay between two zones.
func (s *simulation) oneWayDelay(from, to Zone) time.Duration {
	const sameZonePart = 10
	switch distance(from, to) {
	case routing.SameZone:
		return s.scenario.Fleet.ZoneDelay / sameZonePart
	case routing.SameRegion:
		return s.scenario.Fleet.ZoneDelay
	}
	return s.scenario.Fleet.RegionDelay
}

// limitsUpdateInterval is the minimum time between two updates of a gateway's limits.
const limitsUpdateInterval = 200 * time.Millisecond

// updateLimits subtracts the slots of replicas that accept no work from the gateway's limits, as the production
// gateway does. If no slots would remain, the limits stay unreduced.
func (s *simulation) updateLimits(g *gateway) {
	if s.now < g.limitsUpdatedAt+limitsUpdateInterval {
		return
	}
	g.limitsUpdatedAt = s.now
	slots, background := g.pool.UnavailableSlots(s.now)
	if slots >= g.limits.Slots {
		slots, background = 0, 0
	}
	if slots == g.unavailableSlots {
		return
	}
	g.unavailableSlots = slots
	limits := g.limits
	limits.Slots -= slots
	limits.RolloutSlots = max(limits.RolloutSlots-background, 0)
	s.applyEffects(g, g.queue.SetLimits(s.now, limits))
}

// admit requests admission at a gateway. The caller chooses request.ID, which must be unique.
func (s *simulation) admit(g *gateway, request admission.Request, callbacks *admissionCallbacks) {
	s.updateLimits(g)
	g.callbacks[request.ID] = callbacks
	effects, until := g.queue.Arrive(s.now, request)
	s.applyEffects(g, effects)
	if _, open := g.callbacks[request.ID]; open && until > s.now && until < s.scenario.Duration {
		s.at(until, func() { s.applyEffects(g, g.queue.Expire(s.now, request.ID)) })
	}
}

// releaseSlot releases the slot of an admitted request.
func (s *simulation) releaseSlot(g *gateway, id uint64) {
	delete(g.callbacks, id)
	s.applyEffects(g, g.queue.Done(s.now, id))
}

// applyEffects schedules the callbacks for the queue's decisions. The callbacks run as separate events, because they
// can call the queue and effects is valid only until the next call of the queue.
func (s *simulation) applyEffects(g *gateway, effects *admission.Effects) {
	for _, id := range effects.Granted {
		if one := g.callbacks[id]; one != nil {
			s.after(0, one.onGranted)
		}
	}
	for _, rejection := range effects.Refused {
		if one := g.callbacks[rejection.ID]; one != nil {
			delete(g.callbacks, rejection.ID)
			retryAfter := rejection.RetryAfter
			s.after(0, func() { one.onRejected(retryAfter) })
		}
	}
	for _, id := range effects.Preempted {
		if one := g.callbacks[id]; one != nil && one.onPreempt != nil {
			s.after(0, one.onPreempt)
		}
	}
}

// routeToReplica selects a replica for an admitted request and submits the request there. It returns false if no
// replica can accept the request.
func (s *simulation) routeToReplica(g *gateway, receiver receiver, request routing.Request, engineRequest engine.Request) (*attempt, bool) {
	position := g.policy.Choose(g.pool, &request, s.now, g.random)
	if position == routing.None {
		return nil, false
	}
	request.Excluded = slices.Clone(request.Excluded)
	s.lastRequestID++
	target := s.replicas[position]
	one := &attempt{
		id: s.lastRequestID, replica: target, gateway: g, request: request, receiver: receiver,
		oneWayDelay: s.oneWayDelay(g.zone, target.zone),
	}
	g.pool.Sent(position, &one.request, s.now)
	engineRequest.ID = one.id
	s.submit(one, engineRequest)
	return one, true
}

// scheduleReports makes every replica report its load periodically to every gateway, where each report arrives after
// the report lag. The reports of different replicas start at random offsets.
func (s *simulation) scheduleReports() {
	interval := s.scenario.Fleet.ReportInterval
	for _, r := range s.replicas {
		offset := time.Duration(float64(interval) * s.random.Float64())
		s.after(offset, func() { s.reportLoad(r) })
	}
}

func (s *simulation) reportLoad(r *replica) {
	s.after(s.scenario.Fleet.ReportInterval, func() { s.reportLoad(r) })
	if r.down {
		return
	}
	load := r.engine.Load(s.now)
	report := routing.LoadReport{Requests: float64(load.Running + load.Waiting)}
	s.after(s.reportLag, func() {
		s.weights.reportLoad(r, load)
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

// hashBlocks returns stand-ins for the chained hashes of a prompt's complete blocks. Prompts with the same name get the
// same hashes.
func hashBlocks(name uint64, tokens, blockTokens int) []uint64 {
	hashes := make([]uint64, tokens/blockTokens)
	for index := range hashes {
		hashes[index] = mixBits(name*math.MaxUint32 + uint64(index) + 1)
	}
	return hashes
}

// selectRoutingBlocks returns the hashes of the engine blocks that end a block of routingBlockTokens.
func selectRoutingBlocks(hashes []uint64, blockTokens int) []uint64 {
	stride := max(routingBlockTokens/blockTokens, 1)
	var picked []uint64
	for index := stride - 1; index < len(hashes); index += stride {
		picked = append(picked, hashes[index])
	}
	return picked
}

// mixBits hashes a number with the finalizer of splitmix64.
func mixBits(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// withdraw removes a request from a gateway's queue, whether it is waiting or running.
func (s *simulation) withdraw(g *gateway, id uint64) {
	delete(g.callbacks, id)
	s.applyEffects(g, g.queue.Leave(s.now, id))
	s.applyEffects(g, g.queue.Done(s.now, id))
}

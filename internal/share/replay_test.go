package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/lease"
)

// The replay compares four ways to divide a pool's slots on the same loads. Time is virtual and advances in steps of
// replayStep.
const (
	replayStep          = time.Millisecond
	replayDuration      = 6 * time.Second
	replayLatencyTarget = 150 * time.Millisecond  // within which callers need an answer
	replayQueueWait     = replayLatencyTarget / 4 // queue wait at a gateway, which package forward bounds in the same way
	replayService       = 60 * time.Millisecond
	replayLease         = 1200 * time.Millisecond
	replayRenewal       = replayLease / 6
	replayMinRenewalGap = replayLease / 12
	replayRoundTrip     = 10 * time.Millisecond // round trip of a renewal and its answer
	replayGateways      = 62
	replayReplicas      = 6
	replaySlots         = 3 // slots of a replica
)

// span is a period of the replay.
type span struct{ from, to time.Duration }

func (s span) contains(now time.Duration) bool { return now >= s.from && now < s.to }

// load describes arrivals at all gateways, with more of them at the first few gateways for some time.
type load struct {
	name          string
	baseRate      float64 // arrivals per second at all gateways
	surgeRate     float64 // additional arrivals per second at the first surgeGateways gateways, during surgeSpan
	surgeGateways int     // number of gateways with additional arrivals
	surgeSpan     span
	withdrawn     span // a third of the replicas takes no new requests
	frozen        span // gateway 0 does not run
}

var loads = []load{
	{name: "calm", baseRate: 60},
	{name: "one zone, 12 times", baseRate: 60, surgeRate: 660, surgeGateways: 20, surgeSpan: span{2 * time.Second, 4 * time.Second}},
	{name: "few gateways", baseRate: 5, surgeRate: 195, surgeGateways: 3, surgeSpan: span{2 * time.Second, 4 * time.Second}},
	{name: "a third withdrawn", baseRate: 180, withdrawn: span{2 * time.Second, 4500 * time.Millisecond}},
	{name: "gateway frozen", baseRate: 60, surgeRate: 150, surgeGateways: 2, surgeSpan: span{time.Second, 5 * time.Second}, frozen: span{2 * time.Second, 4 * time.Second}},
}

// divider decides how many requests a gateway may have in flight.
type divider interface {
	slots(gateway int) int
	step(now time.Duration, r *replay)
}

// undivided gives all slots to every gateway.
type undivided struct{ r *replay }

func (u undivided) slots(int) int                   { return u.r.limit }
func (u undivided) step(_ time.Duration, _ *replay) {}

// byRank divides the slots with admission.Share, without regard to demand.
type byRank struct{ r *replay }

func (b byRank) slots(gateway int) int           { return admission.Share(b.r.limit, replayGateways, gateway, 0) }
func (b byRank) step(_ time.Duration, _ *replay) {}

// byDemand divides the slots with an Allocator and a Holding for each gateway.
type byDemand struct {
	now         time.Duration
	allocator   *Allocator
	holdings    [replayGateways]*Holding
	nextRenewal [replayGateways]time.Duration
	lastRenewal [replayGateways]time.Duration
	answers     []replayAnswer
	acted       [replayGateways]uint64
	told        [replayGateways]Demand
	number      uint64
}

type replayAnswer struct {
	at, ends time.Duration
	gateway  int
	number   uint64
	demands  []ResourceDemand
	grants   []Grant
}

func newByDemand() *byDemand {
	d := &byDemand{allocator: NewAllocator(0)}
	for g := range d.holdings {
		d.holdings[g], d.nextRenewal[g] = NewHolding(), replayRenewal*time.Duration(g)/replayGateways
		d.holdings[g].Apply([]ResourceDemand{{Resource: "slots/p"}}, []Grant{{Resource: "slots/p", Amount: lentSlots}}, 0)
	}
	return d
}

func (d *byDemand) slots(gateway int) int {
	amount, _ := d.holdings[gateway].Share(d.now, "slots/p")
	return int(amount)
}

func (d *byDemand) step(now time.Duration, r *replay) {
	d.now = now
	d.allocator.SetLimit("slots/p", uint32(r.limit))
	for len(d.answers) > 0 && d.answers[0].at <= now {
		d.deliver(d.answers[0], now, r)
		d.answers = d.answers[1:]
	}
	for g := range replayGateways {
		renewEarly := len(r.queues[g]) > 0 && now >= d.lastRenewal[g]+replayMinRenewalGap
		if now < d.nextRenewal[g] && !renewEarly || r.isFrozen(g, now) {
			continue
		}
		d.nextRenewal[g], d.lastRenewal[g] = now+replayRenewal, now
		d.number++
		demand := Demand{InUse: uint32(r.inFlight[g]), Waiting: uint32(len(r.queues[g]))}
		if demand == (Demand{}) && d.told[g] == demand {
			continue
		}
		d.told[g] = demand
		demands := []ResourceDemand{{Resource: "slots/p", Demand: demand}}
		renewal := &Renewal{Holder: lease.HolderID{Name: fmt.Sprint(g)}, Number: d.number, AppliedAnswer: d.acted[g], LeaseEnds: now + replayLease, Demands: demands}
		d.answers = append(d.answers, replayAnswer{at: now + replayRoundTrip, ends: now + replayLease, gateway: g, number: d.number, demands: demands, grants: d.allocator.Renew(now, renewal)})
	}
}

func (d *byDemand) deliver(a replayAnswer, now time.Duration, r *replay) {
	if r.isFrozen(a.gateway, now) {
		return
	}
	d.acted[a.gateway] = a.number
	if d.holdings[a.gateway].Apply(a.demands, a.grants, a.ends) {
		d.nextRenewal[a.gateway] = min(d.nextRenewal[a.gateway], max(now, d.lastRenewal[a.gateway]+replayMinRenewalGap))
	}
}

// job is one request.
type job struct {
	gateway int
	arrived time.Duration
	left    time.Duration // remaining service time
}

// replay is one run of a load under a divider.
type replay struct {
	load     load
	limit    int
	refusing bool // a replica without a free slot refuses requests
	queues   [replayGateways][]job
	inFlight [replayGateways]int
	replicas [replayReplicas][]job // queue of each replica; the first replaySlots jobs run
	random   *rand.Rand

	arrived, inTime, timedOut, refused, maxOverLimit int
	burstServedAfter                                 time.Duration // time until two thirds of the slots are in use
}

func (r *replay) isFrozen(gateway int, now time.Duration) bool {
	return gateway == 0 && r.load.frozen.contains(now)
}

func (r *replay) usableReplicas(now time.Duration) int {
	if r.load.withdrawn.contains(now) {
		return replayReplicas * 2 / 3
	}
	return replayReplicas
}

func (r *replay) run(d divider) {
	for now := time.Duration(0); now < replayDuration; now += replayStep {
		r.limit = r.usableReplicas(now) * replaySlots
		r.arrive(now)
		r.serve(now)
		d.step(now, r)
		for g := range replayGateways {
			r.dispatch(now, g, d.slots(g))
		}
		r.measure(now)
	}
}

func (r *replay) arrive(now time.Duration) {
	add := func(rate float64, gateways int) {
		for expected := rate * replayStep.Seconds(); expected > 0; expected-- {
			if r.random.Float64() < expected {
				g := r.random.IntN(gateways)
				service := replayService/2 + time.Duration(r.random.Int64N(int64(replayService)))
				r.queues[g] = append(r.queues[g], job{gateway: g, arrived: now, left: service})
				r.arrived++
			}
		}
	}
	add(r.load.baseRate, replayGateways)
	if r.load.surgeSpan.contains(now) {
		add(r.load.surgeRate, r.load.surgeGateways)
	}
}

func (r *replay) serve(now time.Duration) {
	for i := range r.replicas {
		remaining := r.replicas[i][:0]
		for index, one := range r.replicas[i] {
			if index < replaySlots {
				one.left -= replayStep
			}
			if one.left > 0 {
				remaining = append(remaining, one)
				continue
			}
			r.inFlight[one.gateway]--
			if now-one.arrived <= replayLatencyTarget && !r.isFrozen(one.gateway, now) {
				r.inTime++
			}
		}
		r.replicas[i] = remaining
	}
}

// dispatch sends requests up to the gateway's slots, each to the less loaded one of two random replicas, and drops
// those that have waited for replayQueueWait.
func (r *replay) dispatch(now time.Duration, g, slots int) {
	for !r.isFrozen(g, now) && len(r.queues[g]) > 0 {
		head := r.queues[g][0]
		if now-head.arrived >= replayQueueWait {
			r.timedOut++
			r.queues[g] = r.queues[g][1:]
			continue
		}
		if r.inFlight[g] >= slots {
			return
		}
		r.queues[g] = r.queues[g][1:]
		r.send(head, now)
	}
}

func (r *replay) send(one job, now time.Duration) {
	first, second := r.random.IntN(r.usableReplicas(now)), r.random.IntN(r.usableReplicas(now))
	if len(r.replicas[second]) < len(r.replicas[first]) {
		first = second
	}
	if r.refusing && len(r.replicas[first]) >= replaySlots {
		r.refused++
		return
	}
	r.replicas[first] = append(r.replicas[first], one)
	r.inFlight[one.gateway]++
}

func (r *replay) measure(now time.Duration) {
	inFlight := 0
	for i := range r.usableReplicas(now) {
		inFlight += len(r.replicas[i])
	}
	r.maxOverLimit = max(r.maxOverLimit, inFlight-r.limit)
	if since := now - r.load.surgeSpan.from; r.load.surgeRate > 0 && since >= 0 && r.burstServedAfter == 0 && inFlight >= r.limit*2/3 {
		r.burstServedAfter = max(since, replayStep)
	}
}

// served returns the part of the requests that were answered within the latency target.
func (r *replay) served() float64 { return float64(r.inTime) / float64(max(r.arrived, 1)) }

func (r *replay) summary() string {
	part := func(count int) float64 { return float64(count) / float64(max(r.arrived, 1)) }
	return fmt.Sprintf("in time %.3f, timed out %.3f, refused %.3f, over the limit %3d, two thirds in use after %v",
		r.served(), part(r.timedOut), part(r.refused), r.maxOverLimit, r.burstServedAfter)
}

// runDividers runs all ways of division on a load, with the same random seed.
func runDividers(one load) map[string]*replay {
	results := map[string]*replay{}
	for _, way := range []string{"undivided", "by rank", "by demand", "refusing"} {
		r := &replay{load: one, limit: replayReplicas * replaySlots, refusing: way == "refusing", random: rand.New(rand.NewPCG(1, 2))}
		var d divider = undivided{r}
		switch way {
		case "by rank":
			d = byRank{r}
		case "by demand":
			d = newByDemand()
		}
		r.run(d)
		results[way] = r
	}
	return results
}

// TestDivisionByDemandServesMostCallers checks that division by demand serves more callers in time than equal shares.
// Under moderate load it must serve as many as no division at all and refusing replicas do, within the slack. Under
// heavy overload it must serve several times as many as no division.
func TestDivisionByDemandServesMostCallers(t *testing.T) {
	const slack = 0.01
	burstTarget := 200 * time.Millisecond // time for a burst to get the slots that others leave idle
	for _, one := range loads {
		results := runDividers(one)
		for way, r := range results {
			t.Logf("%-20s %-10s %s", one.name, way, r.summary())
		}
		demand, undivided := results["by demand"], results["undivided"]
		if one.surgeRate > 0 && (demand.burstServedAfter == 0 || demand.burstServedAfter > burstTarget) {
			t.Errorf("%s: a burst got two thirds of the slots after %v, want at most 200ms", one.name, demand.burstServedAfter)
		}
		if demand.served() < results["by rank"].served()+slack {
			t.Errorf("%s: division by demand serves no more callers than equal shares", one.name)
		}
		if undivided.maxOverLimit > undivided.limit {
			if demand.served() < 3*undivided.served() || demand.maxOverLimit > replayGateways {
				t.Errorf("%s: division by demand serves too few callers in time or exceeds the limit too far: %s", one.name, demand.summary())
			}
		} else if demand.served() < undivided.served()-3*slack || demand.served() < results["refusing"].served()-slack {
			t.Errorf("%s: division by demand serves fewer callers in time than no division or refusing replicas: %s", one.name, demand.summary())
		}
	}
}

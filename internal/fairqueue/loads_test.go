package fairqueue

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// load describes the calls of several tenants that compete for a number of slots.
type load struct {
	name          string
	slots         int
	callerTimeout time.Duration // longest time that a caller waits for the end of its call
	loadDuration  time.Duration
	groups        []tenantGroup
	// maxLatencyRatio bounds the 99th percentile of light tenants' latency, as a multiple of the same percentile
	// without the heavy tenants.
	maxLatencyRatio float64
}

// tenantGroup describes tenants with equal behaviour. Each one asks for a multiple of its equal share of the slots.
type tenantGroup struct {
	count         int
	shareMultiple float64
	work          time.Duration // mean work of a call; the work of a call differs from it by up to half
	heavy         bool          // the tenants ask for more than their share
}

// loads are the loads on which the scheduling policies are compared, in addition to manySmall.
var loads = []load{
	{name: "one tenant with 30 times its share of calls", slots: 16, callerTimeout: 800 * time.Millisecond, loadDuration: 20 * time.Second, maxLatencyRatio: 1.5,
		groups: []tenantGroup{{count: 20, shareMultiple: 0.5, work: 25 * time.Millisecond}, {count: 1, shareMultiple: 30, work: 25 * time.Millisecond, heavy: true}}},
	{name: "one tenant with 30 times its share of long items", slots: 64, callerTimeout: 12 * time.Second, loadDuration: 200 * time.Second, maxLatencyRatio: 1.5,
		groups: []tenantGroup{{count: 4, shareMultiple: 0.5, work: time.Second}, {count: 1, shareMultiple: 30, work: time.Second, heavy: true}}},
}

// manySmall contains long calls. A call cannot be interrupted once it has begun, so heavy tenants hold the slots that
// they got while others were idle.
var manySmall = load{name: "many small tenants beside few large ones", slots: 16, callerTimeout: 800 * time.Millisecond, loadDuration: 40 * time.Second, maxLatencyRatio: 1.5,
	groups: []tenantGroup{{count: 75, shareMultiple: 0.5, work: 25 * time.Millisecond}, {count: 4, shareMultiple: 20, work: 250 * time.Millisecond, heavy: true}}}

// call is one call of a tenant.
type call struct {
	tenant        int
	heavy         bool
	at, work      time.Duration // arrival and service time
	ends, started time.Duration
}

// policy selects the next one of the waiting calls.
type policy interface {
	push(one *call)
	pop() *call // nil if none waits
	ended(one *call)
}

// calls draws the calls of all tenants from a fixed seed, in the order of arrival. If calm is set, the calls of heavy
// tenants are left out.
func (l *load) calls(lightOnly bool) (all []*call, number int) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, group := range l.groups {
		number += group.count
	}
	tenant := 0
	for _, group := range l.groups {
		gap := float64(group.work) * float64(number) / (group.shareMultiple * float64(l.slots))
		for range group.count {
			for at := random.ExpFloat64() * gap; at < float64(l.loadDuration); at += random.ExpFloat64() * gap {
				work := time.Duration(float64(group.work) * (0.5 + random.Float64()))
				if !lightOnly || !group.heavy {
					all = append(all, &call{tenant: tenant, heavy: group.heavy, at: time.Duration(at), work: work})
				}
			}
			tenant++
		}
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.at, b.at) })
	return all, number
}

// simulate serves the calls in the order that the policy selects. Calls that cannot end within callerTimeout are
// dropped.
func (l *load) simulate(all []*call, waiting policy) {
	var running []*call
	next := 0
	for now := time.Duration(0); next < len(all) || len(running) > 0; {
		for ; next < len(all) && all[next].at <= now; next++ {
			waiting.push(all[next])
		}
		for len(running) < l.slots {
			one := waiting.pop()
			if one == nil {
				break
			}
			if now+one.work > one.at+l.callerTimeout {
				waiting.ended(one)
				continue
			}
			one.started, one.ends = now, now+one.work
			running = append(running, one)
		}
		slices.SortFunc(running, func(a, b *call) int { return cmp.Compare(a.ends, b.ends) })
		if next < len(all) && (len(running) == 0 || all[next].at < running[0].ends) {
			now = all[next].at
			continue
		}
		if len(running) > 0 {
			now = running[0].ends
			waiting.ended(running[0])
			running = running[1:]
		}
	}
}

// loadResult holds the results of one policy on one load.
type loadResult struct {
	worstTenth       float64       // mean part of their share (or demand, if less) that the worst-served tenth got
	served           float64       // part of the light tenants' calls that were served; 1 without heavy tenants
	latency          time.Duration // 99th percentile of light tenants' latency
	lightOnlyLatency time.Duration // the same percentile without heavy tenants
}

func (l *load) measure(make func() policy) loadResult {
	var result loadResult
	lightOnly, _ := l.calls(true)
	l.simulate(lightOnly, make())
	_, result.lightOnlyLatency = lightCallStats(lightOnly)
	all, number := l.calls(false)
	l.simulate(all, make())
	result.served, result.latency = lightCallStats(all)
	result.worstTenth = l.meanOfWorstTenth(all, number)
	return result
}

func lightCallStats(all []*call) (served float64, latency time.Duration) {
	var took []time.Duration
	asked := 0
	for _, one := range all {
		if one.heavy {
			continue
		}
		asked++
		if one.ends > 0 {
			took = append(took, one.ends-one.at)
		}
	}
	if len(took) == 0 {
		return 0, 0
	}
	slices.Sort(took)
	return float64(len(took)) / float64(asked), took[len(took)*99/100]
}

func (l *load) meanOfWorstTenth(all []*call, number int) (mean float64) {
	asked, served := make([]float64, number), make([]float64, number)
	for _, one := range all {
		asked[one.tenant] += one.work.Seconds()
		if one.ends > 0 {
			served[one.tenant] += one.work.Seconds()
		}
	}
	share := float64(l.slots) * l.loadDuration.Seconds() / float64(number)
	parts := make([]float64, number)
	for i := range parts {
		parts[i] = served[i] / min(asked[i], share)
	}
	slices.Sort(parts)
	tenth := max(number/10, 1)
	for _, part := range parts[:tenth] {
		mean += part / float64(tenth)
	}
	return mean
}

// fairPolicy is the Queue of this package.
type fairPolicy struct{ queue Queue[*call] }

func (f *fairPolicy) push(one *call) {
	f.queue.Push(Owner{Name: string(rune('a' + one.tenant))}, one.work.Seconds()*1000, one)
}
func (f *fairPolicy) ended(*call) {}

func (f *fairPolicy) pop() *call {
	one, _ := f.queue.Pop()
	return one
}

// policies are the compared scheduling policies. Except for the first one, which serves all calls in the order of
// arrival, they choose between tenants.
var policies = []struct {
	name string
	make func() policy
}{
	{"first come first served", func() policy { return &perTenantQueues{choose: chooseFirstCome} }},
	{"deficit round robin", func() policy { return &perTenantQueues{choose: chooseByDeficit} }},
	{"start-time fair queueing", func() policy { return &perTenantQueues{choose: chooseEarliestStart} }},
	{"least running work", func() policy { return &perTenantQueues{choose: chooseLeastRunning} }},
	{"this package", func() policy { return &fairPolicy{} }},
}

// perTenantQueues implements the other policies with a queue and an account per tenant.
type perTenantQueues struct {
	queues      [100][]*call
	accounts    [100]time.Duration // deficit (round robin) or virtual start (start-time fair queueing)
	running     [100]time.Duration
	virtualTime time.Duration
	nextTenant  int
	choose      func(*perTenantQueues) (tenant int)
}

func (b *perTenantQueues) push(one *call) {
	if len(b.queues[one.tenant]) == 0 {
		b.accounts[one.tenant] = max(b.accounts[one.tenant], b.virtualTime)
	}
	b.queues[one.tenant] = append(b.queues[one.tenant], one)
}

func (b *perTenantQueues) pop() *call {
	tenant := b.choose(b)
	if tenant < 0 {
		return nil
	}
	one := b.queues[tenant][0]
	b.queues[tenant] = b.queues[tenant][1:]
	b.running[tenant] += one.work
	return one
}

func (b *perTenantQueues) ended(one *call) { b.running[one.tenant] -= one.work }

// tenantWithLeast returns the tenant with the smallest figure among those with waiting calls, or -1 if none waits.
func (b *perTenantQueues) tenantWithLeast(figure func(tenant int) time.Duration) int {
	best := -1
	for tenant, queue := range b.queues {
		if len(queue) > 0 && (best < 0 || figure(tenant) < figure(best)) {
			best = tenant
		}
	}
	return best
}

func chooseFirstCome(b *perTenantQueues) int {
	return b.tenantWithLeast(func(tenant int) time.Duration { return b.queues[tenant][0].at })
}

func chooseLeastRunning(b *perTenantQueues) int {
	return b.tenantWithLeast(func(tenant int) time.Duration { return b.running[tenant] })
}

func chooseEarliestStart(b *perTenantQueues) int {
	tenant := b.tenantWithLeast(func(tenant int) time.Duration { return b.accounts[tenant] })
	if tenant >= 0 {
		b.virtualTime = b.accounts[tenant]
		b.accounts[tenant] += b.queues[tenant][0].work
	}
	return tenant
}

// quantum is the amount by which a tenant's deficit grows in each round. It equals the longest call.
const quantum = 375 * time.Millisecond

func chooseByDeficit(b *perTenantQueues) int {
	if chooseFirstCome(b) < 0 {
		return -1
	}
	for ; ; b.nextTenant = (b.nextTenant + 1) % len(b.queues) {
		queue := b.queues[b.nextTenant]
		switch {
		case len(queue) == 0:
			b.accounts[b.nextTenant] = 0
		case b.accounts[b.nextTenant] >= queue[0].work:
			b.accounts[b.nextTenant] -= queue[0].work
			return b.nextTenant
		default:
			b.accounts[b.nextTenant] += quantum
		}
	}
}

// TestLightTenantsAreServedBesideHeavyOnes checks that heavy tenants hardly reduce the served calls of light tenants
// and hardly increase their latency.
func TestLightTenantsAreServedBesideHeavyOnes(t *testing.T) {
	for _, one := range loads {
		one.check(t)
	}
}

// TestManySmallTenantsBesideFewLargeOnes checks the same bounds as TestLightTenantsAreServedBesideHeavyOnes where the
// heavy tenants' calls are ten times as long as those of the light ones.
func TestManySmallTenantsBesideFewLargeOnes(t *testing.T) {
	manySmall.check(t)
}

// check logs the results of all policies on a load, and fails if this package's result is below the bounds for light
// tenants.
func (one load) check(t *testing.T) {
	t.Helper()
	const (
		minServed = 0.95
		minShare  = 0.95
	)
	for _, candidate := range policies {
		got := one.measure(candidate.make)
		ratio := got.latency.Seconds() / got.lightOnlyLatency.Seconds()
		t.Logf("%s, %s: worst tenth %.2f, light tenants served %.3f, 99th percentile %v, %.2f times the one without heavy tenants", one.name, candidate.name,
			got.worstTenth, got.served, got.latency.Round(time.Millisecond), ratio)
		if candidate.name == "this package" && (got.worstTenth < minShare || got.served < minServed || ratio > one.maxLatencyRatio) {
			t.Errorf("%s: result %+v is below the bounds for light tenants", one.name, got)
		}
	}
}

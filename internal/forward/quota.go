package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/quota"
	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/tenant"
)

const (
	// quotaIdleTimeout is how long after a tenant's last request its demand is still published. It is longer than the
	// window over which demand is measured.
	quotaIdleTimeout = 2 * time.Second
	// concurrencyWait is how long a request waits for a share of its tenant's concurrency: long enough for some early
	// renewals. Concurrency limits are small and guaranteed, so nothing of them is lent in advance, and a gateway has
	// no share when a tenant's first request reaches it.
	concurrencyWait = 100 * time.Millisecond
	concurrencyPoll = 5 * time.Millisecond
)

// quotas enforces the tenants' quotas at this process. It does nothing without a source of shares or without a tenant
// that has a quota.
type quotas struct {
	source  share.Source
	mu      sync.Mutex
	random  *rand.Rand              // guarded by mu
	tenants map[string]*tenantQuota // by name; guarded by mu
}

// tenantQuota is the state of one tenant's quota at this process.
type tenantQuota struct {
	name      string
	quota     tenant.Quota
	limiter   *quota.Limiter
	lastUsed  time.Duration // time of the last request
	waiting   int           // requests waiting for a share of the concurrency
	hasDemand bool          // the demand published last was not zero
}

// quotaError holds the figures by which a request was rejected.
type quotaError struct {
	tenant         string
	rate, share    float64 // requests per second
	inFlight, most int     // at this process
}

// Error implements error.
func (e *quotaError) Error() string {
	if e.most > 0 || e.rate == 0 {
		return fmt.Sprintf("forward: tenant %q has %d requests in flight here, of a share of %d", e.tenant, e.inFlight, e.most)
	}
	return fmt.Sprintf("forward: tenant %q has used its share of %.2f of %.0f requests a second", e.tenant, e.share, e.rate)
}

func newQuotas(source share.Source, seed uint64) *quotas {
	return &quotas{source: source, random: rand.New(rand.NewPCG(seed, seed+2)), tenants: map[string]*tenantQuota{}}
}

// update applies the quotas of a table view.
func (q *quotas) update(now time.Duration, tenants *tenant.Index) {
	if q.source == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	next := make(map[string]*tenantQuota, len(tenants.Limited()))
	for _, limited := range tenants.Limited() {
		entry := q.tenants[limited.Name]
		if entry == nil {
			entry = &tenantQuota{name: limited.Name, limiter: quota.NewLimiter(now, q.random.Float64()), lastUsed: now}
		}
		entry.quota = limited.Quota
		next[limited.Name] = entry
		q.publishDemand(now, entry)
	}
	for name := range q.tenants {
		if next[name] == nil {
			q.source.SetDemand(share.Rate(name), share.Demand{})
			q.source.SetDemand(share.Calls(name), share.Demand{})
		}
	}
	q.tenants = next
}

// isInUse reports whether some tenant with a quota was served recently.
func (q *quotas) isInUse(now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, entry := range q.tenants {
		if entry.isInUse(now) {
			return true
		}
	}
	return false
}

func (t *tenantQuota) isInUse(now time.Duration) bool {
	return t.hasDemand || now-t.lastUsed < quotaIdleTimeout || t.limiter.InFlight() > 0
}

// publishDemands publishes the demand of the tenants that were served recently.
func (q *quotas) publishDemands(now time.Duration) {
	if q.source == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, entry := range q.tenants {
		if entry.isInUse(now) {
			q.publishDemand(now, entry)
		}
	}
}

// publishDemand publishes a tenant's demand, which is zero where a quota was removed. The caller holds the mutex.
func (q *quotas) publishDemand(now time.Duration, entry *tenantQuota) {
	var rate, calls share.Demand
	if entry.quota.Rate > 0 {
		rate = quota.Demand(entry.limiter.RequestRates(now))
	}
	if entry.quota.Concurrency > 0 {
		calls = share.Demand{InUse: uint32(entry.limiter.InFlight()), Waiting: uint32(entry.waiting)}
	}
	q.source.SetDemand(share.Rate(entry.name), rate)
	q.source.SetDemand(share.Calls(entry.name), calls)
	entry.hasDemand = rate != share.Demand{} || calls != share.Demand{}
}

// enterQuota charges the request to its tenant's quota until ctx ends. It returns a failure if the quota is used up.
func (x *exchange) enterQuota(ctx context.Context) *Failure {
	if x.callerTenant == nil || !x.callerTenant.Quota.Limited() || x.forwarder.quotas.source == nil {
		return nil
	}
	x.forwarder.wakeShareFollower()       // polls shares while the request waits for one
	defer x.forwarder.wakeShareFollower() // the tenant now counts as recently served
	return x.forwarder.quotas.acquire(ctx, x.forwarder.now, x.callerTenant.Name)
}

func (q *quotas) acquire(ctx context.Context, clock func() time.Duration, name string) *Failure {
	if failure := q.takeRate(clock(), name); failure != nil {
		return failure
	}
	return q.acquireConcurrency(ctx, clock, name)
}

// takeRate charges a request to this process's share of the tenant's rate. The rate is unlimited while nobody divides
// it.
func (q *quotas) takeRate(now time.Duration, name string) *Failure {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry := q.tenants[name]
	if entry == nil || entry.quota.Rate == 0 {
		return nil
	}
	entry.lastUsed = now
	amount, divided := q.source.Share(share.Rate(name))
	if !divided {
		q.publishDemand(now, entry)
		q.source.RenewEarly()
		return nil
	}
	rate := float64(amount) / share.RateUnit
	entry.limiter.SetRate(now, rate, rate*entry.quota.BurstSeconds())
	ok, wait := entry.limiter.Take(now)
	if ok {
		return nil
	}
	q.publishDemand(now, entry)
	q.source.RenewEarly()
	return notRun(QuotaExceeded, wait, &quotaError{tenant: name, rate: float64(entry.quota.Rate), share: rate})
}

// acquireConcurrency counts the request as in flight until ctx ends. It waits up to concurrencyWait for a share of the
// tenant's concurrency.
func (q *quotas) acquireConcurrency(ctx context.Context, clock func() time.Duration, name string) *Failure {
	q.addWaiting(name, 1) // before the first try, which publishes the demand
	defer q.addWaiting(name, -1)
	failure := q.tryAcquireConcurrency(ctx, clock(), name)
	if failure == nil {
		return nil
	}
	ticker := time.NewTicker(concurrencyPoll)
	defer ticker.Stop()
	for until := clock() + concurrencyWait; failure != nil && clock() < until; {
		select {
		case <-ctx.Done():
			return notRun(TimedOut, 0, ctx.Err())
		case <-ticker.C:
		}
		failure = q.tryAcquireConcurrency(ctx, clock(), name)
	}
	return failure
}

func (q *quotas) addWaiting(name string, change int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if entry := q.tenants[name]; entry != nil {
		entry.waiting = max(entry.waiting+change, 0) // the tenant may have been removed and added again in the meantime
	}
}

// tryAcquireConcurrency counts the request as in flight if this process's share of the tenant's concurrency permits it.
func (q *quotas) tryAcquireConcurrency(ctx context.Context, now time.Duration, name string) *Failure {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry := q.tenants[name]
	if entry == nil {
		return nil
	}
	entry.lastUsed = now
	if entry.quota.Concurrency > 0 {
		amount, divided := q.source.Share(share.Calls(name))
		if divided && entry.limiter.InFlight() >= int(amount) {
			q.publishDemand(now, entry)
			q.source.RenewEarly()
			return notRun(QuotaExceeded, concurrencyWait, &quotaError{tenant: name, inFlight: entry.limiter.InFlight(), most: int(amount)})
		}
	}
	entry.limiter.Begin()
	context.AfterFunc(ctx, func() { q.releaseConcurrency(entry) })
	return nil
}

func (q *quotas) releaseConcurrency(entry *tenantQuota) {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry.limiter.End()
}

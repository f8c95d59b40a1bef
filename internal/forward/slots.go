package forward

import (
	"context"
	"errors"
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/route"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// acquireSlot acquires a slot in one of the route's pools. A slot that the request already holds is kept while its pool
// still serves the route.
func (x *exchange) acquireSlot(ctx context.Context, plan *plan) *Failure {
	if x.holdsSlot(plan) {
		return nil
	}
	x.releaseSlot()
	name := x.largeBodyPool
	if !x.isLarge() {
		name = x.pickPool(plan)
	}
	pool := plan.pools[name]
	if pool == nil {
		return x.newFailure(ctx, Unavailable, errNoReplicas)
	}
	x.resetTriedFor(pool)
	now := x.forwarder.now()
	request := x.newAdmissionRequest(now)
	request.Retried = pool.takeRejected(now, x.digest)
	refusal, err := pool.acquireSlot(ctx, x.forwarder.now, request, x.maxSlotWait())
	x.forwarder.metrics.countAdmission(refusal.Reason, err, x.forwarder.now()-now)
	if err != nil {
		return x.newFailure(ctx, TimedOut, err)
	}
	if refusal.Reason != 0 {
		return x.rejectOverloaded(ctx, pool, &request, refusal)
	}
	x.pool, x.poolName = pool, name
	pool.countRequest(x.forwarder.now())
	return nil
}

// holdsSlot reports whether the request holds a slot in a pool that still serves its route.
func (x *exchange) holdsSlot(plan *plan) bool {
	return x.pool != nil && plan.pools[x.poolName] == x.pool && routeServesPool(x.route, x.poolName)
}

// resetTriedFor clears the list of tried back ends unless they belong to the given pool.
func (x *exchange) resetTriedFor(pool *pool) {
	if x.triedPool != pool {
		x.triedBackends, x.triedPool = x.triedBackends[:0], pool
	}
}

// newAdmissionRequest describes the request to the queue of a pool.
func (x *exchange) newAdmissionRequest(now time.Duration) admission.Request {
	request := admission.Request{ID: x.id, Class: className(x.priority()), Deadline: now + x.remaining(), Tenant: x.tenantName, Work: x.routingRequest.Work}
	if x.callerTenant != nil {
		request.Weight = x.callerTenant.Weight
	}
	return request
}

// rejectOverloaded ends a request that a pool's queue rejected, and makes the pool remember it for its return.
func (x *exchange) rejectOverloaded(ctx context.Context, pool *pool, request *admission.Request, refusal admission.Refusal) *Failure {
	failure := x.newFailure(ctx, Overloaded, errors.New(refusal.Reason.String()))
	if failure.Verdict == verdict.DidNotRun {
		failure.RetryAfter = min(max(refusal.RetryAfter, minRetryAfter), maxRetryAfter)
		if !request.Retried {
			pool.noteRejected(x.forwarder.now(), x.digest(), failure.RetryAfter)
		}
	}
	x.logAdmissionRefused(pool, request, &refusal, failure)
	return failure
}

// maxSlotWait returns how long the request may wait for a slot.
func (x *exchange) maxSlotWait() time.Duration {
	if x.route.TargetLatency > 0 {
		return x.route.TargetLatency / slotWaitDivisor
	}
	return x.route.Timeout / slotWaitDivisor
}

func (x *exchange) releaseSlot() {
	if x.pool != nil {
		x.pool.releaseSlot(x.forwarder.now(), x.id)
		x.pool = nil
	}
}

func routeServesPool(r *route.Route, pool string) bool {
	for _, share := range r.Pools {
		if share.Pool == pool && share.Weight > 0 {
			return true
		}
	}
	return false
}

// pickPool picks one of the route's pools at random by weight, among those with slots. If no pool has any, it picks
// among all.
func (x *exchange) pickPool(plan *plan) string {
	draw := func(usable func(route.Share) bool) string {
		var total uint32
		for _, share := range x.route.Pools {
			if usable(share) {
				total += share.Weight
			}
		}
		if total == 0 {
			return ""
		}
		remaining := x.forwarder.randomBelow(total)
		for _, share := range x.route.Pools {
			if !usable(share) {
				continue
			}
			if remaining < share.Weight {
				return share.Pool
			}
			remaining -= share.Weight
		}
		return ""
	}
	name := draw(func(share route.Share) bool {
		pool := plan.pools[share.Pool]
		return pool != nil && pool.hasSlots()
	})
	if name == "" {
		name = draw(func(route.Share) bool { return true })
	}
	return name
}

package forward

import (
	"context"
	"errors"
	"slices"
	"time"
)

var errNoSpaceAtReplicas = errors.New("forward: no back end has room for so large a body in time")

// spacePollInterval is how often a waiting large body looks for free space that is not announced by a wakeup: a new
// back end, an expired limit or the end of a quarantine.
const spacePollInterval = 100 * time.Millisecond

// largeBodyWait is the queue entry of a request whose large body waits for free space at a back end of one pool.
type largeBodyWait struct {
	pool   *pool
	bytes  int64
	since  time.Duration
	wakeup chan struct{} // receives an entry when space may be free
}

// ensureSpace looks for a back end with free space for a large body and, if there is none, waits once. It runs before
// the request is permitted to run and acquires a slot, so that a waiting body blocks no small request and is checked
// and admitted only once. waited reports that the caller has to try again.
func (x *exchange) ensureSpace(ctx context.Context, plan *plan) (failure *Failure, waited bool) {
	if !x.isLarge() || x.holdsSlot(plan) {
		return nil, false
	}
	if x.spaceWait == nil || plan.pools[x.spaceWait.pool.name] != x.spaceWait.pool || !routeServesPool(x.route, x.spaceWait.pool.name) {
		x.stopSpaceWait()
		x.largeBodyPool = x.pickPool(plan)
	}
	pool := plan.pools[x.largeBodyPool]
	if pool == nil {
		return nil, false
	}
	x.releaseSlot()
	x.resetTriedFor(pool)
	if !x.lacksSpace(pool) {
		return nil, false
	}
	return x.awaitSpace(ctx), true
}

// lacksSpace reports whether a pool has no free space for the request's body yet. In that case the request is in its
// queue.
func (x *exchange) lacksSpace(pool *pool) (full bool) {
	_, needed := x.excludedBackends()
	x.spaceWait, full = pool.enqueueIfFull(x.forwarder.now(), &x.routingRequest, int64(len(x.request.Body)), needed, x.spaceWait)
	return full
}

// requeueForSpace releases the request's slot and waits for free space again. Either other requests took the space that
// it had found, or the only back ends with free slots lack the space.
func (x *exchange) requeueForSpace(ctx context.Context) *Failure {
	if x.spaceWait == nil {
		x.spaceWait = x.pool.enqueueLargeBody(x.forwarder.now(), int64(len(x.request.Body)))
	}
	x.releaseSlot()
	return x.awaitSpace(ctx)
}

// awaitSpace waits until space may be free for a large body. It returns the permission to run during the wait, because
// the verdict on the request may change. It rejects the request as soon as the estimate shows that its answer would
// come too late.
func (x *exchange) awaitSpace(ctx context.Context) *Failure {
	x.returnRun(ctx)
	now := x.forwarder.now()
	_, needed := x.excludedBackends()
	wait, took := x.spaceWait.pool.estimateSpaceWait(now, x.spaceWait, needed)
	if wait > 0 && x.remaining() < wait+took {
		return x.rejectForSpace(ctx, now, wait)
	}
	timer := time.NewTimer(min(spacePollInterval, x.remaining()))
	defer timer.Stop()
	select {
	case <-x.spaceWait.wakeup:
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// rejectForSpace rejects a request for which no back end will have free space in time.
func (x *exchange) rejectForSpace(ctx context.Context, now, wait time.Duration) *Failure {
	failure := x.newFailure(ctx, Overloaded, errors.Join(errNoSpaceAtReplicas, x.lastErr))
	if !x.mayHaveRun {
		failure.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	}
	x.forwarder.metrics.largeWaits.WithLabelValues(largeRefused).Observe((now - x.spaceWait.since).Seconds())
	x.spaceWait.pool.dequeueLargeBody(now, x.spaceWait)
	x.spaceWait = nil
	return failure
}

// stopSpaceWait ends the request's wait for free space, if there is one.
func (x *exchange) stopSpaceWait() {
	if x.spaceWait == nil {
		return
	}
	now := x.forwarder.now()
	x.forwarder.metrics.largeWaits.WithLabelValues(largeEnded).Observe((now - x.spaceWait.since).Seconds())
	x.spaceWait.pool.dequeueLargeBody(now, x.spaceWait)
	x.spaceWait = nil
}

// enqueueLocked appends a body to the queue. It does not wake the body, which has just looked for free space. The
// caller holds the mutex.
func (p *pool) enqueueLocked(now time.Duration, bytes int64) *largeBodyWait {
	entry := &largeBodyWait{pool: p, bytes: bytes, since: now, wakeup: make(chan struct{}, 1)}
	p.large.queue = append(p.large.queue, entry)
	p.updateLargeMetrics(now)
	return entry
}

func (p *pool) enqueueLargeBody(now time.Duration, bytes int64) *largeBodyWait {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.enqueueLocked(now, bytes)
}

func (p *pool) dequeueLargeBody(now time.Duration, leaving *largeBodyWait) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.large.queue = slices.DeleteFunc(p.large.queue, func(queued *largeBodyWait) bool { return queued == leaving })
	p.notifyLarge(now)
}

// estimateSpaceWait estimates how long a queued body waits for free space, and how long a body is then held. It returns
// 0 if the wait is unknown or space may be free at any time. The wait is known only under a limit: without one, bodies
// wait only for other bodies that are being transferred.
func (p *pool) estimateSpaceWait(now time.Duration, waiting *largeBodyWait, excluded []string) (wait, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.large.ledger.Limit(now)
	if limit == 0 {
		return 0, 0
	}
	soonest, replicas := time.Duration(-1), int64(0)
	for i := range p.replicas.Len() {
		name := p.replicas.Name(i)
		if p.replicas.Leaving(i) || slices.Contains(excluded, name) {
			continue
		}
		replicas++
		if expected := p.large.ledger.Wait(now, name, waiting.bytes); soonest < 0 || expected < soonest {
			soonest = expected
		}
	}
	if soonest <= 0 {
		return 0, 0
	}
	took = p.large.ledger.BodyDuration()
	return soonest + took*time.Duration(p.queuedBytesBefore(waiting, limit)/(limit*replicas)), took
}

// queuedBytesBefore returns the bytes queued before a body. A body larger than the limit counts as the limit, because
// it gets a back end to itself. The caller holds the mutex.
func (p *pool) queuedBytesBefore(waiting *largeBodyWait, limit int64) (sum int64) {
	for _, before := range p.large.queue {
		if before == waiting {
			break
		}
		sum += min(before.bytes, limit)
	}
	return sum
}

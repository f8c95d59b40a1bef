package forward

import (
	"context"
	"errors"
	"hash/maphash"
	"math"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/replicabytes"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/table"
)

// largeBodies holds the large bodies at a pool's back ends and the queue of those that wait for free space there.
type largeBodies struct {
	ledger  *replicabytes.Ledger
	sharing largeSharing
	queue   []*largeBodyWait // first in, first out
}

func newLargeBodies(source share.Source) largeBodies {
	return largeBodies{ledger: replicabytes.New(), sharing: largeSharing{source: source, turns: replicabytes.NewTurns(), seed: maphash.MakeSeed()}}
}

// isLarge reports whether the request's body counts against the byte limits of back ends.
func (x *exchange) isLarge() bool {
	return x.forwarder.config.SpreadBytes && replicabytes.Large(int64(len(x.request.Body)))
}

// drawBackend chooses a back end, with free space if the body is large.
func (x *exchange) drawBackend(excluded []string) (choice, bool) {
	if !x.isLarge() {
		return x.pool.choose(x.forwarder.now(), &x.routingRequest, excluded)
	}
	chosen, found := x.pool.chooseLarge(x.forwarder.now(), &x.routingRequest, int64(len(x.request.Body)), excluded, x.spaceWait)
	x.noSpace = found == choseNoSpace
	if found == choseOne {
		x.stopSpaceWait()
	}
	return chosen, found == choseOne
}

// choiceOutcome is the result of choosing a back end for a large body.
type choiceOutcome uint8

const (
	choseNone choiceOutcome = iota // no back end can take the body now or soon
	choseOne
	choseNoSpace // suitable back ends lack free space
)

// chooseLarge chooses, among the back ends with free space for a body, one that holds the fewest bytes, and counts the
// body there. Queued bodies go before new ones.
func (p *pool) chooseLarge(now time.Duration, request *routing.Request, bytes int64, excluded []string, waiting *largeBodyWait) (choice, choiceOutcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startLargeSharing(now)
	p.setExcluded(request, excluded)
	usable := func(i int) bool { return p.replicas.Usable(i, request, now) }
	least, full := p.leastHeld(now, request, bytes, waiting, usable)
	if full {
		return choice{version: p.version}, choseNoSpace
	}
	for i := range p.replicas.Len() {
		if name := p.replicas.Name(i); !p.fits(now, name, bytes) || p.large.ledger.Held(name) > least {
			request.Excluded = append(request.Excluded, i)
		}
	}
	chosen, ok := p.chooseLocked(now, request, len(excluded))
	if !ok {
		return chosen, choseNone
	}
	chosen.largeBody = p.large.ledger.Add(now, chosen.target.Instance, bytes)
	p.notifyLarge(now)
	return chosen, choseOne
}

// enqueueIfFull reports whether no suitable back end has free space for a body. In that case the body is appended to
// the queue, unless waiting is its existing entry.
func (p *pool) enqueueIfFull(
	now time.Duration, request *routing.Request, bytes int64, excluded []string, waiting *largeBodyWait,
) (entry *largeBodyWait, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startLargeSharing(now)
	p.setExcluded(request, excluded)
	usable := func(i int) bool {
		// A back end whose slots are all taken counts as usable. Large bodies wait for its slots in the admission queue
		// like all other requests.
		_, serves := p.slots[p.replicas.Name(i)]
		return serves && !p.replicas.Quarantined(i, now)
	}
	if _, full = p.leastHeld(now, request, bytes, waiting, usable); !full || waiting != nil {
		return waiting, full
	}
	return p.enqueueLocked(now, bytes), true
}

// leastHeld returns the fewest bytes held by a usable back end with free space for the body. full reports that the body
// must wait: other bodies are queued before it, or only back ends without free space could take it. The caller holds the
// mutex.
func (p *pool) leastHeld(now time.Duration, request *routing.Request, bytes int64, waiting *largeBodyWait, usable func(i int) bool) (least int64, full bool) {
	if len(p.large.queue) > 0 && p.large.queue[0] != waiting {
		return 0, true
	}
	least = math.MaxInt64
	for i := range p.replicas.Len() {
		if p.replicas.Leaving(i) || slices.Contains(request.Excluded, i) {
			continue
		}
		name := p.replicas.Name(i)
		switch {
		case !p.fits(now, name, bytes):
			full = true
		case usable(i):
			least = min(least, p.large.ledger.Held(name))
		}
	}
	return least, full && least == math.MaxInt64
}

// notifyLarge updates the metrics and wakes the first body in the queue, because space may have become free. The caller
// holds the mutex.
func (p *pool) notifyLarge(now time.Duration) {
	p.updateLargeMetrics(now)
	if len(p.large.queue) == 0 {
		return
	}
	select {
	case p.large.queue[0].wakeup <- struct{}{}:
	default:
	}
}

// updateLargeMetrics sets the gauges of large bodies. The caller holds the mutex.
func (p *pool) updateLargeMetrics(now time.Duration) {
	p.metrics.largeBytes.WithLabelValues(p.name).Set(float64(p.large.ledger.Bytes()))
	p.metrics.largeLimit.WithLabelValues(p.name).Set(float64(p.large.ledger.Limit(now)))
	p.metrics.largeWaiting.WithLabelValues(p.name).Set(float64(len(p.large.queue)))
}

// acceptBody records that a back end has received a body completely, or has begun to answer it.
func (p *pool) acceptBody(now time.Duration, body *replicabytes.Body) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.large.ledger.Accept(body) {
		p.notifyLarge(now)
	}
}

// endBody removes a body from its back end. answered reports that the back end answered it whole. A nil body is
// ignored.
func (p *pool) endBody(now time.Duration, body *replicabytes.Body, answered bool) {
	if body == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.large.ledger.End(now, body, answered)
	p.notifyLarge(now)
}

// ignoreCrash records that a back end crashes under a suspect, so that no limit is learned from its large bodies.
func (p *pool) ignoreCrash(now time.Duration, instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.large.ledger.IgnoreCrash(now, instance)
}

// recordCrash records that a back end crashed while it held large bodies of this process. A back end that is leaving by
// plan does not count as crashed.
func (p *pool) recordCrash(now time.Duration, instance string) replicabytes.Crash {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view != nil {
		if row := p.view.Backend(instance); row != nil && row.State != table.Active {
			return replicabytes.Crash{}
		}
	}
	crash := p.large.ledger.Crashed(now, instance)
	if crash.New && p.large.sharing.active {
		p.publishLimit(now)
		p.large.sharing.source.RenewEarly()
	}
	p.notifyLarge(now)
	return crash
}

// watchBodyAccept makes the attempt call acceptBody as soon as the back end has received its large body or has begun to
// answer it.
func (a *attempt) watchBodyAccept() {
	if a.chosen.largeBody == nil {
		return
	}
	accept := func() { a.pool.acceptBody(a.forwarder.now(), a.chosen.largeBody) }
	a.call.OnReceived = accept
	before := a.answer.onHead
	a.answer.onHead = func(stream bool) {
		accept()
		if before != nil {
			before(stream)
		}
	}
}

// recordCrash lets the pool learn from a crash of the attempt's back end. It reports whether the total size of the
// large bodies there caused the crash.
func (a *attempt) recordCrash() (bySum bool) {
	if a.outcome.Complete || a.outcome.Peer != replica.PeerGone && !errors.Is(a.outcome.Err, errRestarted) {
		return false
	}
	if a.hasSuspectAtReplica() {
		a.pool.ignoreCrash(a.forwarder.now(), a.target.Instance)
	}
	if a.chosen.largeBody == nil {
		return false
	}
	crash := a.pool.recordCrash(a.forwarder.now(), a.target.Instance)
	if crash.New {
		a.forwarder.metrics.countCrash(crash)
		logging.Emit(a.forwarder.config.Log, &events.LargeBodyCrash{Pool: a.pool.name, Replica: a.target.Instance, Request: a.call.AttemptID,
			HeldBytes: crash.Bytes, Bodies: crash.Bodies, AnsweredBytes: crash.MaxAnswered, LimitBytes: crash.Limit, BySum: crash.ByTotal})
	}
	return crash.ByTotal
}

// hasSuspectAtReplica reports whether a suspect of this process runs at the attempt's back end.
func (a *attempt) hasSuspectAtReplica() bool {
	guard := a.forwarder.config.Guard
	return guard != nil && slices.Contains(guard.Occupied(), a.target.Instance)
}

// runEnding classifies the end of the attempt's run for the guard.
func (a *attempt) runEnding(ctx context.Context) poisonguard.Ending {
	ending := poisonguard.EndingOf(a.outcome)
	switch {
	case a.crashedBySum:
		return poisonguard.CrashedBySum
	case errors.Is(a.outcome.Err, errRestarted):
		return poisonguard.Crashed
	case ending == poisonguard.Interrupted && errors.Is(ctx.Err(), context.Canceled):
		return poisonguard.Stopped
	}
	return ending
}

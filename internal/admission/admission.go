// Package admission decides which requests for a pool are in flight, which ones wait and which ones are refused. It
// has no clock, goroutine or I/O: the current time is an argument. A Queue is not safe for concurrent use.
//
// The configured limits apply to the whole fleet, and each gateway works with its own share of them (see Share). A
// refused request was never sent to a back end, so it did not run.
package admission

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/fairqueue"
)

// Limits holds one gateway's part of a pool's limits.
type Limits struct {
	// Slots is the maximum number of requests in flight.
	Slots int
	// RolloutSlots is the maximum number of slots that rollout requests may hold. It is at most Slots.
	RolloutSlots int
	// Reach is the number of slots that wait estimates are based on. It is larger than Slots when the gateway may get
	// more slots before a request has waited long. A value below Slots counts as Slots.
	Reach int
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
	// QueueWait is the maximum time that a request may wait.
	QueueWait time.Duration
	// ClassOrder lists the request classes, the most urgent first. Classes that are not listed come last.
	ClassOrder []string
}

// Share returns one gateway's part of a fleet-wide limit that is divided equally between count gateways. rank is the
// gateway's position among them, from 0. salt selects which gateways get the remainder, so that the remainders of
// different limits go to different gateways. The shares of all ranks add up to the limit.
func Share(limit, count, rank int, salt uint64) int {
	if count <= 1 {
		return limit
	}
	position := (uint64(rank) + salt) % uint64(count)
	share := limit / count
	if position < uint64(limit%count) {
		share++
	}
	return share
}

// Request describes a request to the admission queue.
type Request struct {
	ID       uint64 // unique among the requests of the queue
	Class    string
	Rollout  bool // uses RolloutSlots only; other requests can preempt it while it runs if Preemptible is set
	Deadline time.Duration
	// Preemptible is set when a rollout request can be preempted while it runs.
	Preemptible bool
	// Resumed is set when the request was preempted before. It goes to the front of its class and may wait until its
	// deadline, because refusing it would lose the work that it has already done.
	Resumed bool
	// Retried is set when the request was refused before and the caller retried it as told. It goes ahead of the
	// tenant's new requests.
	Retried bool
	// Tenant is the owner of the request. Weight is its share relative to other tenants of the class that have waiting
	// requests; 0 means fairqueue.DefaultWeight.
	Tenant string
	Weight uint32
	// Work is the expected work of the request, in a unit that is common to all requests of the queue. 0 counts as the
	// smallest amount.
	Work float64
}

func (r *Request) owner() fairqueue.Owner {
	return fairqueue.Owner{Name: r.Tenant, Weight: r.Weight}
}

// Effects lists the decisions of one call, which can concern any request of the queue. The slices are valid until the
// next call.
type Effects struct {
	Granted   []uint64 // may be sent; each must be ended with Done
	Refused   []Refusal
	Preempted []uint64 // running rollouts that must give their slots back
}

// running is a request in flight.
type running struct {
	request   Request
	since     time.Duration
	preempted bool
}

// waiter is a waiting request.
type waiter struct {
	request   Request
	expiresAt time.Duration
}

// Queue is the admission queue of one pool at one gateway.
type Queue struct {
	limits          Limits
	running         map[uint64]*running
	runningRollouts int
	preemptedCount  int
	preemptible     []uint64                  // IDs of running preemptible rollouts, oldest first
	waiting         []fairqueue.Queue[waiter] // indexed by class rank
	queued          int
	queuedRollouts  int
	service         serviceTime
	retrySpread     retrySpreader
	effects         Effects
}

// New returns a Queue without requests.
func New(limits Limits) *Queue {
	q := &Queue{running: map[uint64]*running{}}
	q.SetLimits(0, limits)
	return q
}

// Slots returns the maximum number of requests in flight.
func (q *Queue) Slots() int { return q.limits.Slots }

// Reach returns Limits.Reach, the number of slots that wait estimates are based on.
func (q *Queue) Reach() int { return q.limits.Reach }

// InFlight returns the number of requests in flight.
func (q *Queue) InFlight() int { return len(q.running) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.queued }

// Rollouts returns the number of rollout requests in flight.
func (q *Queue) Rollouts() int { return q.runningRollouts }

// SetLimits applies new limits. Requests in flight keep running, but rollouts beyond the new RolloutSlots are
// preempted.
func (q *Queue) SetLimits(now time.Duration, limits Limits) *Effects {
	q.resetEffects()
	ranked := q.waiting != nil && slices.Equal(q.limits.ClassOrder, limits.ClassOrder)
	q.limits = limits
	q.limits.ClassOrder = slices.Clone(limits.ClassOrder)
	if !ranked {
		q.rebuildClassQueues()
	}
	q.grantWaiting(now)
	q.preemptRollouts(q.runningRollouts - q.limits.RolloutSlots)
	return &q.effects
}

// rebuildClassQueues sorts the waiting requests into new queues by the current class order.
func (q *Queue) rebuildClassQueues() {
	before := q.waiting
	q.waiting = make([]fairqueue.Queue[waiter], len(q.limits.ClassOrder)+1)
	for rank := range before {
		for entry := range before[rank].All() {
			q.waiting[q.classRank(entry.request.Class)].Push(entry.request.owner(), entry.request.Work, entry)
		}
	}
}

func (q *Queue) resetEffects() {
	q.effects.Granted = q.effects.Granted[:0]
	q.effects.Refused = q.effects.Refused[:0]
	q.effects.Preempted = q.effects.Preempted[:0]
}

// classRank returns the position of a class in ClassOrder. Unknown classes have the last rank.
func (q *Queue) classRank(class string) int {
	if rank := slices.Index(q.limits.ClassOrder, class); rank >= 0 {
		return rank
	}
	return len(q.limits.ClassOrder)
}

// Arrive adds a new request, which is granted, refused or queued. A queued request may wait until expiresAt; the
// caller must call Expire at that time.
func (q *Queue) Arrive(now time.Duration, request Request) (effects *Effects, expiresAt time.Duration) {
	q.resetEffects()
	rank := q.classRank(request.Class)
	expiresAt = min(now+q.limits.QueueWait, request.Deadline)
	if request.Resumed {
		expiresAt = request.Deadline
	}
	if q.countWaitingUpTo(rank) == 0 && q.canStart(&request) {
		q.start(now, request)
		return &q.effects, expiresAt
	}
	if q.limits.Slots == 0 || (request.Rollout && q.limits.RolloutSlots == 0) {
		q.refuse(now, &request, NoSlots, expiresAt, q.limits.QueueWait)
		return &q.effects, expiresAt
	}
	if !request.Resumed {
		if expected := q.estimateWait(rank, &request); now+expected > expiresAt && !q.canPreemptFor(&request) {
			q.refuse(now, &request, WaitTooLong, expiresAt, now+expected-expiresAt)
			return &q.effects, expiresAt
		}
		if q.queued >= q.limits.QueueLimit && !q.tryEvict(now, rank, &request) {
			q.refuse(now, &request, QueueFull, expiresAt, q.estimateWait(rank, &request))
			return &q.effects, expiresAt
		}
	}
	q.enqueue(rank, waiter{request: request, expiresAt: expiresAt})
	if !request.Rollout {
		q.preemptRollouts(q.waitingNonRollouts() - q.freeSlots())
	}
	return &q.effects, expiresAt
}

func (q *Queue) enqueue(rank int, w waiter) {
	q.queued++
	if w.request.Rollout {
		q.queuedRollouts++
	}
	owner, work := w.request.owner(), w.request.Work
	switch {
	case w.request.Resumed:
		q.waiting[rank].PushFront(owner, work, w)
	case w.request.Retried:
		q.waiting[rank].PushAhead(owner, work, w)
	default:
		q.waiting[rank].Push(owner, work, w)
	}
}

// freeSlots returns the number of free slots.
func (q *Queue) freeSlots() int { return max(q.limits.Slots-len(q.running), 0) }

// canStart reports whether the limits allow the request to start now.
func (q *Queue) canStart(request *Request) bool {
	if request.Rollout {
		return q.freeSlots() > q.rolloutHeadroom() && q.runningRollouts < q.limits.RolloutSlots
	}
	return q.freeSlots() > 0
}

// countWaitingUpTo returns the number of waiting requests of the given class rank and of more urgent ones.
func (q *Queue) countWaitingUpTo(rank int) int {
	count := 0
	for i := range q.waiting[:rank+1] {
		count += q.waiting[i].Len()
	}
	return count
}

// tryEvict refuses one waiting request to make space for another one and reports whether it found one. It takes the
// newest request of the least urgent class behind the given rank. If there is none, it takes the newest request of the
// tenant that has more waiting in the class than its fair share by weight. Without that second rule a tenant that
// fills the queue would exclude all others.
func (q *Queue) tryEvict(now time.Duration, rank int, request *Request) bool {
	for behind := len(q.waiting) - 1; behind > rank; behind-- {
		if last, found := q.waiting[behind].Last(); found && !last.request.Resumed {
			q.evict(now, last)
			return true
		}
	}
	surplus, found := q.waiting[rank].EvictionCandidate(request.owner(), request.Work)
	if !found || surplus.request.Resumed {
		return false
	}
	q.evict(now, surplus)
	return true
}

// evict removes a waiting request and refuses it with reason Displaced.
func (q *Queue) evict(now time.Duration, evicted waiter) {
	_, rank, _ := q.remove(evicted.request.ID)
	q.refuse(now, &evicted.request, Displaced, evicted.expiresAt, q.estimateWait(rank, &evicted.request))
}

// start puts a request in flight and records the grant.
func (q *Queue) start(now time.Duration, request Request) {
	q.running[request.ID] = &running{request: request, since: now}
	if request.Rollout {
		q.runningRollouts++
		if request.Preemptible {
			q.preemptible = append(q.preemptible, request.ID)
		}
	}
	q.effects.Granted = append(q.effects.Granted, request.ID)
}

// refuse records the refusal of a request that could have waited until expiresAt. It spreads the retry times of refused
// requests.
func (q *Queue) refuse(now time.Duration, request *Request, reason Reason, expiresAt, retryAfter time.Duration) {
	rank := q.classRank(request.Class)
	spread := q.retrySpread.nextOffset(now, q.slotInterval(), q.limits.QueueWait)
	q.effects.Refused = append(q.effects.Refused, Refusal{ID: request.ID, Reason: reason, RetryAfter: max(retryAfter, minimumRetryAfter) + spread,
		Figures: q.newFigures(now, request, rank, expiresAt)})
}

// minimumRetryAfter keeps refused callers from retrying at once.
const minimumRetryAfter = 100 * time.Millisecond

// Done ends a request in flight and grants its slot to waiting requests. An unknown ID is ignored.
func (q *Queue) Done(now time.Duration, id uint64) *Effects {
	q.resetEffects()
	ended := q.running[id]
	if ended == nil {
		return &q.effects
	}
	delete(q.running, id)
	if ended.preempted {
		q.preemptedCount--
	}
	if ended.request.Rollout {
		q.runningRollouts--
		if i := slices.Index(q.preemptible, id); i >= 0 {
			q.preemptible = slices.Delete(q.preemptible, i, i+1)
		}
	}
	q.service.observe(now - ended.since)
	q.grantWaiting(now)
	return &q.effects
}

// Expire refuses a request whose waiting time is over. An ID that is not waiting is ignored.
func (q *Queue) Expire(now time.Duration, id uint64) *Effects {
	q.resetEffects()
	if expired, rank, found := q.remove(id); found {
		q.refuse(now, &expired.request, TimedOut, expired.expiresAt, q.estimateWait(rank, &expired.request))
		q.grantWaiting(now)
	}
	return &q.effects
}

// Leave removes a waiting request without refusing it, because its caller has disconnected.
func (q *Queue) Leave(now time.Duration, id uint64) *Effects {
	q.resetEffects()
	if _, _, found := q.remove(id); found {
		q.grantWaiting(now)
	}
	return &q.effects
}

// remove takes a request out of the waiting requests.
func (q *Queue) remove(id uint64) (removed waiter, rank int, found bool) {
	for rank = range q.waiting {
		entry, found := q.waiting[rank].Remove(func(w waiter) bool { return w.request.ID == id })
		if found {
			q.countRemoved(&entry.request)
			return entry, rank, true
		}
	}
	return waiter{}, 0, false
}

// countRemoved updates the counters for a request that no longer waits.
func (q *Queue) countRemoved(request *Request) {
	q.queued--
	if request.Rollout {
		q.queuedRollouts--
	}
}

// grantWaiting grants free slots to waiting requests, the most urgent class first, and within a class to tenants by
// weight. A rollout that cannot get a rollout slot does not block requests of less urgent classes.
func (q *Queue) grantWaiting(now time.Duration) {
	for rank := range q.waiting {
		for q.waiting[rank].Len() > 0 {
			next, _ := q.waiting[rank].Peek()
			if q.freeSlots() == 0 {
				return
			}
			if !q.canStart(&next.request) {
				break
			}
			q.waiting[rank].Pop()
			q.countRemoved(&next.request)
			q.start(now, next.request)
		}
	}
}

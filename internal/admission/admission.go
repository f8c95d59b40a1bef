// Package admission decides which requests of a pool may be in flight, which wait and which are refused.
// It has no clock, goroutine or I/O: time is an argument. A Queue is not safe for concurrent use.
//
// The limits of the table hold for the whole fleet; each gateway works with its own share, see Share. A
// refused request was never sent, so it did not run.
package admission

import (
	"math"
	"slices"
	"time"
)

// Limits are one gateway's part of a pool's limits.
type Limits struct {
	// Slots is the number of requests that may be in flight.
	Slots int
	// RolloutSlots is the number of slots that rollout work may hold, at most Slots.
	RolloutSlots int
	// QueueLimit is the number of requests that may wait.
	QueueLimit int
	// QueueWait is the longest that a request may wait.
	QueueWait time.Duration
	// ClassOrder lists the classes, most urgent first; unknown classes come last.
	ClassOrder []string
}

// Share returns the part of a fleet-wide limit that falls to one of count gateways. Rank is the gateway's
// position among them; salt spreads the remainders of different rows over different gateways. The shares
// of all ranks add up to the limit.
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

// Request is what admission needs to know about a request.
type Request struct {
	ID       uint64 // unique among the requests of the queue
	Class    string
	Rollout  bool // may use RolloutSlots only, and yields to other work
	Deadline time.Duration
	// Preemptible means that a running request can be asked to yield.
	Preemptible bool
	// Resumed means that the request yielded before: it goes to the front of its class and may wait until
	// its deadline, because giving it up would lose its work.
	Resumed bool
}

// Reason says why a request was refused.
type Reason uint8

// The reasons.
const (
	QueueFull   Reason = iota + 1 // no place to wait
	WaitTooLong                   // it would not get a slot in time
	Displaced                     // a more urgent request took its place in the queue
	TimedOut                      // it waited as long as it may
	NoSlots                       // the limits leave no slot at all
)

var reasonTexts = [...]string{QueueFull: "the queue is full", WaitTooLong: "the wait for a slot would be too long",
	Displaced: "more urgent requests took the room", TimedOut: "no slot became free in time", NoSlots: "the table leaves no room for this class"}

// String returns the reason for a person.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) && r > 0 {
		return reasonTexts[r]
	}
	return "unknown reason"
}

// Refusal tells one request that it will not be admitted.
type Refusal struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration // earliest useful moment to come back, from now
}

// Effects is what a call decided, for any request of the queue. The slices are valid until the next call.
type Effects struct {
	Granted []uint64  // may go; each is given back with Done
	Refused []Refusal // will not go
	Yield   []uint64  // running rollouts that should give their slots back
}

// running is a request in flight.
type running struct {
	request  Request
	yielding bool
}

// waiter is a request in the queue.
type waiter struct {
	request Request
	until   time.Duration
}

// Queue is one pool's admission at one gateway.
type Queue struct {
	limits   Limits
	running  map[uint64]*running
	rollouts int
	yielding int
	order    []uint64   // running preemptible rollouts, oldest first
	waiting  [][]waiter // by rank of class, oldest first
	queued   int
	pace     pace
	effects  Effects
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	q := &Queue{running: map[uint64]*running{}}
	q.SetLimits(0, limits)
	return q
}

// Slots returns the number of requests that may be in flight.
func (q *Queue) Slots() int { return q.limits.Slots }

// InFlight returns the number of requests in flight.
func (q *Queue) InFlight() int { return len(q.running) }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return q.queued }

// Rollouts returns the number of rollout requests in flight.
func (q *Queue) Rollouts() int { return q.rollouts }

// SetLimits takes over new limits. Requests in flight stay, rollouts above their new part are asked to
// yield.
func (q *Queue) SetLimits(now time.Duration, limits Limits) *Effects {
	q.reset()
	waiting := q.waiting
	q.limits = limits
	q.limits.ClassOrder = slices.Clone(limits.ClassOrder)
	q.waiting = make([][]waiter, len(limits.ClassOrder)+1)
	for _, list := range waiting {
		for _, w := range list {
			rank := q.rank(w.request.Class)
			q.waiting[rank] = append(q.waiting[rank], w)
		}
	}
	q.grant(now)
	q.askToYield(q.rollouts - q.limits.RolloutSlots)
	return &q.effects
}

func (q *Queue) reset() {
	q.effects.Granted = q.effects.Granted[:0]
	q.effects.Refused = q.effects.Refused[:0]
	q.effects.Yield = q.effects.Yield[:0]
}

func (q *Queue) rank(class string) int {
	if rank := slices.Index(q.limits.ClassOrder, class); rank >= 0 {
		return rank
	}
	return len(q.limits.ClassOrder)
}

// Arrive takes a new request: it is granted, refused or queued. A queued request waits until the returned
// time; then the driver calls Expire.
func (q *Queue) Arrive(now time.Duration, request Request) (effects *Effects, until time.Duration) {
	q.reset()
	rank := q.rank(request.Class)
	until = min(now+q.limits.QueueWait, request.Deadline)
	if request.Resumed {
		until = request.Deadline
	}
	if q.aheadOf(rank) == 0 && q.fits(&request) {
		q.start(now, request)
		return &q.effects, until
	}
	if q.limits.Slots == 0 || (request.Rollout && q.limits.RolloutSlots == 0) {
		q.refuse(request.ID, NoSlots, q.limits.QueueWait)
		return &q.effects, until
	}
	if !request.Resumed {
		if expected := q.expectedWait(rank); now+expected > until && !q.canTakeOver(&request) {
			q.refuse(request.ID, WaitTooLong, now+expected-until)
			return &q.effects, until
		}
		if q.queued >= q.limits.QueueLimit && !q.displace(rank) {
			q.refuse(request.ID, QueueFull, q.expectedWait(rank))
			return &q.effects, until
		}
	}
	q.enqueue(rank, waiter{request: request, until: until})
	if !request.Rollout {
		q.askToYield(q.urgentWaiting() - q.free())
	}
	return &q.effects, until
}

func (q *Queue) enqueue(rank int, w waiter) {
	q.queued++
	if w.request.Resumed {
		q.waiting[rank] = slices.Insert(q.waiting[rank], 0, w)
		return
	}
	q.waiting[rank] = append(q.waiting[rank], w)
}

// free returns the number of free slots.
func (q *Queue) free() int { return max(q.limits.Slots-len(q.running), 0) }

func (q *Queue) fits(request *Request) bool {
	if request.Rollout {
		return q.free() > q.headroom() && q.rollouts < q.limits.RolloutSlots
	}
	return q.free() > 0
}

// headroomPart bounds the headroom: one in this many slots.
const headroomPart = 32

// headroom is how many free slots rollouts leave to the next arrivals of other work: as many as its number in
// flight usually strays. Without it a rollout takes each slot that becomes free and has to yield it a moment later,
// and what it had computed is computed again elsewhere.
func (q *Queue) headroom() int {
	return min(int(math.Sqrt(float64(len(q.running)-q.rollouts))), q.limits.Slots/headroomPart)
}

// aheadOf counts the waiting requests that go before a new one of the rank.
func (q *Queue) aheadOf(rank int) int {
	count := 0
	for _, list := range q.waiting[:rank+1] {
		count += len(list)
	}
	return count
}

// urgentWaiting counts the waiting requests that are not rollout work.
func (q *Queue) urgentWaiting() int {
	count := 0
	for _, list := range q.waiting {
		for i := range list {
			if !list[i].request.Rollout {
				count++
			}
		}
	}
	return count
}

// canTakeOver tells whether a running rollout would yield to the request.
func (q *Queue) canTakeOver(request *Request) bool {
	return !request.Rollout && len(q.order) > q.urgentWaiting()
}

// displace refuses the youngest waiting request of the least urgent class behind rank, to make a place.
func (q *Queue) displace(rank int) bool {
	for behind := len(q.waiting) - 1; behind > rank; behind-- {
		list := q.waiting[behind]
		last := len(list) - 1
		if last < 0 || list[last].request.Resumed {
			continue
		}
		q.refuse(list[last].request.ID, Displaced, q.expectedWait(behind))
		q.waiting[behind] = list[:last]
		q.queued--
		return true
	}
	return false
}

func (q *Queue) start(now time.Duration, request Request) {
	q.running[request.ID] = &running{request: request}
	if request.Rollout {
		q.rollouts++
		if request.Preemptible {
			q.order = append(q.order, request.ID)
		}
	}
	q.pace.started(now)
	q.effects.Granted = append(q.effects.Granted, request.ID)
}

func (q *Queue) refuse(id uint64, reason Reason, retryAfter time.Duration) {
	q.effects.Refused = append(q.effects.Refused, Refusal{ID: id, Reason: reason, RetryAfter: max(retryAfter, minimumRetryAfter)})
}

// minimumRetryAfter keeps a refused caller from coming back at once.
const minimumRetryAfter = 100 * time.Millisecond

// Done takes a request out of flight.
func (q *Queue) Done(now time.Duration, id uint64) *Effects {
	q.reset()
	ended := q.running[id]
	if ended == nil {
		return &q.effects
	}
	delete(q.running, id)
	if ended.yielding {
		q.yielding--
	}
	if ended.request.Rollout {
		q.rollouts--
		if i := slices.Index(q.order, id); i >= 0 {
			q.order = slices.Delete(q.order, i, i+1)
		}
	}
	q.pace.ended(now)
	q.grant(now)
	return &q.effects
}

// Expire refuses a request whose wait is over. A request that does not wait any more is left alone.
func (q *Queue) Expire(now time.Duration, id uint64) *Effects {
	q.reset()
	if rank, found := q.remove(id); found {
		q.refuse(id, TimedOut, q.expectedWait(rank))
		q.grant(now)
	}
	return &q.effects
}

// Leave takes a waiting request out of the queue without an answer, because its caller is gone.
func (q *Queue) Leave(now time.Duration, id uint64) *Effects {
	q.reset()
	if _, found := q.remove(id); found {
		q.grant(now)
	}
	return &q.effects
}

func (q *Queue) remove(id uint64) (rank int, found bool) {
	for rank, list := range q.waiting {
		for i := range list {
			if list[i].request.ID == id {
				q.waiting[rank] = slices.Delete(list, i, i+1)
				q.queued--
				return rank, true
			}
		}
	}
	return 0, false
}

// grant gives free slots to waiting requests, most urgent class first. A rollout that finds no rollout
// slot does not hold up a less urgent class of other work.
func (q *Queue) grant(now time.Duration) {
	for rank := range q.waiting {
		for len(q.waiting[rank]) > 0 {
			next := q.waiting[rank][0]
			if q.free() == 0 {
				return
			}
			if !q.fits(&next.request) {
				break
			}
			q.waiting[rank] = slices.Delete(q.waiting[rank], 0, 1)
			q.queued--
			q.start(now, next.request)
		}
	}
}

// askToYield asks enough running rollouts, the youngest first because they lose least, to give back the
// wanted number of slots. Those already asked count.
func (q *Queue) askToYield(wanted int) {
	for i := len(q.order) - 1; i >= 0 && q.yielding < wanted; i-- {
		victim := q.running[q.order[i]]
		if victim.yielding {
			continue
		}
		victim.yielding = true
		q.yielding++
		q.effects.Yield = append(q.effects.Yield, victim.request.ID)
	}
}

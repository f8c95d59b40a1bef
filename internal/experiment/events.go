package experiment

import (
	"container/heap"
	"time"
)

// timer is a function to call at a virtual time. Timers with equal times run in the order in which they were set.
type timer struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// timerHeap implements heap.Interface, ordered by time and sequence number.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(value any) { *h = append(*h, value.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return popped
}

// eventQueue holds the virtual time of one run and its pending events: timers and wake-ups of replicas.
type eventQueue struct {
	now          time.Duration
	timers       timerHeap
	wakes        wakeHeap
	lastSequence uint64
}

// at schedules run at the given time, or now if that time has passed.
func (a *eventQueue) at(when time.Duration, run func()) {
	a.lastSequence++
	heap.Push(&a.timers, timer{at: max(when, a.now), sequence: a.lastSequence, run: run})
}

// after schedules run after a delay.
func (a *eventQueue) after(delay time.Duration, run func()) { a.at(a.now+delay, run) }

// step advances the time to the next event. It runs a timer itself and returns a replica whose wake-up is due for the
// caller to advance. If there is no event up to end, it does nothing and returns false.
func (a *eventQueue) step(end time.Duration) (due *replica, more bool) {
	if len(a.wakes) > 0 && (len(a.timers) == 0 || a.wakes[0].wakeAt < a.timers[0].at) {
		if a.wakes[0].wakeAt > end {
			return nil, false
		}
		a.now = max(a.now, a.wakes[0].wakeAt)
		return a.wakes[0], true
	}
	if len(a.timers) == 0 || a.timers[0].at > end {
		return nil, false
	}
	next := heap.Pop(&a.timers).(timer)
	a.now = max(a.now, next.at)
	next.run()
	return nil, true
}

// wake sets the time at which a replica's engine is advanced next, or removes its wake-up if due is false.
func (a *eventQueue) wake(r *replica, at time.Duration, due bool) {
	switch {
	case !due && r.wakePosition >= 0:
		heap.Remove(&a.wakes, r.wakePosition)
	case due && r.wakePosition < 0:
		r.wakeAt = at
		heap.Push(&a.wakes, r)
	case due:
		r.wakeAt = at
		heap.Fix(&a.wakes, r.wakePosition)
	}
}

// wakeHeap implements heap.Interface over the replicas with a scheduled wake-up, ordered by time and index.
type wakeHeap []*replica

func (h wakeHeap) Len() int { return len(h) }
func (h wakeHeap) Less(i, j int) bool {
	if h[i].wakeAt != h[j].wakeAt {
		return h[i].wakeAt < h[j].wakeAt
	}
	return h[i].index < h[j].index
}
func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].wakePosition, h[j].wakePosition = i, j
}

// Push implements heap.Interface.
func (h *wakeHeap) Push(value any) {
	added := value.(*replica)
	added.wakePosition = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	popped.wakePosition = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return popped
}

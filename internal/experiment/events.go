package experiment

import (
	"container/heap"
	"time"
)

// timer is one thing to do at a time; equal times run in the order in which they were set.
type timer struct {
	at    time.Duration
	order uint64
	run   func()
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
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

// agenda is the virtual time of one run and what is still to happen in it.
type agenda struct {
	now    time.Duration
	timers timerHeap
	wakes  wakeHeap
	orders uint64
}

// at does something at a time no earlier than now.
func (a *agenda) at(when time.Duration, run func()) {
	a.orders++
	heap.Push(&a.timers, timer{at: max(when, a.now), order: a.orders, run: run})
}

// after does something after a delay.
func (a *agenda) after(delay time.Duration, run func()) { a.at(a.now+delay, run) }

// step moves to the next event and runs it: a timer, or else a replica that is due. It returns false, with
// nothing done, when the next event lies after end.
func (a *agenda) step(end time.Duration) (due *replica, more bool) {
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

// wake sets when a replica's engine is advanced next; not at all if due is false.
func (a *agenda) wake(r *replica, at time.Duration, due bool) {
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

// wakeHeap implements heap.Interface over the replicas that are due.
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

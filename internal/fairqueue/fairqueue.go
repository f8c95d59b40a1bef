// Package fairqueue orders waiting work of several owners so that each owner gets its weighted share of the capacity
// that they compete for. It protects owners from one that asks for many times its share.
//
// It implements worst-case fair weighted fair queueing (WF2Q) with virtual time. The virtual start of an owner's next
// piece of work is the virtual end of the piece before it, and its virtual end is later by the expected work divided
// by the owner's weight. Of the owners whose virtual start has come, the one with the earliest virtual end is served
// next. While an owner waits, it gets no less than its share of the work that begins, except for one piece of the
// largest work that is served ahead of it and one piece that it had received right before. The queue is work
// conserving: it always returns work while any waits. Work of one owner begins in the order of its arrival.
//
// The package has no clock, goroutine or I/O. Its types are not safe for concurrent use.
package fairqueue

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// DefaultWeight is the weight of an owner whose Weight is 0.
const DefaultWeight = 100

// Owner identifies the owner of waiting work.
type Owner struct {
	Name string
	// Weight is the owner's share relative to the weights of other owners. 0 means DefaultWeight.
	Weight uint32
}

func (o Owner) weight() float64 {
	if o.Weight == 0 {
		return DefaultWeight
	}
	return float64(o.Weight)
}

// minimumWork is the least work that an entry counts as. It keeps work of unknown size from being free.
const minimumWork = 1

// minBufferSize is the initial capacity of a flow, in entries.
const minBufferSize = 8

// entry is one piece of waiting work.
type entry[T any] struct {
	value    T
	work     float64
	sequence int64 // arrival number; 0 or less for an entry that goes ahead of its owner's other work
}

// flow is the waiting work of one owner.
type flow[T any] struct {
	Owner
	entries      []entry[T] // a part of buffer
	buffer       []entry[T] // the whole allocation, so that removing the first entry moves no others
	queuedWork   float64    // total work of all entries
	virtualStart float64    // virtual start of the first entry; without entries, virtual end of the last one
}

// virtualEnd returns the virtual end of the first entry.
func (f *flow[T]) virtualEnd() float64 { return f.virtualStart + f.entries[0].work/f.weight() }

// Queue holds waiting work. The zero value is an empty queue.
type Queue[T any] struct {
	flows         []*flow[T] // flows that have entries or a virtualStart later than virtualTime
	spareFlow     *flow[T]   // reused, so that the work of a single owner needs no allocation
	virtualTime   float64
	activeWeight  float64 // total weight of the flows that have entries
	length        int
	lastSequence  int64 // sequence of the newest entry added by Push
	frontSequence int64 // sequence of the newest entry added by PushFront
}

// Len returns the number of waiting pieces of work.
func (q *Queue[T]) Len() int { return q.length }

// Push adds work behind the owner's other work.
func (q *Queue[T]) Push(owner Owner, work float64, value T) {
	to := q.ensureFlow(owner)
	q.lastSequence++
	to.ensureCapacity()
	to.entries = append(to.entries, q.accountEntry(to, entry[T]{value: value, work: work, sequence: q.lastSequence}))
}

// ensureCapacity provides capacity for one more entry behind the others. If none is left, it moves the entries to the
// front of the buffer when at least half of the buffer is free, and otherwise doubles the buffer, so that each entry
// is moved once on average.
func (f *flow[T]) ensureCapacity() {
	switch {
	case len(f.entries) < cap(f.entries):
	case len(f.buffer) > 0 && 2*len(f.entries) <= len(f.buffer):
		f.entries = f.buffer[:copy(f.buffer, f.entries)]
		clear(f.buffer[len(f.entries):])
	default:
		f.buffer = make([]entry[T], max(2*len(f.entries), minBufferSize))
		f.entries = f.buffer[:copy(f.buffer, f.entries)]
	}
}

// PushFront adds work ahead of the owner's other work.
func (q *Queue[T]) PushFront(owner Owner, work float64, value T) {
	to := q.ensureFlow(owner)
	q.frontSequence--
	to.entries = slices.Insert(to.entries, 0, q.accountEntry(to, entry[T]{value: value, work: work, sequence: q.frontSequence}))
}

// PushAhead adds work ahead of the work that Push added for the owner, and behind work added earlier by PushAhead or
// PushFront.
func (q *Queue[T]) PushAhead(owner Owner, work float64, value T) {
	to := q.ensureFlow(owner)
	to.entries = slices.Insert(to.entries, to.countPushedAhead(), q.accountEntry(to, entry[T]{value: value, work: work}))
}

// countPushedAhead returns the number of entries that go ahead of the owner's other work.
func (f *flow[T]) countPushedAhead() int {
	other := slices.IndexFunc(f.entries, func(one entry[T]) bool { return one.sequence > 0 })
	if other < 0 {
		return len(f.entries)
	}
	return other
}

// accountEntry adds a new entry of a flow to the counters of the queue, and returns it with at least minimumWork. The
// caller inserts it.
func (q *Queue[T]) accountEntry(to *flow[T], added entry[T]) entry[T] {
	if len(to.entries) == 0 {
		to.virtualStart = max(to.virtualStart, q.virtualTime)
		q.activeWeight += to.weight()
	}
	q.length++
	added.work = max(added.work, minimumWork)
	to.queuedWork += added.work
	return added
}

// Charge delays the owner's next work as if the owner had already received the given work from this queue.
func (q *Queue[T]) Charge(owner Owner, work float64) {
	q.ensureFlow(owner).virtualStart += work / owner.weight()
}

// ensureFlow returns the flow of an owner and updates the flow's weight. It creates the flow if the owner has none.
func (q *Queue[T]) ensureFlow(owner Owner) *flow[T] {
	if existing := q.findFlow(owner.Name); existing != nil {
		q.updateOwner(existing, owner)
		return existing
	}
	added := q.spareFlow
	q.spareFlow = nil
	if added == nil {
		added = &flow[T]{}
	}
	added.Owner, added.virtualStart, added.queuedWork = owner, q.virtualTime, 0
	q.flows = append(q.flows, added)
	return added
}

// updateOwner applies a changed weight of an owner.
func (q *Queue[T]) updateOwner(existing *flow[T], owner Owner) {
	if len(existing.entries) > 0 {
		q.activeWeight += owner.weight() - existing.weight()
	}
	existing.Owner = owner
}

// findFlow returns the flow of the owner with a name, or nil.
func (q *Queue[T]) findFlow(name string) *flow[T] {
	for _, existing := range q.flows {
		if existing.Name == name {
			return existing
		}
	}
	return nil
}

// nextFlow returns the flow whose first entry is served next, or nil if nothing waits.
func (q *Queue[T]) nextFlow() *flow[T] {
	var best *flow[T]
	eligibleUntil := max(q.virtualTime, q.earliestVirtualStart())
	for _, existing := range q.flows {
		if len(existing.entries) == 0 || existing.virtualStart > eligibleUntil {
			continue
		}
		if best == nil || existing.virtualEnd() < best.virtualEnd() || existing.virtualEnd() == best.virtualEnd() && existing.entries[0].sequence < best.entries[0].sequence {
			best = existing
		}
	}
	return best
}

// earliestVirtualStart returns the earliest virtual start of all waiting work, or 0 if nothing waits.
func (q *Queue[T]) earliestVirtualStart() float64 {
	earliest, found := 0.0, false
	for _, existing := range q.flows {
		if len(existing.entries) > 0 && (!found || existing.virtualStart < earliest) {
			earliest, found = existing.virtualStart, true
		}
	}
	return earliest
}

// Peek returns the next piece of work without removing it.
func (q *Queue[T]) Peek() (value T, ok bool) {
	if first := q.nextFlow(); first != nil {
		return first.entries[0].value, true
	}
	return value, false
}

// Pop removes the next piece of work and charges it to its owner.
func (q *Queue[T]) Pop() (value T, ok bool) {
	first := q.nextFlow()
	if first == nil {
		return value, false
	}
	taken := first.entries[0]
	q.virtualTime = max(q.virtualTime, q.earliestVirtualStart()) + taken.work/q.activeWeight
	first.virtualStart = first.virtualEnd()
	q.removeEntry(first, 0)
	return taken.value, true
}

// removeEntry removes an entry of a flow. It also removes flows without entries whose virtual start is not ahead of
// the virtual time, because they would be the same as flows of new owners.
func (q *Queue[T]) removeEntry(from *flow[T], position int) {
	from.queuedWork -= from.entries[position].work
	if position == 0 {
		from.entries[0] = entry[T]{}
		from.entries = from.entries[1:]
	} else {
		from.entries = slices.Delete(from.entries, position, position+1)
	}
	q.length--
	if len(from.entries) > 0 {
		return
	}
	from.queuedWork = 0
	q.activeWeight -= from.weight()
	if q.length == 0 {
		q.virtualTime, q.activeWeight = 0, 0 // without waiting work, all owners start again as equals
	}
	q.flows = slices.DeleteFunc(q.flows, func(existing *flow[T]) bool {
		if len(existing.entries) > 0 || q.length > 0 && existing.virtualStart > q.virtualTime {
			return false
		}
		q.spareFlow = existing
		return true
	})
}

// Remove removes the first piece of work that matches, without charging it to its owner.
func (q *Queue[T]) Remove(match func(T) bool) (value T, ok bool) {
	for _, existing := range q.flows {
		for position := range existing.entries {
			if value = existing.entries[position].value; match(value) {
				q.removeEntry(existing, position)
				return value, true
			}
		}
	}
	var none T
	return none, false
}

// Last returns the piece of work that was added last. Work added by PushFront or PushAhead counts as older than work
// added by Push.
func (q *Queue[T]) Last() (value T, ok bool) {
	newest := int64(math.MinInt64)
	for _, existing := range q.flows {
		if len(existing.entries) == 0 {
			continue
		}
		if last := existing.entries[len(existing.entries)-1]; last.sequence >= newest {
			value, ok, newest = last.value, true, last.sequence
		}
	}
	return value, ok
}

// EvictionCandidate returns the piece of work that may be removed to make space for a new one of the given owner: the
// last one of the owner with the largest backlog relative to its weight. ok is false if no other owner's backlog,
// relative to its weight, exceeds the one that the given owner would have with the new work.
func (q *Queue[T]) EvictionCandidate(owner Owner, work float64) (value T, ok bool) {
	most := max(work, minimumWork)
	if own := q.findFlow(owner.Name); own != nil {
		most += own.queuedWork
	}
	most /= owner.weight()
	for _, existing := range q.flows {
		if existing.Name != owner.Name && existing.queuedWork/existing.weight() > most {
			most = existing.queuedWork / existing.weight()
			value, ok = existing.entries[len(existing.entries)-1].value, true
		}
	}
	return value, ok
}

// EstimateAhead returns the expected number of waiting pieces of work that begin before a new one. pushedAhead tells
// whether the new one is added with PushAhead instead of Push.
func (q *Queue[T]) EstimateAhead(owner Owner, work float64, pushedAhead bool) float64 {
	if q.length == 0 {
		return 0
	}
	pieces, before := 0, 0.0
	if own := q.findFlow(owner.Name); own != nil {
		pieces, before = len(own.entries), own.queuedWork
		if pushedAhead {
			pieces, before = own.sumPushedAhead()
		}
	}
	share := (before + max(work, minimumWork)) / owner.weight()
	total := float64(pieces)
	for _, existing := range q.flows {
		if len(existing.entries) > 0 && existing.Name != owner.Name {
			total += min(share*existing.weight()/existing.queuedWork, 1) * float64(len(existing.entries))
		}
	}
	return total
}

// sumPushedAhead returns the number and the total work of the entries that go ahead of the owner's other work.
func (f *flow[T]) sumPushedAhead() (pieces int, work float64) {
	pieces = f.countPushedAhead()
	for _, one := range f.entries[:pieces] {
		work += one.work
	}
	return pieces, work
}

// All returns all waiting work in the order of arrival.
func (q *Queue[T]) All() iter.Seq[T] {
	var all []entry[T]
	for _, existing := range q.flows {
		all = append(all, existing.entries...)
	}
	slices.SortStableFunc(all, func(a, b entry[T]) int { return cmp.Compare(a.sequence, b.sequence) })
	return func(yield func(T) bool) {
		for _, one := range all {
			if !yield(one.value) {
				return
			}
		}
	}
}

package engine

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// moreUrgent orders requests: by priority, then by arrival.
func moreUrgent(a, b *sequence) bool { return compareUrgency(a, b) < 0 }

func compareUrgency(a, b *sequence) int {
	if order := cmp.Compare(a.request.Priority, b.request.Priority); order != 0 {
		return order
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// waitingQueue is a heap, the most urgent request first.
type waitingQueue []*sequence

func (q waitingQueue) Len() int           { return len(q) }
func (q waitingQueue) Less(i, j int) bool { return moreUrgent(q[i], q[j]) }
func (q waitingQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

// Push implements heap.Interface.
func (q *waitingQueue) Push(value any) {
	entered := value.(*sequence)
	entered.position = len(*q)
	*q = append(*q, entered)
}

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	last := len(*q) - 1
	entered := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return entered
}

func (q *waitingQueue) push(entered *sequence)   { heap.Push(q, entered) }
func (q *waitingQueue) pop() *sequence           { return heap.Pop(q).(*sequence) }
func (q *waitingQueue) remove(entered *sequence) { heap.Remove(q, entered.position) }

// startStep begins the next step, a swap or idleness at a step boundary.
func (e *Engine) startStep(at time.Duration) {
	e.pending, e.stepping = false, false
	e.dropCancelled()
	if e.startSwap(at) {
		return
	}
	e.growRunning(at)
	e.admit(at)
	if len(e.running) == 0 {
		return
	}
	duration := e.planStep()
	e.stepping, e.stepEnd = true, at+duration
	e.lastStep = duration
}

// growRunning gives each running sequence room for its next token, taking it from the least urgent.
func (e *Engine) growRunning(at time.Duration) {
	for index := 0; index < len(e.running); index++ {
		entered := e.running[index]
		if !entered.running || e.blocksFor(entered.computed+1) <= entered.blocks() {
			continue
		}
		for entered.running && e.pool.available() < 1 {
			e.preempt(at, e.leastUrgent())
		}
		if entered.running {
			e.pool.take(1)
			entered.private++
		}
	}
	e.compactRunning()
}

// admit starts waiting requests, most urgent first. One that finds no room takes it from running ones
// that are strictly less urgent, if that is enough.
func (e *Engine) admit(at time.Duration) {
	for len(e.waiting) > 0 {
		head := e.waiting[0]
		if !e.fits(head) {
			if !e.makeRoom(at, head) {
				return
			}
		}
		e.start(e.waiting.pop())
	}
}

// need is how many blocks would leave the available ones if entered started.
func (e *Engine) need(entered *sequence) int {
	hits, idleHits := e.pool.match(e.reusable(entered))
	return e.blocksFor(entered.context()+1) - hits + idleHits
}

func (e *Engine) fits(entered *sequence) bool {
	return len(e.running) < e.parameters.MaxBatch && e.need(entered) <= e.pool.available()
}

// makeRoom preempts less urgent sequences until head fits; if all of them are not enough it leaves them.
func (e *Engine) makeRoom(at time.Duration, head *sequence) bool {
	blocks, victims := 0, 0
	for _, entered := range e.running {
		if entered.request.Priority > head.request.Priority {
			blocks += e.reclaimable(entered)
			victims++
		}
	}
	if victims == 0 || e.need(head) > e.pool.available()+blocks {
		return false
	}
	for !e.fits(head) {
		victim := e.leastUrgent()
		if victim == nil || victim.request.Priority <= head.request.Priority {
			return false
		}
		e.preempt(at, victim)
		e.compactRunning()
	}
	return true
}

func (e *Engine) reclaimable(entered *sequence) int {
	blocks := entered.private
	for _, slot := range entered.shared {
		if e.pool.entries[slot].holders == 1 {
			blocks++
		}
	}
	return blocks
}

// reusable is the part of the prefix that may come from the cache: at least one token is computed anew,
// since its output is the next token.
func (e *Engine) reusable(entered *sequence) []uint64 {
	blocks := min(len(entered.request.Prefix), (entered.context()-1)/e.parameters.BlockTokens)
	return entered.request.Prefix[:max(blocks, 0)]
}

func (e *Engine) start(entered *sequence) {
	reusable := e.reusable(entered)
	hits, _ := e.pool.match(reusable)
	entered.shared = e.pool.hold(reusable[:hits], entered.shared[:0])
	entered.private = e.blocksFor(entered.context()+1) - hits
	e.pool.take(entered.private)
	entered.target = entered.context()
	cached := hits * e.parameters.BlockTokens
	e.prefixHits += uint64(cached)
	entered.computed = min(max(cached, entered.imported), entered.target-1)
	entered.imported = 0
	entered.decoding = false
	entered.running = true
	e.running = append(e.running, entered)
}

// leastUrgent returns the running sequence that is preempted first.
func (e *Engine) leastUrgent() *sequence {
	var last *sequence
	for _, entered := range e.running {
		if entered.running && (last == nil || moreUrgent(last, entered)) {
			last = entered
		}
	}
	return last
}

func (e *Engine) preempt(at time.Duration, victim *sequence) {
	victim.running = false
	e.pool.release(victim.shared, victim.private)
	victim.shared, victim.private = victim.shared[:0], 0
	e.waiting.push(victim)
	e.preemptions++
	e.events = append(e.events, Event{At: at, Kind: EventPreempted, Request: victim.request.ID, Version: e.version})
}

func (e *Engine) compactRunning() {
	kept := e.running[:0]
	for _, entered := range e.running {
		if entered.running {
			kept = append(kept, entered)
		}
	}
	e.running = kept
}

func (e *Engine) dropCancelled() {
	kept := e.running[:0]
	for _, entered := range e.running {
		if entered.cancelled {
			e.retire(entered)
			continue
		}
		kept = append(kept, entered)
	}
	e.running = kept
}

// planStep gives the prefill chunk to the most urgent and returns the step's duration.
func (e *Engine) planStep() time.Duration {
	decoding, contextTokens := 0, 0
	e.prefilling = e.prefilling[:0]
	for _, entered := range e.running {
		if entered.decoding {
			decoding++
			contextTokens += entered.computed
			continue
		}
		e.prefilling = append(e.prefilling, entered)
	}
	if len(e.prefilling) > 1 {
		slices.SortFunc(e.prefilling, compareUrgency)
	}
	left := e.parameters.PrefillChunk
	for _, entered := range e.prefilling {
		entered.chunk = min(left, entered.target-entered.computed)
		left -= entered.chunk
	}
	return e.parameters.StepTime(decoding, contextTokens, e.parameters.PrefillChunk-left)
}

// StepTime is the duration of a step in which sequences decode over contextTokens in all, and prefill
// prompt tokens are computed.
func (p Parameters) StepTime(sequences, contextTokens, prefill int) time.Duration {
	return p.StepBase +
		time.Duration(sequences)*p.StepPerSequence +
		time.Duration(contextTokens)*p.StepPerThousandContext/1000 +
		time.Duration(float64(prefill)/p.PrefillRate*float64(time.Second))
}

// finishStep reports the step's tokens and retires finished sequences.
func (e *Engine) finishStep(at time.Duration) {
	e.stepping = false
	if e.swapping {
		e.finishSwap(at)
		return
	}
	e.steps++
	kept := e.running[:0]
	for _, entered := range e.running {
		if entered.cancelled {
			e.retire(entered)
			continue
		}
		if e.computeStep(entered) {
			e.emit(at, at, entered, 1)
		}
		if entered.generated >= entered.request.OutputTokens {
			e.finish(at, entered)
			continue
		}
		kept = append(kept, entered)
	}
	e.running = kept
}

// computeStep accounts for one step of a sequence and reports whether it generated a token.
func (e *Engine) computeStep(entered *sequence) bool {
	if entered.decoding {
		entered.computed++
		return true
	}
	entered.computed += entered.chunk
	e.prefilled += uint64(entered.chunk)
	entered.chunk = 0
	if entered.computed < entered.target {
		return false
	}
	entered.decoding = true
	e.publish(entered)
	return true
}

// publish makes the blocks of a complete prefill known to the prefix cache.
func (e *Engine) publish(entered *sequence) {
	whole := min(len(entered.request.Prefix), entered.target/e.parameters.BlockTokens)
	before := len(entered.shared)
	if whole <= before {
		return
	}
	entered.shared = e.pool.publish(entered.request.Prefix[before:whole], entered.shared)
	entered.private -= len(entered.shared) - before
}

// emit reports count tokens, the first of which was generated at first and the last at last.
func (e *Engine) emit(first, last time.Duration, entered *sequence, count int) {
	entered.generated += count
	e.tokens += uint64(count)
	if entered.reported == e.advances {
		if event := &e.events[entered.event]; event.Version == e.version {
			event.At = last
			event.Count += count
			return
		}
	}
	entered.reported, entered.event = e.advances, len(e.events)
	e.events = append(e.events, Event{
		At: last, First: first, Kind: EventTokens, Request: entered.request.ID, Count: count, Version: e.version,
	})
}

func (e *Engine) finish(at time.Duration, entered *sequence) {
	e.pool.release(entered.shared, entered.private)
	delete(e.sequences, entered.request.ID)
	e.events = append(e.events, Event{At: at, Kind: EventFinished, Request: entered.request.ID, Version: e.version})
	e.retire(entered)
}

package engine

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// moreUrgent reports whether a is scheduled before b.
func moreUrgent(a, b *sequence) bool { return compareUrgency(a, b) < 0 }

// compareUrgency orders sequences by priority, a lower number first, then by arrival.
func compareUrgency(a, b *sequence) int {
	if order := cmp.Compare(a.request.Priority, b.request.Priority); order != 0 {
		return order
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// waitingQueue is a heap with the most urgent request at index 0.
type waitingQueue []*sequence

func (q waitingQueue) Len() int           { return len(q) }
func (q waitingQueue) Less(i, j int) bool { return moreUrgent(q[i], q[j]) }
func (q waitingQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *waitingQueue) Push(value any) {
	seq := value.(*sequence)
	seq.heapIndex = len(*q)
	*q = append(*q, seq)
}

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	last := len(*q) - 1
	seq := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return seq
}

func (q *waitingQueue) push(seq *sequence)   { heap.Push(q, seq) }
func (q *waitingQueue) pop() *sequence       { return heap.Pop(q).(*sequence) }
func (q *waitingQueue) remove(seq *sequence) { heap.Remove(q, seq.heapIndex) }

// startStep starts the next step or a due swap at a step boundary, or leaves the engine idle.
func (e *Engine) startStep(at time.Duration) {
	e.startPending, e.stepping = false, false
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

// growRunning allocates a block to each running sequence whose next token needs one. If no block is available, it
// preempts the least urgent sequences, possibly the one that grows.
func (e *Engine) growRunning(at time.Duration) {
	for index := 0; index < len(e.running); index++ {
		seq := e.running[index]
		if !seq.running || e.blocksFor(seq.computedTokens+1) <= seq.blocks() {
			continue
		}
		for seq.running && e.pool.available() < 1 {
			e.preempt(at, e.leastUrgent())
		}
		if seq.running {
			e.pool.allocate(1)
			seq.privateBlocks++
		}
	}
	e.compactRunning()
}

// admit starts waiting requests, most urgent first, until one does not fit. A request that does not fit preempts
// running sequences of a strictly lower priority if that frees enough.
func (e *Engine) admit(at time.Duration) {
	for len(e.waiting) > 0 {
		head := e.waiting[0]
		if !e.fits(head) {
			if !e.preemptFor(at, head) {
				return
			}
		}
		e.startSequence(e.waiting.pop())
	}
}

// blocksNeeded returns by how many blocks starting the sequence would reduce the available ones. Cached blocks that are
// idle count as available, so reusing them counts too.
func (e *Engine) blocksNeeded(seq *sequence) int {
	hits, idleHits := e.pool.match(e.reusablePrefix(seq))
	return e.blocksFor(seq.context()+1) - hits + idleHits
}

// fits reports whether a waiting sequence can start without preemption.
func (e *Engine) fits(seq *sequence) bool {
	return len(e.running) < e.parameters.MaxBatch && e.blocksNeeded(seq) <= e.pool.available()
}

// preemptFor preempts sequences of a lower priority, least urgent first, until head fits. It preempts none and returns
// false if all of them together would not free enough.
func (e *Engine) preemptFor(at time.Duration, head *sequence) bool {
	blocks, victims := 0, 0
	for _, seq := range e.running {
		if seq.request.Priority > head.request.Priority {
			blocks += e.reclaimable(seq)
			victims++
		}
	}
	if victims == 0 || e.blocksNeeded(head) > e.pool.available()+blocks {
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

// reclaimable returns the number of blocks that become available if the sequence is preempted.
func (e *Engine) reclaimable(seq *sequence) int {
	blocks := seq.privateBlocks
	for _, slot := range seq.sharedSlots {
		if e.pool.entries[slot].references == 1 {
			blocks++
		}
	}
	return blocks
}

// reusablePrefix returns the hashes of the blocks that may come from the cache. At least one token of the context is
// always computed, since its output is the next token.
func (e *Engine) reusablePrefix(seq *sequence) []uint64 {
	blocks := min(len(seq.request.Prefix), (seq.context()-1)/e.parameters.BlockTokens)
	return seq.request.Prefix[:max(blocks, 0)]
}

// startSequence allocates the blocks of a sequence, reusing cached ones, and adds it to the running ones.
func (e *Engine) startSequence(seq *sequence) {
	reusable := e.reusablePrefix(seq)
	hits, _ := e.pool.match(reusable)
	seq.sharedSlots = e.pool.acquire(reusable[:hits], seq.sharedSlots[:0])
	seq.privateBlocks = e.blocksFor(seq.context()+1) - hits
	e.pool.allocate(seq.privateBlocks)
	seq.prefillTarget = seq.context()
	cached := hits * e.parameters.BlockTokens
	e.prefixHits += uint64(cached)
	seq.computedTokens = min(max(cached, seq.importedTokens), seq.prefillTarget-1)
	seq.importedTokens = 0
	seq.decoding = false
	seq.running = true
	e.running = append(e.running, seq)
}

// leastUrgent returns the running sequence to preempt first, or nil if none runs.
func (e *Engine) leastUrgent() *sequence {
	var last *sequence
	for _, seq := range e.running {
		if seq.running && (last == nil || moreUrgent(last, seq)) {
			last = seq
		}
	}
	return last
}

// preempt releases the blocks of a running sequence and puts it back into the waiting queue.
func (e *Engine) preempt(at time.Duration, victim *sequence) {
	victim.running = false
	e.pool.release(victim.sharedSlots, victim.privateBlocks)
	victim.sharedSlots, victim.privateBlocks = victim.sharedSlots[:0], 0
	e.waiting.push(victim)
	e.preemptions++
	e.events = append(e.events, Event{At: at, Kind: EventPreempted, Request: victim.request.ID, Version: e.version})
}

// compactRunning removes preempted sequences from the running ones.
func (e *Engine) compactRunning() {
	remaining := e.running[:0]
	for _, seq := range e.running {
		if seq.running {
			remaining = append(remaining, seq)
		}
	}
	e.running = remaining
}

// dropCancelled removes cancelled sequences from the running ones.
func (e *Engine) dropCancelled() {
	remaining := e.running[:0]
	for _, seq := range e.running {
		if seq.cancelled {
			e.recycle(seq)
			continue
		}
		remaining = append(remaining, seq)
	}
	e.running = remaining
}

// planStep divides the prefill chunk among the prefilling sequences, most urgent first, and returns the step's
// duration.
func (e *Engine) planStep() time.Duration {
	decoding, contextTokens := 0, 0
	e.prefilling = e.prefilling[:0]
	for _, seq := range e.running {
		if seq.decoding {
			decoding++
			contextTokens += seq.computedTokens
			continue
		}
		e.prefilling = append(e.prefilling, seq)
	}
	if len(e.prefilling) > 1 {
		slices.SortFunc(e.prefilling, compareUrgency)
	}
	left := e.parameters.PrefillChunk
	for _, seq := range e.prefilling {
		seq.chunkTokens = min(left, seq.prefillTarget-seq.computedTokens)
		left -= seq.chunkTokens
	}
	return e.parameters.StepTime(decoding, contextTokens, e.parameters.PrefillChunk-left)
}

// StepTime returns the duration of a step in which that many sequences decode, attending to contextTokens tokens in
// total, and prefill prompt tokens are computed.
func (p Parameters) StepTime(sequences, contextTokens, prefill int) time.Duration {
	return p.StepBase +
		time.Duration(sequences)*p.StepPerSequence +
		time.Duration(contextTokens)*p.StepPerThousandContext/1000 +
		time.Duration(float64(prefill)/p.PrefillRate*float64(time.Second))
}

// finishStep reports the step's tokens and ends the sequences that are complete, or finishes a swap.
func (e *Engine) finishStep(at time.Duration) {
	e.stepping = false
	if e.swapping {
		e.finishSwap(at)
		return
	}
	e.steps++
	remaining := e.running[:0]
	for _, seq := range e.running {
		if seq.cancelled {
			e.recycle(seq)
			continue
		}
		if e.computeStep(seq) {
			e.emitTokens(at, at, seq, 1)
		}
		if seq.generated >= seq.request.OutputTokens {
			e.finish(at, seq)
			continue
		}
		remaining = append(remaining, seq)
	}
	e.running = remaining
}

// computeStep accounts for one step of a sequence and reports whether it generated a token.
func (e *Engine) computeStep(seq *sequence) bool {
	if seq.decoding {
		seq.computedTokens++
		return true
	}
	seq.computedTokens += seq.chunkTokens
	e.prefilled += uint64(seq.chunkTokens)
	seq.chunkTokens = 0
	if seq.computedTokens < seq.prefillTarget {
		return false
	}
	seq.decoding = true
	e.publish(seq)
	return true
}

// publish adds the whole blocks of a completed prefill to the prefix cache.
func (e *Engine) publish(seq *sequence) {
	whole := min(len(seq.request.Prefix), seq.prefillTarget/e.parameters.BlockTokens)
	before := len(seq.sharedSlots)
	if whole <= before {
		return
	}
	seq.sharedSlots = e.pool.publish(seq.request.Prefix[before:whole], seq.sharedSlots)
	seq.privateBlocks -= len(seq.sharedSlots) - before
}

// emitTokens reports count tokens, the first generated at time first and the last at time last. It extends the
// sequence's token event of the current Advance call if that has the same version.
func (e *Engine) emitTokens(first, last time.Duration, seq *sequence, count int) {
	seq.generated += count
	e.tokens += uint64(count)
	if seq.reportedAdvance == e.advances {
		if event := &e.events[seq.eventIndex]; event.Version == e.version {
			event.At = last
			event.Count += count
			return
		}
	}
	seq.reportedAdvance, seq.eventIndex = e.advances, len(e.events)
	e.events = append(e.events, Event{
		At: last, First: first, Kind: EventTokens, Request: seq.request.ID, Count: count, Version: e.version,
	})
}

// finish ends a sequence whose tokens are complete.
func (e *Engine) finish(at time.Duration, seq *sequence) {
	e.pool.release(seq.sharedSlots, seq.privateBlocks)
	delete(e.sequences, seq.request.ID)
	e.events = append(e.events, Event{At: at, Kind: EventFinished, Request: seq.request.ID, Version: e.version})
	e.recycle(seq)
}

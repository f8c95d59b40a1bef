package engine

import "time"

// skipSteps runs the steps up to now in which sequences only decode as one step: no sequence finishes, prefills or is
// cancelled, no swap begins, and no preemption is needed. The result equals that of running them one by one, at the
// cost of a single step.
func (e *Engine) skipSteps(now time.Duration) {
	if !e.stepping || e.swapping || len(e.prefilling) > 0 || now-e.stepEnd < e.lastStep {
		return
	}
	if e.staged.swapOrdered {
		now = min(now, e.staged.readyAt-1)
	}
	limit := e.uniformSteps()
	if limit < 2 || !e.canGrow(limit) {
		return
	}
	steps, end := e.countSteps(limit, now)
	if steps == 0 {
		return
	}
	first := e.stepEnd
	for _, seq := range e.running {
		seq.computedTokens += steps
		if grow := e.blocksFor(seq.computedTokens+1) - seq.blocks(); grow > 0 {
			e.pool.allocate(grow)
			seq.privateBlocks += grow
		}
		e.emitTokens(first, end, seq, steps)
	}
	e.steps += uint64(steps)
	e.lastStep = e.planStep()
	e.stepEnd = end + e.lastStep
	e.now = max(e.now, end)
}

// uniformSteps returns the number of steps before the one that finishes a sequence, or 0 if a sequence was cancelled.
func (e *Engine) uniformSteps() int {
	limit := int(^uint(0) >> 1)
	for _, seq := range e.running {
		if seq.cancelled {
			return 0
		}
		limit = min(limit, seq.request.OutputTokens-seq.generated-1)
	}
	return limit
}

// canGrow reports whether every running sequence can grow by steps tokens, and one more, without preemption.
func (e *Engine) canGrow(steps int) bool {
	need := 0
	for _, seq := range e.running {
		need += e.blocksFor(seq.computedTokens+steps+1) - seq.blocks()
	}
	return need <= e.pool.available()
}

// countSteps returns the number of steps that end by now, at most limit and including the one in progress, and the end
// of the last of them.
func (e *Engine) countSteps(limit int, now time.Duration) (steps int, end time.Duration) {
	contextTokens := 0
	for _, seq := range e.running {
		contextTokens += seq.computedTokens
	}
	next := e.stepEnd
	for steps < limit && next <= now {
		steps, end = steps+1, next
		contextTokens += len(e.running)
		next += e.parameters.StepTime(len(e.running), contextTokens, 0)
	}
	return steps, end
}

// NextMilestone returns a time no later than the next event other than decoded tokens: a finish, an admission, a
// preemption or a swap. It returns false if nothing is due. A caller that does not need the time of each token need not
// call Advance before the milestone.
func (e *Engine) NextMilestone() (time.Duration, bool) {
	at, ok := e.NextEvent()
	if !ok || !e.stepping || e.swapping || len(e.prefilling) > 0 {
		return at, ok
	}
	steps := e.uniformSteps()
	if count := len(e.running); count > 0 {
		steps = min(steps, e.pool.available()/count)
	}
	milestone := at + time.Duration(max(steps, 0))*e.lastStep
	if e.staged.swapOrdered {
		milestone = min(milestone, max(at, e.staged.readyAt))
	}
	return milestone, true
}

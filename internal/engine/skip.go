package engine

import "time"

// skipSteps runs at once the steps before now in which nothing but decoding happens: no sequence
// finishes, prefills or is cancelled, no swap begins, and memory is enough. The result is the same as
// step by step, for the cost of one step.
func (e *Engine) skipSteps(now time.Duration) {
	if !e.stepping || e.swapping || len(e.prefilling) > 0 || now-e.stepEnd < e.lastStep {
		return
	}
	if e.staged.swap {
		now = min(now, e.staged.readyAt-1)
	}
	limit := e.uniformSteps()
	if limit < 2 || !e.roomFor(limit) {
		return
	}
	steps, end := e.countSteps(limit, now)
	if steps == 0 {
		return
	}
	first := e.stepEnd
	for _, entered := range e.running {
		entered.computed += steps
		if grow := e.blocksFor(entered.computed+1) - entered.blocks(); grow > 0 {
			e.pool.take(grow)
			entered.private += grow
		}
		e.emit(first, end, entered, steps)
	}
	e.steps += uint64(steps)
	e.lastStep = e.planStep()
	e.stepEnd = end + e.lastStep
	e.now = max(e.now, end)
}

// uniformSteps is how many steps pass before the one that finishes a sequence; 0 if one was cancelled.
func (e *Engine) uniformSteps() int {
	limit := int(^uint(0) >> 1)
	for _, entered := range e.running {
		if entered.cancelled {
			return 0
		}
		limit = min(limit, entered.request.OutputTokens-entered.generated-1)
	}
	return limit
}

// roomFor says whether every sequence can grow by that many tokens, and one more, without preemption.
func (e *Engine) roomFor(steps int) bool {
	need := 0
	for _, entered := range e.running {
		need += e.blocksFor(entered.computed+steps+1) - entered.blocks()
	}
	return need <= e.pool.available()
}

// countSteps counts the steps, the planned one first, that end by now, and when the last of them ends.
func (e *Engine) countSteps(limit int, now time.Duration) (steps int, end time.Duration) {
	contextTokens := 0
	for _, entered := range e.running {
		contextTokens += entered.computed
	}
	next := e.stepEnd
	for steps < limit && next <= now {
		steps, end = steps+1, next
		contextTokens += len(e.running)
		next += e.parameters.StepTime(len(e.running), contextTokens, 0)
	}
	return steps, end
}

// NextMilestone returns a time no later than the next event other than decoded tokens: a finish, an
// admission, a preemption or a swap. A driver that needs no token's time may let the engine be until then.
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
	if e.staged.swap {
		milestone = min(milestone, max(at, e.staged.readyAt))
	}
	return milestone, true
}

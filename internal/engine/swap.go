package engine

import "time"

// stagedWeights is a version that is staged or being staged.
type stagedWeights struct {
	version     uint64
	readyAt     time.Duration // end of the staging
	swapOrdered bool          // swap at the first step boundary after readyAt
}

// StageWeights begins to stage a version while steps keep running. A crashed engine returns ErrCrashed. An order with a
// fencing token below the highest one seen, or for an older version under the same token, gets ErrStaleFence.
func (e *Engine) StageWeights(now time.Duration, version, fence uint64) error {
	return e.orderWeights(now, version, fence, false)
}

// SwapWeights orders the engine to serve a version. It stages the version unless that has been done, then swaps it in
// between two steps. Repeating an order has no further effect. Errors are those of StageWeights.
func (e *Engine) SwapWeights(now time.Duration, version, fence uint64) error {
	return e.orderWeights(now, version, fence, true)
}

// orderWeights checks and executes a stage or swap order.
func (e *Engine) orderWeights(now time.Duration, version, fence uint64, swap bool) error {
	e.now = max(e.now, now)
	if e.crashed {
		return ErrCrashed
	}
	if err := e.CheckOrder(version, fence); err != nil {
		return err
	}
	e.fence = fence
	if version == e.swapTarget && e.swapping {
		return nil
	}
	if version == e.version && !e.refusing && !e.swapping {
		e.staged = stagedWeights{}
		return nil
	}
	if e.staged.version != version {
		e.staged = stagedWeights{version: version, readyAt: now + e.parameters.StageTime}
	}
	e.staged.swapOrdered = e.staged.swapOrdered || swap
	return nil
}

// CheckOrder returns ErrStaleFence if an order for version with this fencing token would be rejected as stale. It
// changes nothing.
func (e *Engine) CheckOrder(version, fence uint64) error {
	newest := max(e.version, e.staged.version, e.swapTarget)
	if fence < e.fence || (fence == e.fence && version < newest) {
		return ErrStaleFence
	}
	return nil
}

// RaiseFence records the fencing token of an order that does not concern weights. A token below the highest one seen
// gets ErrStaleFence.
func (e *Engine) RaiseFence(fence uint64) error {
	if fence < e.fence {
		return ErrStaleFence
	}
	e.fence = fence
	return nil
}

// FailNextSwap makes the next swap fail in the given way.
func (e *Engine) FailNextSwap(failure SwapFailure) { e.failure = failure }

// startSwap begins a swap at a step boundary and returns true if one is due.
func (e *Engine) startSwap(at time.Duration) bool {
	if !e.staged.swapOrdered || e.staged.readyAt > at {
		return false
	}
	e.stepping, e.swapping = true, true
	e.swapTarget, e.staged = e.staged.version, stagedWeights{}
	e.stepEnd = at + e.parameters.SwapTime
	return true
}

// finishSwap makes the target of the swap the served version, or applies the injected failure.
func (e *Engine) finishSwap(at time.Duration) {
	e.swapping = false
	version, failure := e.swapTarget, e.failure
	e.swapTarget, e.failure = 0, SwapSucceeds
	switch failure {
	case SwapKeepsOld:
		e.events = append(e.events, Event{At: at, Kind: EventSwapFailed, Version: version})
		return
	case SwapLosesWeights:
		e.refusing = true
		e.failAll(at)
		e.events = append(e.events, Event{At: at, Kind: EventSwapFailed, Version: version})
		return
	case SwapReportsFalseSuccess:
		e.events = append(e.events, Event{At: at, Kind: EventSwapped, Version: version})
		return
	}
	e.version, e.refusing = version, false
	e.pool.clear()
	e.dropMixedPrefixes()
	e.events = append(e.events, Event{At: at, Kind: EventSwapped, Version: version})
}

// dropMixedPrefixes keeps prefills that began under the old weights out of the prefix cache. Their blocks would mix two
// versions.
func (e *Engine) dropMixedPrefixes() {
	for _, seq := range e.running {
		if !seq.decoding {
			seq.request.Prefix = nil
		}
	}
}

// failAll reports every request as failed and drops them all.
func (e *Engine) failAll(at time.Duration) {
	for _, seq := range e.running {
		if !seq.cancelled {
			e.events = append(e.events, Event{At: at, Kind: EventFailed, Request: seq.request.ID, Version: e.version})
		}
	}
	for _, seq := range e.waiting {
		e.events = append(e.events, Event{At: at, Kind: EventFailed, Request: seq.request.ID, Version: e.version})
	}
	e.dropAll()
}

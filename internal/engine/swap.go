package engine

import "time"

// stagedWeights is a version on its way to being served.
type stagedWeights struct {
	version uint64
	readyAt time.Duration
	swap    bool // swap as soon as it is ready
}

// StageWeights begins to stage a version beside the running steps. An order with a fencing token below
// the highest one seen, or for an older version under the same token, gets ErrStaleFence.
func (e *Engine) StageWeights(now time.Duration, version, fence uint64) error {
	return e.orderWeights(now, version, fence, false)
}

// SwapWeights orders a version to be served: staged first unless it is, then swapped in between two
// steps. Repeating an order is harmless. Fencing as for StageWeights.
func (e *Engine) SwapWeights(now time.Duration, version, fence uint64) error {
	return e.orderWeights(now, version, fence, true)
}

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
	e.staged.swap = e.staged.swap || swap
	return nil
}

// CheckOrder tells whether an order for version under a fencing token would be taken, and changes nothing.
func (e *Engine) CheckOrder(version, fence uint64) error {
	newest := max(e.version, e.staged.version, e.swapTarget)
	if fence < e.fence || (fence == e.fence && version < newest) {
		return ErrStaleFence
	}
	return nil
}

// RaiseFence accepts a fencing token for an order that is not about weights.
func (e *Engine) RaiseFence(fence uint64) error {
	if fence < e.fence {
		return ErrStaleFence
	}
	e.fence = fence
	return nil
}

// FailNextSwap makes the next swap fail.
func (e *Engine) FailNextSwap(failure SwapFailure) { e.failure = failure }

// startSwap begins a swap at a step boundary, if one is due.
func (e *Engine) startSwap(at time.Duration) bool {
	if !e.staged.swap || e.staged.readyAt > at {
		return false
	}
	e.stepping, e.swapping = true, true
	e.swapTarget, e.staged = e.staged.version, stagedWeights{}
	e.stepEnd = at + e.parameters.SwapTime
	return true
}

// finishSwap makes the staged version the served one, or fails as injected.
func (e *Engine) finishSwap(at time.Duration) {
	e.swapping = false
	version, failure := e.swapTarget, e.failure
	e.swapTarget, e.failure = 0, SwapSucceeds
	switch failure {
	case SwapKeepsOld:
		e.events = append(e.events, Event{At: at, Kind: EventSwapFailed, Version: version})
		return
	case SwapRefuses:
		e.refusing = true
		e.failAll(at)
		e.events = append(e.events, Event{At: at, Kind: EventSwapFailed, Version: version})
		return
	case SwapIsSilent:
		e.events = append(e.events, Event{At: at, Kind: EventSwapped, Version: version})
		return
	}
	e.version, e.refusing = version, false
	e.pool.clear()
	e.forgetMixedPrefixes()
	e.events = append(e.events, Event{At: at, Kind: EventSwapped, Version: version})
}

// forgetMixedPrefixes keeps prefills that began under the old weights out of the prefix cache.
func (e *Engine) forgetMixedPrefixes() {
	for _, entered := range e.running {
		if !entered.decoding {
			entered.request.Prefix = nil
		}
	}
}

func (e *Engine) failAll(at time.Duration) {
	for _, entered := range e.running {
		if !entered.cancelled {
			e.events = append(e.events, Event{At: at, Kind: EventFailed, Request: entered.request.ID, Version: e.version})
		}
	}
	for _, entered := range e.waiting {
		e.events = append(e.events, Event{At: at, Kind: EventFailed, Request: entered.request.ID, Version: e.version})
	}
	e.dropAll()
}

// Package batching combines concurrent requests for the same kind of operation into few operations. Calls that arrive
// while an operation is running wait and are combined into the next one. A call is not delayed if no operation is
// running.
package batching

import (
	"context"
	"slices"
	"sync"
)

// Call is one caller's part of a batch.
type Call[T any] struct {
	Value T

	ctx  context.Context
	done chan struct{} // closed by Finish
	err  error
}

// Finish returns err to the caller. Each call of a batch must be finished exactly once or be returned by Run as
// postponed.
func (c *Call[T]) Finish(err error) {
	c.err = err
	close(c.done)
}

// Queue collects calls into batches. The zero value with Take and Run set is ready to use. It is safe for concurrent
// use.
type Queue[T any] struct {
	// Take returns the number of waiting calls, from the first on, that form the next batch. It must be at least 1.
	Take func(waiting []*Call[T]) int
	// Run executes a batch. Only one batch runs at a time. Run must return by itself soon after its callers have given
	// up waiting. It finishes the calls of the batch, except for those that it returns; these go first into the next
	// batch.
	Run func(batch []*Call[T]) (postponed []*Call[T])

	mutex   sync.Mutex
	waiting []*Call[T]
	running bool
}

// Do adds a call to the queue and returns the error that the call is finished with. If ctx ends first, Do returns its
// error, and the outcome of the call is unknown because it may still be part of an operation.
func (q *Queue[T]) Do(ctx context.Context, value T) error {
	call := &Call[T]{Value: value, ctx: ctx, done: make(chan struct{})}
	q.mutex.Lock()
	q.waiting = append(q.waiting, call)
	start := !q.running
	q.running = true
	q.mutex.Unlock()
	if start {
		go q.runBatches()
	}
	select {
	case <-call.done:
		return call.err
	case <-ctx.Done():
		return ctx.Err() // without a stack trace, which would cost more than the call when many give up at once
	}
}

// Waiting returns the number of calls that are not part of an operation yet.
func (q *Queue[T]) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting)
}

// runBatches runs batches until no call waits.
func (q *Queue[T]) runBatches() {
	for {
		batch := q.takeBatch()
		if len(batch) == 0 {
			return
		}
		postponed := q.Run(batch)
		q.mutex.Lock()
		q.waiting = append(slices.Clone(postponed), q.waiting...)
		q.mutex.Unlock()
	}
}

// takeBatch removes the next batch from the waiting calls. It returns an empty batch, and ends the run, if no call
// waits. Calls whose context has ended are dropped: their callers were told that the outcome is unknown.
func (q *Queue[T]) takeBatch() []*Call[T] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(call *Call[T]) bool { return call.ctx.Err() != nil })
	if len(q.waiting) == 0 {
		q.running = false
		return nil
	}
	count := q.Take(q.waiting)
	batch := slices.Clone(q.waiting[:count])
	q.waiting = slices.Delete(q.waiting, 0, count)
	return batch
}

// AtMost returns a Take function that only limits the size of a batch.
func AtMost[T any](most int) func(waiting []*Call[T]) int {
	return func(waiting []*Call[T]) int { return min(len(waiting), most) }
}

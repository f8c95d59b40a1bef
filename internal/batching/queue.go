// Package batching turns what many callers want at the same time into few operations: while one operation is under
// way, what arrives waits, and goes into the next one together. Nothing is delayed when nothing is under way.
package batching

import (
	"context"
	"slices"
	"sync"

	"github.com/gravitational/trace"
)

// Call is one caller's part of an operation.
type Call[T any] struct {
	Value T

	ctx  context.Context
	done chan struct{} // closed by Finish
	err  error
}

// Finish answers the caller. Every call of a batch is finished once, or postponed.
func (c *Call[T]) Finish(err error) {
	c.err = err
	close(c.done)
}

// Queue collects calls. The zero value with Take and Run set is ready. It is safe for concurrent use.
type Queue[T any] struct {
	// Take returns how many of the waiting calls go into the next batch, from the first on: at least one.
	Take func(waiting []*Call[T]) int
	// Run is the operation; it runs once at a time, and must end by itself soon after its callers' patience. It
	// finishes the calls of its batch but those that it returns, which go first into the next one.
	Run func(batch []*Call[T]) (postponed []*Call[T])

	mutex   sync.Mutex
	waiting []*Call[T]
	running bool
}

// Do puts a call into the queue and returns its error. When ctx ends first, the call may still be part of an operation:
// its outcome is not known.
func (q *Queue[T]) Do(ctx context.Context, value T) error {
	call := &Call[T]{Value: value, ctx: ctx, done: make(chan struct{})}
	q.mutex.Lock()
	q.waiting = append(q.waiting, call)
	start := !q.running
	q.running = true
	q.mutex.Unlock()
	if start {
		go q.run()
	}
	select {
	case <-call.done:
		return call.err
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Waiting returns how many calls are not part of an operation yet.
func (q *Queue[T]) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting)
}

// run makes batches until nothing waits.
func (q *Queue[T]) run() {
	for {
		batch := q.next()
		if len(batch) == 0 {
			return
		}
		postponed := q.Run(batch)
		q.mutex.Lock()
		q.waiting = append(slices.Clone(postponed), q.waiting...)
		q.mutex.Unlock()
	}
}

// next takes the next batch; an empty one ends the run. Callers that are gone were told that the outcome is not known,
// and get no operation.
func (q *Queue[T]) next() []*Call[T] {
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

// AtMost returns a Take that bounds the size of a batch only.
func AtMost[T any](most int) func(waiting []*Call[T]) int {
	return func(waiting []*Call[T]) int { return min(len(waiting), most) }
}

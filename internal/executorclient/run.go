package executorclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// stopTimeout is how long a leader waits until a run that it has stopped has ended, before the item may run elsewhere.
// It covers a round trip to a busy executor. A frozen executor does not answer, and the item need not wait for it.
const stopTimeout = 300 * time.Millisecond

// Sink receives an answer as it arrives.
type Sink interface {
	replica.Sink
	// ReceivedAt is called directly before Head and Body with the time, by the fleet's clock, at which the executor
	// received the load report of that Head or the newest byte of that Body.
	ReceivedAt(at time.Duration)
}

// followedRun is a run that this leader follows at an executor. The link queues what the executor reports, and the
// goroutine of the run takes it from there.
type followedRun struct {
	order executor.Order // started the run; an earlier leader's for a run that was taken over
	wake  chan struct{}  // capacity 1; signals new pieces or the outcome

	mutex    sync.Mutex // guards the fields below
	pieces   []piece
	position uint64 // bytes of the body that were queued
	outcome  *replica.Outcome
}

// piece is a part of an answer.
type piece struct {
	head       *wire.RunHead // nil: the piece has no head
	reportedAt time.Duration // time of receipt of the report that the piece is from
	data       []byte
	newestAt   time.Duration // time at which the executor received the newest byte of data
}

func newFollowedRun(order executor.Order) *followedRun {
	return &followedRun{order: order, wake: make(chan struct{}, 1)}
}

func keyOf(key *wire.RunKey) executor.Key {
	return executor.Key{Job: key.GetJob(), Item: key.GetItem()}
}

// orderOf returns the order that started a held run.
func orderOf(held *wire.HeldRun) executor.Order {
	return executor.Order{Term: held.GetTerm(), Number: held.GetNumber()}
}

// attachOrder returns the order to attach to a run and to report its answer from a position on.
func attachOrder(key *wire.RunKey, order executor.Order, from uint64) *wire.RunOrder {
	return &wire.RunOrder{Kind: &wire.RunOrder_Attach{Attach: &wire.RunAttach{Key: key, Order: executor.WireOrder(order), From: from}}}
}

// stopOrder returns the order to stop a run.
func stopOrder(key *wire.RunKey, order executor.Order) *wire.RunOrder {
	return &wire.RunOrder{Kind: &wire.RunOrder_Stop{Stop: &wire.RunStop{Key: key, Order: executor.WireOrder(order)}}}
}

// received returns the position up to which the body was queued.
func (f *followedRun) received() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.position
}

// queueProgress queues a part of the answer. It skips bytes that were queued before, because the executor may repeat
// them after a reconnect.
func (f *followedRun) queueProgress(progress *wire.RunProgress, now time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	data := progress.GetData()
	if behind := f.position - min(f.position, progress.GetOffset()); behind > 0 {
		data = data[min(behind, uint64(len(data))):]
	}
	f.position += uint64(len(data))
	newest := now - time.Duration(progress.GetAgeMicros())*time.Microsecond
	f.pieces = append(f.pieces, piece{head: progress.GetHead(), reportedAt: now, data: data, newestAt: newest})
	f.notify()
}

// finishWith ends the run with the outcome reported by the executor.
func (f *followedRun) finishWith(ended *wire.RunEnded) {
	outcome := executor.OutcomeOf(ended)
	f.finish(outcome)
}

// lose ends the run on this side only. It may continue at the executor.
func (f *followedRun) lose(cause error) {
	f.finish(replica.Outcome{Verdict: verdict.MayHaveRun, Err: cause})
}

// finish sets the outcome unless there is one, and wakes the goroutine of the run.
func (f *followedRun) finish(outcome replica.Outcome) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.outcome == nil {
		f.outcome = &outcome
	}
	f.notify()
}

// notify wakes the goroutine of the run. The caller holds the mutex.
func (f *followedRun) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// takeQueued removes and returns the queued pieces. The outcome is nil while the run is in progress.
func (f *followedRun) takeQueued() ([]piece, *replica.Outcome) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pieces := f.pieces
	f.pieces = nil
	return pieces, f.outcome
}

// Do has the executor start a run and delivers its answer to sink. It returns when the run has ended at the executor or
// when ctx ends. If ctx ends with the cause ErrStop, the run is stopped as well; with any other cause it continues for
// the next leader. The outcome is that of the replica. Its error matches ErrLost if the executor is no longer
// reachable.
func (e *Executor) Do(ctx context.Context, start *wire.RunStart, sink Sink) replica.Outcome {
	start.Number = e.link.fleet.config.LastNumber.Add(1)
	run := newFollowedRun(executor.Order{Term: e.link.fleet.config.Term, Number: start.Number})
	if !e.link.begin(start.GetKey(), run, &wire.RunOrder{Kind: &wire.RunOrder_Start{Start: start}}) {
		return replica.Outcome{Verdict: verdict.DidNotRun, Err: ErrLost}
	}
	return e.link.drive(ctx, start.GetKey(), run, sink)
}

// Do takes over a run that an earlier leader started, and delivers its answer from the beginning; see Executor.Do.
func (h Held) Do(ctx context.Context, sink Sink) replica.Outcome {
	run := newFollowedRun(orderOf(h.HeldRun))
	if !h.link.begin(h.GetKey(), run, attachOrder(h.GetKey(), run.order, 0)) {
		return replica.Outcome{Verdict: verdict.MayHaveRun, Err: ErrLost}
	}
	return h.link.drive(ctx, h.GetKey(), run, sink)
}

// begin follows a run and queues the order for it. It returns false if the executor can't be reached or another run of
// the item is followed there.
func (l *link) begin(key *wire.RunKey, run *followedRun, order *wire.RunOrder) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.runs[keyOf(key)] != nil || !l.open || !l.enqueue(order) {
		return false
	}
	l.runs[keyOf(key)] = run
	return true
}

// unfollow stops following a run.
func (l *link) unfollow(key executor.Key, run *followedRun) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.runs[key] == run {
		delete(l.runs, key)
	}
}

// drive delivers the answer of a run to its sink until the run has ended or ctx ends.
func (l *link) drive(ctx context.Context, key *wire.RunKey, run *followedRun, sink Sink) replica.Outcome {
	defer l.unfollow(keyOf(key), run)
	for {
		pieces, outcome := run.takeQueued()
		if err := deliver(pieces, sink); err != nil {
			l.stopRun(key, run)
			return replica.Outcome{Verdict: verdict.Ran, Err: err}
		}
		if outcome != nil {
			return *outcome
		}
		select {
		case <-run.wake:
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), ErrStop) {
				l.stopRun(key, run)
			}
			return replica.Outcome{Verdict: verdict.MayHaveRun, Err: ctx.Err()}
		}
	}
}

// deliver passes pieces of an answer to the sink, and returns the first error of the sink.
func deliver(pieces []piece, sink Sink) error {
	for _, one := range pieces {
		if one.head != nil {
			if err := deliverHead(one, sink); err != nil {
				return err
			}
		}
		if len(one.data) == 0 {
			continue
		}
		sink.ReceivedAt(one.newestAt)
		if err := sink.Body(one.data); err != nil {
			return err
		}
	}
	return nil
}

// deliverHead passes the head of an answer to the sink, after the time at which its load report was received.
func deliverHead(one piece, sink Sink) error {
	load, age := executor.LoadOf(one.head.GetLoad())
	sink.ReceivedAt(one.reportedAt - age)
	return sink.Head(replica.Head{
		Status: int(one.head.GetStatus()), Stream: one.head.GetStream(), Version: one.head.GetVersion(), Length: -1, Load: load,
	})
}

// stopRun has the executor stop a run and waits up to stopTimeout for its end. Parts of the answer that still arrive
// are discarded.
func (l *link) stopRun(key *wire.RunKey, run *followedRun) {
	if !l.order(stopOrder(key, run.order)) {
		return
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	for {
		if _, outcome := run.takeQueued(); outcome != nil {
			return
		}
		select {
		case <-run.wake:
		case <-timer.C:
			return
		}
	}
}

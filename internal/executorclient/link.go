package executorclient

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// dialTimeout limits opening a connection and the exchange of hello and welcome. Executors are in the leader's
	// region.
	dialTimeout = 300 * time.Millisecond
	// silenceTimeout is the time without a report after which an executor counts as lost. Executors report at least
	// every 0.6 s, and a process with a seventh of a core may be late by a part of that interval.
	silenceTimeout = 1500 * time.Millisecond
	// lateAfter is the time without a report after which an executor gets no new runs. Executors report at least every
	// 0.6 s, and one that is 0.2 s late may be frozen.
	lateAfter = 800 * time.Millisecond
	// notPermittedPause is the time for which an executor gets no runs after its routing table or lease did not permit
	// one. Its table or lease is out of date, and it would refuse the next run too.
	notPermittedPause = 300 * time.Millisecond
	// maxQueuedOrders limits the orders that wait to be sent to one executor.
	maxQueuedOrders = 1024
	// maximumMessageBytes limits the size of one message on a stream.
	maximumMessageBytes = 64 << 20
)

var (
	errRefused  = errors.New("executorclient: the executor follows a newer leader")
	errProtocol = errors.New("executorclient: the executor speaks another protocol")
	errSilent   = errors.New("executorclient: the executor says nothing")
)

// link maintains the stream to one executor and reopens it when it breaks.
type link struct {
	fleet    *Fleet
	peer     Peer
	cancel   context.CancelFunc
	orders   chan *wire.RunOrder
	surveyed atomic.Bool // the executor has sent its welcome or could not be reached

	mutex        sync.Mutex // guards the fields below
	open         bool
	leaving      bool          // the executor is draining
	greeted      bool          // a stream was accepted at least once
	lastReportAt time.Duration // time of the last report; 0: none yet
	lastSeenAt   time.Duration // time of the last report or welcome
	pausedUntil  time.Duration // the executor gets no runs before this time: its table or lease is behind
	runs         map[executor.Key]*followedRun
}

func newLink(fleet *Fleet, peer Peer, cancel context.CancelFunc) *link {
	return &link{fleet: fleet, peer: peer, cancel: cancel, orders: make(chan *wire.RunOrder, maxQueuedOrders), runs: map[executor.Key]*followedRun{}}
}

// isUsable reports whether the executor may be given new runs.
func (l *link) isUsable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.fleet.config.Clock()
	return l.open && !l.leaving && now >= l.pausedUntil && now-l.lastSeenAt <= lateAfter
}

// order queues an order for the executor. It returns false if the stream is not open or the queue is full.
func (l *link) order(order *wire.RunOrder) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open && l.enqueue(order)
}

// enqueue queues an order for the writer of the stream. It returns false if the queue is full.
func (l *link) enqueue(order *wire.RunOrder) bool {
	select {
	case l.orders <- order:
		return true
	default:
		return false
	}
}

// openStream connects to the executor, sends the hello and returns the stream with the welcome, which lists the held
// runs. It returns an error if the executor rejects the stream.
func (l *link) openStream(ctx context.Context) (wire.DRPCExecutor_DriveClient, *drpcconn.Conn, *wire.RunWelcome, error) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport, err := l.fleet.config.Dial(dialing, l.peer.Address)
	if err != nil {
		return nil, nil, nil, err
	}
	conn := drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maximumMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: wire.MaximumRetainedBufferBytes},
	}})
	abort := context.AfterFunc(dialing, func() { _ = conn.Close() })
	stream, err := wire.NewDRPCExecutorClient(conn).Drive(context.WithoutCancel(ctx))
	if err == nil {
		err = stream.Send(&wire.RunOrder{Kind: &wire.RunOrder_Hello{Hello: l.fleet.hello()}})
	}
	var report *wire.RunReport
	if err == nil {
		report, err = stream.Recv()
	}
	if err == nil {
		err = checkWelcome(report.GetWelcome())
	}
	if !abort() && err == nil {
		err = dialing.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, nil, err
	}
	l.mutex.Lock()
	l.leaving = report.GetLeaving()
	l.mutex.Unlock()
	return stream, conn, report.GetWelcome(), nil
}

// checkWelcome returns an error if the executor rejected the stream or speaks another protocol.
func checkWelcome(welcome *wire.RunWelcome) error {
	switch {
	case welcome.GetProtocol() != executor.Protocol:
		return errProtocol
	case !welcome.GetAccepted():
		return errRefused
	}
	return nil
}

// followStream sends orders and processes reports until the stream breaks or ctx ends. It returns whether a report was
// received, and why the stream ended.
func (l *link) followStream(
	ctx context.Context, stream wire.DRPCExecutor_DriveClient, conn *drpcconn.Conn, welcome *wire.RunWelcome,
) (reported bool, cause error) {
	limited, cancel := context.WithCancelCause(ctx)
	l.reconcile(welcome)
	l.surveyed.Store(true)
	heard := make(chan struct{}, 1)
	var routines sync.WaitGroup
	routines.Go(func() {
		var err error
		reported, err = l.read(stream, heard)
		cancel(err)
	})
	routines.Go(func() { cancel(l.write(limited, stream)) })
	routines.Go(func() { cancel(awaitSilence(limited, heard)) })
	<-limited.Done()
	l.mutex.Lock()
	l.open = false
	l.mutex.Unlock()
	_ = conn.Close()
	routines.Wait()
	l.dropOrders()
	return reported, context.Cause(limited)
}

// awaitSilence returns errSilent after silenceTimeout without a value on heard, or the error of ctx once that ends.
func awaitSilence(ctx context.Context, heard <-chan struct{}) error {
	timer := time.NewTimer(silenceTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heard:
			timer.Reset(silenceTimeout)
		case <-timer.C:
			return errSilent
		}
	}
}

// read processes reports until the stream breaks, and returns whether at least one was received.
func (l *link) read(stream wire.DRPCExecutor_DriveClient, heard chan<- struct{}) (reported bool, err error) {
	for {
		packed, err := stream.Recv()
		if err != nil {
			return reported, err
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		report, err := executor.Unpack(packed)
		if err != nil {
			return reported, err
		}
		l.applyReport(report)
		reported = true
	}
}

// write sends queued orders until ctx ends or the stream breaks.
func (l *link) write(ctx context.Context, stream wire.DRPCExecutor_DriveClient) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case order := <-l.orders:
			if err := stream.Send(order); err != nil {
				return err
			}
		}
	}
}

// dropOrders discards the unsent orders of a stream that has ended. The runs that they are about are attached again or
// given up.
func (l *link) dropOrders() {
	for {
		select {
		case <-l.orders:
		default:
			return
		}
	}
}

// reconcile compares the runs that the executor holds with those followed there. Runs known to both continue from the
// received position. Runs that only the leader knows are lost. Runs that only the executor knows were started by an
// earlier leader if this is the first stream, and are kept for TakeHeld. On a later stream this leader itself has given
// them up, and they are stopped.
func (l *link) reconcile(welcome *wire.RunWelcome) {
	l.mutex.Lock()
	l.open, l.lastSeenAt = true, l.fleet.config.Clock()
	first := !l.greeted
	l.greeted = true
	held := map[*followedRun]bool{}
	var unknown []Held
	for _, one := range welcome.GetRuns() {
		if followed := l.runs[keyOf(one.GetKey())]; followed != nil && followed.order == orderOf(one) {
			held[followed] = true
			l.enqueue(attachOrder(one.GetKey(), followed.order, followed.received()))
			continue
		}
		unknown = append(unknown, Held{HeldRun: one, link: l})
	}
	var missing []*followedRun
	for _, followed := range l.runs {
		if !held[followed] {
			missing = append(missing, followed)
		}
	}
	l.mutex.Unlock()
	for _, followed := range missing {
		followed.lose(ErrLost)
	}
	if first {
		l.fleet.addHeld(unknown)
		return
	}
	for _, one := range unknown {
		one.Stop()
	}
}

// applyReport passes the contents of a report to the followed runs.
func (l *link) applyReport(report *wire.RunReport) {
	now := l.fleet.config.Clock()
	defer l.markReported(now) // last: otherwise LastReportAt would make a run look silent up to now
	l.mutex.Lock()
	l.leaving = report.GetLeaving()
	l.mutex.Unlock()
	for _, progress := range report.GetProgress() {
		if followed := l.lookup(progress.GetKey(), progress.GetOrder()); followed != nil {
			followed.queueProgress(progress, now)
		}
	}
	for _, ended := range report.GetEnded() {
		followed := l.lookup(ended.GetKey(), ended.GetOrder())
		if followed == nil {
			continue
		}
		if executor.RefusalOf(ended) == executor.NotPermitted {
			l.pauseRuns(now)
		}
		followed.finishWith(ended)
	}
}

// markReported records the time of a report.
func (l *link) markReported(now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastReportAt, l.lastSeenAt = now, now
}

// pauseRuns keeps new runs away from the executor for notPermittedPause.
func (l *link) pauseRuns(now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pausedUntil = now + notPermittedPause
}

// lookup returns the followed run that order started. For any other run it returns nil and counts an ignored report.
func (l *link) lookup(key *wire.RunKey, order *wire.OrderID) *followedRun {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	followed := l.runs[keyOf(key)]
	if followed == nil || followed.order != executor.OrderOf(order) {
		l.fleet.config.OnIgnoredReport()
		return nil
	}
	return followed
}

// loseAll ends all followed runs on this side with the given cause and returns their number. They may continue at the
// executor.
func (l *link) loseAll(cause error) int {
	l.mutex.Lock()
	followed := slices.Collect(maps.Values(l.runs))
	l.mutex.Unlock()
	for _, one := range followed {
		one.lose(cause)
	}
	return len(followed)
}

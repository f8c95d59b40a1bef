package executor

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcctx"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Values of the label that names the kind of an ignored order.
const (
	orderAttach = "attach"
	orderStop   = "stop"
)

// leaderStream is the stream of one leader, with the progress of each run sent on it. Its reader and its writer share
// the fields guarded by the server's mutex.
type leaderStream struct {
	server    *Server
	stream    wire.DRPCExecutor_DriveStream
	number    uint64        // identifies the stream in the RunTable
	term      uint64        // term of the leader
	reportNow chan struct{} // capacity 1; has the writer send a report at once
	packer    packer
	// superseded is closed when a newer stream takes over.
	superseded chan struct{}

	// Guarded by the server's mutex:
	followed map[Key]*followedRun
	refused  []*wire.RunEnded // refused orders, to be sent with the next report
}

// newLeaderStream returns a stream that has not been accepted yet; see handshake.
func newLeaderStream(server *Server, stream wire.DRPCExecutor_DriveStream) *leaderStream {
	return &leaderStream{server: server, stream: stream, reportNow: make(chan struct{}, 1), superseded: make(chan struct{}), followed: map[Key]*followedRun{}}
}

// followedRun records how much of a run has been sent to a leader.
type followedRun struct {
	order     Order // started the run
	run       *run
	sentBytes uint64 // of the body
	headSent  bool
}

// Drive implements wire.DRPCExecutorServer. It serves one leader until the stream ends or a newer stream takes over.
func (s *Server) Drive(stream wire.DRPCExecutor_DriveStream) error {
	first, err := stream.Recv()
	if err != nil {
		return endOfStream(err)
	}
	hello := first.GetHello()
	if hello == nil {
		return trace.BadParameter("the first order of a stream must be the hello")
	}
	f := newLeaderStream(s, stream)
	welcome := f.handshake(hello)
	if !welcome.GetAccepted() {
		return endOfStream(stream.Send(&wire.RunReport{Welcome: welcome, Leaving: s.isLeaving()}))
	}
	defer f.close()
	ctx, cancel := context.WithCancel(stream.Context())
	var routines sync.WaitGroup
	defer routines.Wait()
	defer cancel()
	routines.Go(func() { f.closeWhenSuperseded(ctx) })
	if err := stream.Send(&wire.RunReport{Welcome: welcome, Leaving: s.isLeaving()}); err != nil {
		return endOfStream(err)
	}
	routines.Go(func() { f.sendReports(ctx) })
	return endOfStream(f.readOrders())
}

// closeWhenSuperseded closes the transport when a newer stream takes over, and returns when ctx ends. A frozen leader
// does not read, so sending a report to it blocks on the full send buffer. Only closing the transport unblocks the
// writer.
func (f *leaderStream) closeWhenSuperseded(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.superseded:
		if transport, found := drpcctx.Transport(f.stream.Context()); found {
			_ = transport.Close()
		}
	}
}

// isLeaving reports whether the executor is draining.
func (s *Server) isLeaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.IsLeaving()
}

// handshake accepts the stream of a leader and makes it the current one, or rejects it if it speaks another protocol or
// if a newer term or stream is known.
func (f *leaderStream) handshake(hello *wire.RunHello) *wire.RunWelcome {
	s := f.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var number uint64
	refused := hello.GetProtocol() != Protocol
	if !refused {
		number, refused = s.table.OpenStream(hello.GetTerm(), hello.GetNumber(), s.config.Clock())
	}
	logging.Emit(s.config.Log, &events.ExecutorGreeted{Leader: hello.GetLeader(), Term: hello.GetTerm(), Refused: refused, Held: len(s.runs)})
	if refused {
		return &wire.RunWelcome{Term: s.table.highestTerm, Protocol: Protocol}
	}
	f.number, f.term = number, hello.GetTerm()
	if s.current != nil {
		close(s.current.superseded)
	}
	s.current = f
	return &wire.RunWelcome{Accepted: true, Term: hello.GetTerm(), Protocol: Protocol, Runs: s.heldRuns()}
}

// wake has sendReports send a report at once.
func (f *leaderStream) wake() {
	select {
	case f.reportNow <- struct{}{}:
	default:
	}
}

// close removes the stream. Its runs continue.
func (f *leaderStream) close() {
	s := f.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.CloseStream(f.number, s.config.Clock())
	if s.current == f {
		s.current = nil
	}
}

// readOrders carries out orders until the stream ends, and returns the error that ended it.
func (f *leaderStream) readOrders() error {
	for {
		order, err := f.stream.Recv()
		if err != nil {
			return err
		}
		switch kind := order.GetKind().(type) {
		case *wire.RunOrder_Start:
			f.start(kind.Start)
		case *wire.RunOrder_Attach:
			f.attach(kind.Attach)
		case *wire.RunOrder_Stop:
			f.server.stop(f.number, keyOf(kind.Stop.GetKey()), OrderOf(kind.Stop.GetOrder()))
		}
	}
}

// start starts a run and follows it. A refusal is reported as the end of the run.
func (f *leaderStream) start(start *wire.RunStart) {
	key := keyOf(start.GetKey())
	refusal := f.server.begin(f.number, start)
	f.server.mutex.Lock()
	defer f.server.mutex.Unlock()
	order := Order{Term: f.term, Number: start.GetNumber()}
	if refusal != Accepted {
		f.queueRefusal(key, order, refusal)
		return
	}
	f.followed[key] = &followedRun{order: order, run: f.server.runs[key]}
}

// queueRefusal queues the refusal of an order for the next report. It does not affect another run of the item that the
// stream follows. The caller holds the server's mutex.
func (f *leaderStream) queueRefusal(key Key, order Order, refusal Refusal) {
	f.refused = append(f.refused, encodeRefusal(key, order, refusal))
	f.wake()
}

// attach follows a run that the executor holds, or reports that it is not held.
func (f *leaderStream) attach(attach *wire.RunAttach) {
	key, order := keyOf(attach.GetKey()), OrderOf(attach.GetOrder())
	f.server.mutex.Lock()
	defer f.server.mutex.Unlock()
	if f.server.table.Follow(f.number, key, order) {
		f.followed[key] = &followedRun{order: order, run: f.server.runs[key], sentBytes: attach.GetFrom()}
	} else {
		f.server.counts.ignored.WithLabelValues(orderAttach).Inc()
		f.queueRefusal(key, order, NotHeld)
	}
	f.wake()
}

// sendReports sends reports until ctx ends or the stream fails. It sends one each reportInterval, or at once after
// wake, and skips up to maxSkippedReports empty ones in a row.
func (f *leaderStream) sendReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for idle := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.reportNow:
		}
		collected := f.collectReport()
		if len(collected.GetProgress())+len(collected.GetEnded()) == 0 && idle < maxSkippedReports {
			idle++
			continue
		}
		idle = 0
		report, err := f.packer.pack(collected)
		if err == nil {
			err = f.stream.Send(report)
		}
		if err != nil {
			_ = f.stream.Close() // unblocks readOrders
			return
		}
	}
}

// collectReport returns the news of all followed runs since the last report, and stops following those that have ended.
func (f *leaderStream) collectReport() *wire.RunReport {
	s := f.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := &wire.RunReport{Leaving: s.table.IsLeaving(), Ended: f.refused}
	f.refused = nil
	for key, entry := range f.followed {
		progress, outcome := entry.run.answer.progressSince(entry.sentBytes, entry.headSent)
		if progress != nil {
			progress.Key, progress.Order = wireKey(key), WireOrder(entry.order)
			report.Progress = append(report.Progress, progress)
			entry.sentBytes += uint64(len(progress.GetData()))
			entry.headSent = entry.headSent || progress.GetHead() != nil
		}
		if outcome != nil {
			report.Ended = append(report.Ended, EndOf(key, entry.order, outcome))
			s.table.MarkReported(f.number, key, entry.order, s.config.Clock())
			delete(f.followed, key)
		}
	}
	return report
}

// encodeRefusal encodes the refusal of an order as the end of its run.
func encodeRefusal(key Key, order Order, refusal Refusal) *wire.RunEnded {
	if refusal == NotHeld {
		return &wire.RunEnded{Key: wireKey(key), Order: WireOrder(order), NotHeld: true, Verdict: uint32(verdict.MayHaveRun)}
	}
	return &wire.RunEnded{
		Key: wireKey(key), Order: WireOrder(order), NotAdmitted: true, Refusal: uint32(refusal), Verdict: uint32(verdict.DidNotRun),
		Cause: refusal.String(),
	}
}

// endOfStream returns nil for the errors by which a stream ends regularly, and err otherwise.
func endOfStream(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

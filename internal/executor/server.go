package executor

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// reportInterval is the interval between reports of progress. It bounds both how far a leader's view of a run lags
	// and how often the writer wakes a small process. Ends of runs are reported at once.
	reportInterval = 200 * time.Millisecond
	// maxSkippedReports is the number of empty reports that are skipped before one is sent to show that the executor is
	// alive.
	maxSkippedReports = 2
	// sweepInterval is the interval at which abandoned runs are dropped.
	sweepInterval = 250 * time.Millisecond
	// maximumMessageBytes limits the size of one message on a stream.
	maximumMessageBytes = 64 << 20
)

// Config configures a Server. Caller and Admit are required; other zero fields take their defaults.
type Config struct {
	// Caller sends the requests of the runs to the replicas.
	Caller replica.Caller
	// Admit is called directly before the first byte of a run is sent. It reports whether this process's routing table
	// and lease permit the run.
	Admit    func(order *wire.RunStart) bool
	Settings Settings
	// Clock is the time source. Default: monotonic.Now.
	Clock monotonic.Clock
	// Log receives the events. Default: they are discarded.
	Log *logrus.Entry
}

// Server drives runs for leaders. It is safe for concurrent use.
type Server struct {
	config   Config
	counts   *counts
	routines sync.WaitGroup

	mutex   sync.Mutex // guards the fields below
	table   *RunTable
	runs    map[Key]*run
	current *leaderStream // the stream whose orders are accepted; nil: none
}

// run is a run that the server holds, in progress or ended.
type run struct {
	start  *wire.RunStart
	order  Order
	answer *answer
	cancel context.CancelCauseFunc
}

// New returns a server without runs. It returns trace.BadParameter if Caller or Admit is missing.
func New(config Config) (*Server, error) {
	if config.Caller == nil || config.Admit == nil {
		return nil, trace.BadParameter("executor: Config.Caller and Config.Admit are required")
	}
	if config.Clock == nil {
		config.Clock = monotonic.Now
	}
	if config.Log == nil {
		config.Log = logging.Discard()
	}
	return &Server{config: config, counts: newCounts(), table: NewRunTable(config.Settings), runs: map[Key]*run{}}, nil
}

// Serve serves leaders on the listener until ctx ends. It then stops all runs and waits for them.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterExecutor(mux, s); err != nil {
		return trace.Wrap(err)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maximumMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: wire.MaximumRetainedBufferBytes},
	}, Log: func(err error) { s.config.Log.WithError(err).Debug("leader connection ended") }})
	swept, stop := context.WithCancel(ctx)
	defer stop()
	s.routines.Go(func() { pause.Every(swept, sweepInterval, func(context.Context) { s.sweep() }) })
	err := server.Serve(ctx, listener)
	stop()
	s.cancelAll()
	s.routines.Wait()
	return trace.Wrap(err)
}

// Drain makes the server refuse all further runs. The runs that it holds continue.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Leave()
	s.wakeCurrent()
}

// Running returns the number of runs in progress.
func (s *Server) Running() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Running()
}

// wakeCurrent has the current stream, if any, send a report at once. The caller holds the mutex.
func (s *Server) wakeCurrent() {
	if s.current != nil {
		s.current.wake()
	}
}

// sweep drops the runs that no leader has followed for too long, and stops those still in progress.
func (s *Server) sweep() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range s.table.DropAbandoned(s.config.Clock()) {
		dropped := s.runs[key]
		delete(s.runs, key)
		if _, over := dropped.answer.received(); over != nil {
			continue
		}
		dropped.cancel(errStopped)
		s.counts.abandoned.Inc()
		logging.Emit(s.config.Log, &events.RunAbandoned{
			Job: key.Job, Item: key.Item, Replica: dropped.start.GetTarget().GetInstance(), Term: dropped.order.Term,
		})
	}
}

// cancelAll stops all runs.
func (s *Server) cancelAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, held := range s.runs {
		held.cancel(errStopped)
	}
}

// begin starts a run on an order of the given stream, unless the RunTable refuses it.
func (s *Server) begin(stream uint64, start *wire.RunStart) Refusal {
	key := keyOf(start.GetKey())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if refusal := s.table.Start(stream, key, start.GetNumber()); refusal != Accepted {
		s.counts.refused.WithLabelValues(refusal.String()).Inc()
		return refusal
	}
	order, _ := s.table.HeldOrder(key)
	ctx, cancel := context.WithCancelCause(context.Background())
	begun := &run{start: start, order: order, cancel: cancel,
		answer: &answer{maxBytes: batch.MaximumResultBytes * maxBodyPerText, minVersion: start.GetMinVersion(), clock: s.config.Clock}}
	s.runs[key] = begun
	s.counts.running.Inc()
	s.routines.Go(func() { s.drive(ctx, key, begun) })
	return Accepted
}

// maxBodyPerText limits the body of an answer to a multiple of the longest result text. The events of a streamed answer
// carry names and ids beside their data.
const maxBodyPerText = 2

// drive sends the request of a run to its replica and records the outcome.
func (s *Server) drive(ctx context.Context, key Key, begun *run) {
	outcome := s.config.Caller.Do(ctx, s.newCall(begun.start), begun.answer)
	if cause := context.Cause(ctx); cause != nil && outcome.Err != nil {
		outcome.Err = cause
	}
	begun.cancel(nil)
	begun.answer.setOutcome(outcome)
	s.counts.running.Dec()
	s.counts.ended.WithLabelValues(endingLabel(&outcome)).Inc()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.MarkEnded(key, begun.order)
	s.wakeCurrent()
}

// newCall returns the request to the replica.
func (s *Server) newCall(start *wire.RunStart) *replica.Call {
	item := start.GetItem()
	call := &replica.Call{
		Target:    replica.Target{Instance: start.GetTarget().GetInstance(), Address: start.GetTarget().GetAddress()},
		AttemptID: item.GetId(), Method: item.GetMethod(), Path: item.GetPath(), Host: item.GetHost(), Body: item.GetBody(),
		Tenant: start.GetTenant(), Urgency: int(start.GetUrgency()), ResumeAfter: start.GetResumeAfter(),
		ExpectedVersion: start.GetExpectedVersion(), MaxConnections: int(start.GetMaxConnections()),
		Admit: func() error {
			if !s.config.Admit(start) {
				return ErrNotAdmitted
			}
			return nil
		},
	}
	for _, header := range item.GetHeaders() {
		call.Header = append(call.Header, replica.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return call
}

// stop cancels the run that order started, if the stream is the current one.
func (s *Server) stop(stream uint64, key Key, order Order) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.table.CanStop(stream, key, order) {
		s.counts.ignored.WithLabelValues(orderStop).Inc()
		return
	}
	s.runs[key].cancel(errStopped)
}

// heldRuns describes all held runs, for the welcome of a new leader stream. The caller holds the mutex.
func (s *Server) heldRuns() []*wire.HeldRun {
	found := make([]*wire.HeldRun, 0, len(s.runs))
	for _, key := range s.table.Keys() {
		one := s.runs[key]
		received, outcome := one.answer.received()
		found = append(found, &wire.HeldRun{
			Key: one.start.GetKey(), Target: one.start.GetTarget(), ResumeAfter: one.start.GetResumeAfter(),
			Term: one.order.Term, Number: one.order.Number, Received: received,
			Ended: outcome != nil, Whole: outcome != nil && outcome.Complete,
		})
	}
	return found
}

func keyOf(key *wire.RunKey) Key { return Key{Job: key.GetJob(), Item: key.GetItem()} }

// wireKey is the inverse of keyOf.
func wireKey(key Key) *wire.RunKey { return &wire.RunKey{Job: key.Job, Item: key.Item} }

// endingLabel returns the metric label for how a run ended.
func endingLabel(outcome *replica.Outcome) string {
	switch {
	case outcome.Complete:
		return "whole"
	case errors.Is(outcome.Err, ErrNotAdmitted):
		return "not_admitted"
	case errors.Is(outcome.Err, errStopped):
		return "stopped"
	case outcome.Refused != replica.RefusedNone:
		return "refused"
	}
	return "broken"
}

package gateway

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"golang.org/x/sync/errgroup"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Server is a gateway: the HTTP server for callers together with its pools of back ends, its session with the
// control group and its background tasks.
type Server struct {
	config         Config
	listener       net.Listener
	http           *fasthttp.Server
	transport      *transport
	dispatch       dispatch.Settings
	metrics        *serverMetrics
	metricsHandler fasthttp.RequestHandler
	dispatchLog    *dispatchLog
	started        time.Time
	context        context.Context // for background work; cancelled by Close
	cancel         context.CancelFunc
	attemptPrefix  string
	streamPrefix   string
	cancelSlots    chan struct{} // bounds concurrent cancel calls to engines
	cancelClient   *fasthttp.Client
	discardSlots   chan struct{} // bounds connections whose unread body is being discarded

	nextID            atomic.Uint64
	inFlight          atomic.Int64 // requests that are not finished, pending settlements included
	settlements       atomic.Int64 // answered requests that still have ledger commands to execute
	settlementLimiter *settlementLimiter
	draining          atomic.Bool
	pools             atomic.Pointer[poolSet]
	updateMutex       sync.Mutex // serializes table updates
	gateways          gatewaySet // the live gateways as of the last table update; guarded by updateMutex
	callers           callerConnections
	memory            memoryBudget
}

// callerConnections tracks the open connections of callers, so that Close can close them.
type callerConnections struct {
	mutex sync.Mutex
	open  map[net.Conn]struct{}
}

// trackState implements the ConnState callback of fasthttp.Server.
func (c *callerConnections) trackState(conn net.Conn, state fasthttp.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case fasthttp.StateNew:
		c.open[conn] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(c.open, conn)
	}
}

func (c *callerConnections) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}

func (c *callerConnections) closeAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn := range c.open {
		_ = conn.Close()
	}
}

// poolSet maps pool names to pools as of one table version. It is replaced as a whole and never modified.
type poolSet struct {
	version uint64
	byName  map[string]*pool
}

// New binds the listener, unless config.Listener is set, and returns a gateway that serves once Run is called. The
// control session must already hold a table view. It fails if a required setting is missing, a size limit is
// negative or the address cannot be bound.
func New(config Config) (*Server, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	listener := config.Listener
	if listener == nil {
		bound, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, trace.BadParameter("gateway %s cannot listen on %s: %v", config.Name, config.Listen, err)
		}
		listener = bound
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{config: config, listener: listener, transport: newTransport(config.ConnectTimeout),
		metrics: newServerMetrics(), dispatchLog: newDispatchLog(config.LogEntries), started: time.Now(),
		memory: memoryBudget{limit: config.MaxBufferedBytes}, callers: callerConnections{open: map[net.Conn]struct{}{}},
		context: ctx, cancel: cancel, cancelSlots: make(chan struct{}, maxConcurrentCancels), cancelClient: newCancelClient(),
		discardSlots: make(chan struct{}, maxDiscards)}
	s.attemptPrefix = config.Control.Owner() + "/"
	s.streamPrefix = randomName() + "-"
	s.settlementLimiter = newSettlementLimiter(config.MaxSettling)
	s.dispatch = config.Dispatch.WithDefaults()
	s.dispatch.Random = rand.Float64
	s.dispatch.Budget = &lockedBudget{budget: dispatch.NewRetryBudget(config.RetriesPerSecond, config.RetryBurst),
		refused: s.metrics.refusedRetries}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "tamarindring", Logger: debugLogger{config.Log}, StreamRequestBody: true,
		MaxRequestBodySize: prefetchBytes, DisablePreParseMultipartForm: true, ReadTimeout: config.ReadTimeout,
		IdleTimeout: config.IdleTimeout, Concurrency: config.MaxConnections + maxConcurrentRejections, CloseOnShutdown: true,
		ReadBufferSize: maxHeaderBytes, NoDefaultServerHeader: true, ErrorHandler: s.handleMalformed,
		ConnState: s.callers.trackState,
	}
	s.listener = newLimitedListener(listener, config.MaxConnections, config.MaxConnectionsPerAddress, s.metrics.recordRefusedConnection)
	registry := prometheus.NewRegistry()
	registry.MustRegister(s.Collector())
	s.metricsHandler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes}))
	s.pools.Store(&poolSet{byName: map[string]*pool{}})
	config.Control.OnUpdate(func(view *table.View) { s.applyTable(view, false) })
	if config.Suspects != nil {
		config.Control.OnUpdate(config.Suspects.Follow)
		config.Suspects.Follow(config.Control.View())
	}
	s.applyTable(config.Control.View(), true)
	return s, nil
}

// maxConcurrentScrapes bounds concurrent metrics scrapes on the callers' listener.
const maxConcurrentScrapes = 4

// prefetchBytes is the part of a request body that fasthttp reads before it calls the handler.
const prefetchBytes = 16 << 10

// randomName returns a random identifier of this process start, which makes stream IDs unique across restarts.
func randomName() string {
	var random [6]byte
	binary.BigEndian.PutUint32(random[:4], rand.Uint32())
	binary.BigEndian.PutUint16(random[4:], uint16(rand.Uint32()))
	return hex.EncodeToString(random[:])
}

// lockedBudget makes a retry budget safe for concurrent use and counts the retries that it refuses.
type lockedBudget struct {
	mutex   sync.Mutex
	budget  *dispatch.RetryBudget
	refused prometheus.Counter
}

// Take implements dispatch.Budget.
func (b *lockedBudget) Take(now time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.budget.Take(now) {
		return true
	}
	b.refused.Inc()
	return false
}

// debugLogger logs the errors that fasthttp reports about callers at debug level.
type debugLogger struct{ log *logrus.Entry }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, arguments ...any) { l.log.Debugf(format, arguments...) }

// now returns the monotonic time since the gateway started.
func (s *Server) now() time.Duration { return time.Since(s.started) }

// Address returns the bound IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves callers until ctx is cancelled, then closes the gateway abruptly. It returns nil after Drain or Close,
// and otherwise the error that ended serving.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	group, groupContext := errgroup.WithContext(s.context)
	group.Go(func() error {
		if !s.awaitFirstPolls(groupContext) {
			return ignoreClosed(s.listener.Close())
		}
		err := s.http.Serve(s.listener)
		if s.context.Err() != nil || s.draining.Load() || errors.Is(err, net.ErrClosed) {
			err = nil
		}
		s.cancel()
		return trace.Wrap(err)
	})
	group.Go(func() error { return s.watchGateways(groupContext) })
	group.Go(func() error { return s.pollLoads(groupContext) })
	if s.config.Suspects != nil {
		group.Go(func() error {
			s.config.Suspects.Run(groupContext)
			return nil
		})
	}
	return group.Wait()
}

// Drain performs a planned shutdown. New requests are refused with the verdict that they did not run, requests in
// flight are finished, and then the gateway leaves the membership. If ctx ends first, Drain returns an error and
// requests may still be in flight.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.config.Log.Info("draining")
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("gateway %s: drain ended with %d requests still in flight", s.config.Name, s.inFlight.Load())
		case <-ticker.C:
		}
	}
	err := s.http.ShutdownWithContext(ctx)
	leaveErr := s.config.Control.Leave(ctx)
	s.cancel()
	s.transport.close()
	s.cancelClient.CloseIdleConnections()
	s.config.Log.Info("drained")
	return trace.NewAggregate(err, leaveErr)
}

const drainCheckInterval = 2 * time.Millisecond

// LeaveRequested reports whether an operator has asked this gateway to drain and leave.
func (s *Server) LeaveRequested() bool {
	return wire.LeaveRequested(s.config.Control.Members(), s.config.Control.Owner())
}

// Close stops the gateway abruptly: it closes the listener and all connections and ends the control session.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.callers.closeAll()
	s.transport.close()
	s.cancelClient.CloseIdleConnections()
	return trace.NewAggregate(ignoreClosed(err), s.config.Control.Close())
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// applyTable switches to a table view, unless it is older than the current one. A view of the current version is
// applied only with force. Pools keep their state about replicas that stay in the table.
func (s *Server) applyTable(view *table.View, force bool) {
	s.updateMutex.Lock()
	defer s.updateMutex.Unlock()
	old := s.pools.Load()
	if view.Version() < old.version || !force && view.Version() == old.version {
		return
	}
	gateways := s.currentGateways()
	next := &poolSet{version: view.Version(), byName: make(map[string]*pool)}
	addresses := map[string]bool{}
	for _, row := range view.Pools() {
		p := old.byName[row.Name]
		if p == nil {
			p = newPool(s.config.Policy, s.config.Routing, s.config.Subset)
		}
		p.update(s.now(), view, row, gateways)
		next.byName[row.Name] = p
		for _, backend := range view.Backends(row.Name) {
			addresses[backend.Address] = true
		}
	}
	s.gateways = gateways
	s.pools.Store(next)
	s.transport.closeIdleExcept(addresses)
}

// currentGateways returns the live gateways according to the latest member list.
func (s *Server) currentGateways() gatewaySet {
	return liveGateways(s.config.Control.Members(), routing.Place{Name: s.config.Name, Zone: s.config.Zone})
}

// watchGateways reapplies the table when the set of live gateways changes, because this gateway's subset of the
// back ends and its share of the limits depend on that set. It returns nil when ctx ends.
func (s *Server) watchGateways(ctx context.Context) error {
	ticker := time.NewTicker(gatewayCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		gateways := s.currentGateways()
		s.updateMutex.Lock()
		changed := !gateways.equal(s.gateways)
		s.updateMutex.Unlock()
		if changed {
			s.applyTable(s.config.Control.View(), true)
		}
	}
}

func (s *Server) pool(name string) *pool { return s.pools.Load().byName[name] }

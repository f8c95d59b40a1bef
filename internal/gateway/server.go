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

// Server is one gateway.
type Server struct {
	config        Config
	listener      net.Listener
	http          *fasthttp.Server
	transport     *transport
	dispatch      dispatch.Settings
	counts        *counts
	scrape        fasthttp.RequestHandler
	log           *dispatchLog
	started       time.Time
	context       context.Context // of background work; ends with Close
	cancel        context.CancelFunc
	attemptPrefix string
	streamPrefix  string
	cancels       chan struct{} // bounds cancel calls under way
	canceller     *fasthttp.Client
	lingers       chan struct{} // bounds connections whose unread body is discarded

	nextID      atomic.Uint64
	inFlight    atomic.Int64 // requests whose life is not over
	settlements atomic.Int64
	settling    *settling
	draining    atomic.Bool
	pools       atomic.Pointer[poolSet]
	updateMutex sync.Mutex // one table update at a time
	group       group
	callers     callers
	memory      memoryBudget
}

// callers are the open connections, so that Close can cut them.
type callers struct {
	mutex sync.Mutex
	open  map[net.Conn]struct{}
}

// follow implements the HTTP library's ConnState.
func (c *callers) follow(conn net.Conn, state fasthttp.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case fasthttp.StateNew:
		c.open[conn] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(c.open, conn)
	}
}

func (c *callers) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}

func (c *callers) cut() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn := range c.open {
		_ = conn.Close()
	}
}

// poolSet is the pools by name. It is replaced, never changed.
type poolSet struct {
	version uint64
	byName  map[string]*pool
}

// New binds the listener. The control session must hold a view already.
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
		counts: newCounts(), log: newDispatchLog(config.LogEntries), started: time.Now(),
		memory: memoryBudget{limit: config.MaxBufferedBytes}, callers: callers{open: map[net.Conn]struct{}{}}, context: ctx, cancel: cancel, cancels: make(chan struct{}, maxCancels), canceller: newCanceller(),
		lingers: make(chan struct{}, maxLingers)}
	s.attemptPrefix = config.Control.Owner() + "/"
	s.streamPrefix = randomName() + "-"
	s.settling = newSettling(config.MaxSettling)
	s.dispatch = config.Dispatch.WithDefaults()
	s.dispatch.Random = rand.Float64
	s.dispatch.Budget = &sharedBudget{budget: dispatch.NewRetryBudget(config.RetriesPerSecond, config.RetryBurst),
		refused: s.counts.refused}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "tamarindring", Logger: quietLogger{config.Log}, StreamRequestBody: true,
		MaxRequestBodySize: prefetchBytes, DisablePreParseMultipartForm: true, ReadTimeout: config.ReadTimeout,
		IdleTimeout: config.IdleTimeout, Concurrency: config.MaxConnections + maxFarewells, CloseOnShutdown: true,
		ReadBufferSize: maxHeaderBytes, NoDefaultServerHeader: true, ErrorHandler: s.handleMalformed,
		ConnState: s.callers.follow,
	}
	s.listener = newLimitedListener(listener, config.MaxConnections, config.MaxConnectionsPerAddress, s.counts.countRefusedConnection)
	registry := prometheus.NewRegistry()
	registry.MustRegister(s.Collector())
	s.scrape = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	s.pools.Store(&poolSet{byName: map[string]*pool{}})
	config.Control.OnUpdate(func(view *table.View) { s.update(view, false) })
	if config.Suspects != nil {
		config.Control.OnUpdate(config.Suspects.Follow)
		config.Suspects.Follow(config.Control.View())
	}
	s.update(config.Control.View(), true)
	return s, nil
}

// maxScrapes bounds the scrapes under way on the callers' listener.
const maxScrapes = 4

// prefetchBytes is how much of a body the HTTP library reads before the handler runs.
const prefetchBytes = 16 << 10

// randomName distinguishes this start of the process in stream identities.
func randomName() string {
	var random [6]byte
	binary.BigEndian.PutUint32(random[:4], rand.Uint32())
	binary.BigEndian.PutUint16(random[4:], uint16(rand.Uint32()))
	return hex.EncodeToString(random[:])
}

// sharedBudget makes the retry budget safe for all requests.
type sharedBudget struct {
	mutex   sync.Mutex
	budget  *dispatch.RetryBudget
	refused prometheus.Counter
}

// Take implements dispatch.Budget.
func (b *sharedBudget) Take(now time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.budget.Take(now) {
		return true
	}
	b.refused.Inc()
	return false
}

// quietLogger passes the HTTP library's complaints about callers to debug level.
type quietLogger struct{ log *logrus.Entry }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(format string, arguments ...any) { l.log.Debugf(format, arguments...) }

// now is the time since the gateway started, monotonic.
func (s *Server) now() time.Duration { return time.Since(s.started) }

// Address is the bound IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends, then closes abruptly; after Drain or Close it returns nil.
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
	group.Go(func() error { return s.refresh(groupContext) })
	group.Go(func() error { return s.pollLoads(groupContext) })
	if s.config.Suspects != nil {
		group.Go(func() error {
			s.config.Suspects.Run(groupContext)
			return nil
		})
	}
	return group.Wait()
}

// Drain stops by plan: what is in flight is finished, new requests are refused as not run, then the
// gateway leaves the membership. It returns early when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.config.Log.Info("draining")
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("gateway %s: %d requests were still in flight when the drain's time was over", s.config.Name, s.inFlight.Load())
		case <-ticker.C:
		}
	}
	err := s.http.ShutdownWithContext(ctx)
	left := s.config.Control.Leave(ctx)
	s.cancel()
	s.transport.close()
	s.canceller.CloseIdleConnections()
	s.config.Log.Info("drained")
	return trace.NewAggregate(err, left)
}

const drainCheckInterval = 2 * time.Millisecond

// LeaveRequested says whether an operator has asked this gateway to finish its work and leave.
func (s *Server) LeaveRequested() bool {
	return wire.LeaveRequested(s.config.Control.Members(), s.config.Control.Owner())
}

// Close ends the gateway abruptly.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.callers.cut()
	s.transport.close()
	s.canceller.CloseIdleConnections()
	return trace.NewAggregate(ignoreClosed(err), s.config.Control.Close())
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// update takes over a table view unless it is older than the one in use, or, without force, the same. Pools keep what they know about replicas that stay.
func (s *Server) update(view *table.View, force bool) {
	s.updateMutex.Lock()
	defer s.updateMutex.Unlock()
	old := s.pools.Load()
	if view.Version() < old.version || !force && view.Version() == old.version {
		return
	}
	own := s.currentGroup()
	next := &poolSet{version: view.Version(), byName: make(map[string]*pool)}
	addresses := map[string]bool{}
	for _, row := range view.Pools() {
		p := old.byName[row.Name]
		if p == nil {
			p = newPool(s.config.Policy, s.config.Routing, s.config.Subset)
		}
		p.update(s.now(), view, row, own)
		next.byName[row.Name] = p
		for _, backend := range view.Backends(row.Name) {
			addresses[backend.Address] = true
		}
	}
	s.group = own
	s.pools.Store(next)
	s.transport.forgetExcept(addresses)
}

// currentGroup is the live gateways as last heard.
func (s *Server) currentGroup() group {
	return gatewayGroup(s.config.Control.Members(), routing.Place{Name: s.config.Name, Zone: s.config.Zone})
}

// refresh follows which gateways live: this one's subset of the back ends and its share of the limits
// depend on it.
func (s *Server) refresh(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		own := s.currentGroup()
		s.updateMutex.Lock()
		changed := !own.equal(s.group)
		s.updateMutex.Unlock()
		if changed {
			s.update(s.config.Control.View(), true)
		}
	}
}

func (s *Server) pool(name string) *pool { return s.pools.Load().byName[name] }

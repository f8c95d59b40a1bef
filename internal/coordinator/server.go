package coordinator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Server is one coordinator.
type Server struct {
	config    Config
	listener  net.Listener
	client    *controlclient.Client
	session   *controlclient.Session
	http      *http.Server
	calls     *http.Client // to gateways, replicas, the scorer and the weight store
	started   time.Time
	context   context.Context
	cancel    context.CancelFunc
	draining  atomic.Bool
	leaving   atomic.Bool // past the last hand-over of a drain
	requests  atomic.Uint64
	kick      chan struct{} // wakes the scheduling loop
	scoring   chan struct{} // one place per call to the scorer
	adoption  singleflight.Group
	routines  sync.WaitGroup
	handOvers sync.WaitGroup // hand-overs to other coordinators under way
	closing   sync.Once

	mutex    sync.Mutex // guards what follows
	closed   bool       // no routine may start
	trainers map[string]*trainerState
	pools    map[string]*pool
	gateways map[string]*gatewayUse // by address
	begun    map[string]*begunSet   // by trainer
	stats    Stats
	// reportSize is the mean of the bodies of load reports, in bytes.
	reportSize float64
}

// Open binds the listener, starts a session with the control group and returns a coordinator that acts under
// its lease. It waits until the lease is granted, or ctx ends. Errors: trace.BadParameter for settings that
// cannot work, an address in use among them; trace.ConnectionProblem when no lease came.
func Open(ctx context.Context, config Config) (*Server, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	if config.Listener == nil {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, trace.BadParameter("coordinator %s cannot listen on %s: %v", config.Name, config.Listen, err)
		}
		config.Listener = listener
	}
	config.Control.Member = &wire.Member{Name: config.Name, Role: wire.MemberRole_MEMBER_ROLE_COORDINATOR,
		Address: config.Listener.Addr().String(), Zone: config.Zone, Region: config.Region}
	client, err := controlclient.New(config.Control)
	if err != nil {
		_ = config.Listener.Close()
		return nil, err
	}
	session, err := client.StartSession(ctx)
	if err != nil {
		_ = config.Listener.Close()
		_ = client.Close()
		return nil, err
	}
	return newServer(config, client, session), nil
}

func newServer(config Config, client *controlclient.Client, session *controlclient.Session) *Server {
	s := &Server{
		config: config, listener: newLimitedListener(config.Listener, config.MaxConnections), client: client, session: session,
		started: time.Now(), kick: make(chan struct{}, 1), scoring: make(chan struct{}, config.ScoreConcurrency),
		trainers: map[string]*trainerState{}, pools: map[string]*pool{}, gateways: map[string]*gatewayUse{}, begun: map[string]*begunSet{},
	}
	s.context, s.cancel = context.WithCancel(context.Background())
	s.calls = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
	s.http = &http.Server{
		Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: quietLog(config.Log),
		BaseContext: func(net.Listener) context.Context { return s.context },
	}
	return s
}

const (
	connectTimeout  = 500 * time.Millisecond
	idleConnections = 4096
)

// now is the time since the coordinator started, monotonic.
func (s *Server) now() time.Duration { return time.Since(s.started) }

// Address is the bound IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends, then closes abruptly; after Drain or Close it returns nil.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	group, groupContext := errgroup.WithContext(s.context)
	group.Go(func() error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || s.context.Err() != nil {
			err = nil
		}
		if !s.draining.Load() {
			s.cancel()
		}
		return trace.Wrap(err)
	})
	group.Go(func() error { return s.schedule(groupContext) })
	group.Go(func() error { return s.watchReplicas(groupContext) })
	group.Go(func() error { return s.tend(groupContext) })
	err := group.Wait()
	s.stopRoutines()
	return err
}

// start runs a routine that Close waits for; nothing starts once the server is closed. The caller holds the
// mutex.
func (s *Server) start(routine func()) {
	if !s.closed {
		s.routines.Go(routine)
	}
}

func (s *Server) stopRoutines() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.routines.Wait()
	s.calls.CloseIdleConnections()
}

// Drain stops by plan: no sample is started any more, running ones get DrainPatience to end and to be
// stored, the open fetches are answered, and then the coordinator leaves the membership, so that others take
// its trainers over. It returns early when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.config.Log.Info("draining")
	s.finishRunning(ctx)
	s.leaving.Store(true)
	s.handOverAll(ctx)
	served := s.http.Shutdown(ctx)
	left := s.session.Leave(ctx)
	s.cancel()
	s.stopRoutines()
	s.config.Log.Info("drained")
	return trace.NewAggregate(served, left, s.client.Close())
}

const drainCheckInterval = 10 * time.Millisecond

// finishRunning waits for the samples in generation, scoring and storing.
func (s *Server) finishRunning(ctx context.Context) {
	patience := time.NewTimer(s.config.DrainPatience)
	defer patience.Stop()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for s.Stats().Running > 0 {
		select {
		case <-ctx.Done():
			return
		case <-patience.C:
			s.config.Log.Infof("%d samples still run; the next owner goes on with them", s.Stats().Running)
			return
		case <-ticker.C:
		}
	}
}

// LeaveRequested says whether an operator has asked this coordinator to finish its work and leave.
func (s *Server) LeaveRequested() bool {
	return wire.LeaveRequested(s.session.Members(), s.session.Owner())
}

// Close ends the coordinator abruptly: connections are cut, running samples are lost.
func (s *Server) Close() error {
	var err error
	s.closing.Do(func() {
		s.cancel()
		err = s.http.Close()
		if closed := s.listener.Close(); err == nil && !errors.Is(closed, net.ErrClosed) {
			err = closed
		}
		s.session.Close()
		err = trace.NewAggregate(err, s.client.Close())
		s.stopRoutines()
	})
	return err
}

// Stats counts what a coordinator did since its start.
type Stats struct {
	Trainers         int    `json:"trainers"` // owned now
	Running          int    `json:"running"`  // samples in generation, scoring or storing now
	StepsOpened      uint64 `json:"steps_opened"`
	StepsCompleted   uint64 `json:"steps_completed"` // handed over wholly
	SamplesFinished  uint64 `json:"samples_finished"`
	HandedOver       uint64 `json:"handed_over"` // acknowledged by their trainers
	Tokens           uint64 `json:"tokens"`      // of finished samples
	DiscardedStale   uint64 `json:"discarded_stale"`
	DiscardedTokens  uint64 `json:"discarded_tokens"` // generated and never handed over
	Interrupted      uint64 `json:"interrupted"`      // attempts that ended early
	Moved            uint64 `json:"moved"`            // of them, taken off a replica or gateway that leaves
	Transferred      uint64 `json:"transferred"`      // of the moved, with their KV cache
	Continued        uint64 `json:"continued"`        // attempts that went on from kept tokens
	Takeovers        uint64 `json:"takeovers"`        // trainers adopted with open steps
	Deposed          uint64 `json:"deposed"`          // trainers that another coordinator took
	Inherited        uint64 `json:"inherited"`        // begun samples that a former owner handed over
	Redirected       uint64 `json:"redirected"`
	Refused          uint64 `json:"refused"`
	VersionsReleased uint64 `json:"versions_released"`
	Waves            uint64 `json:"waves"` // versions that every replica came to serve
	Swaps            uint64 `json:"swaps"`
	SwapFailures     uint64 `json:"swap_failures"`
	Repairs          uint64 `json:"repairs"`
	Throttled        uint64 `json:"throttled"` // by the weight store
	LoadPolls        uint64 `json:"load_polls"`
	LastWaveMillis   int64  `json:"last_wave_millis"`
	// TrainerStats are the accounts of the trainers owned now, by name.
	TrainerStats []TrainerStats `json:"trainer_stats,omitempty"`
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stats := s.stats
	stats.Trainers = len(s.trainers)
	stats.TrainerStats = s.trainerStats()
	for _, p := range s.pools {
		stats.Running += len(p.running)
		if p.wave == nil {
			continue
		}
		status := p.wave.planner.Status()
		stats.add(status.Counters)
		stats.LastWaveMillis = max(stats.LastWaveMillis, status.Lasted.Milliseconds())
	}
	return stats
}

// requestName returns a name that no other request of any process has.
func (s *Server) requestName() string {
	return s.session.Owner() + "/" + strconv.FormatUint(s.requests.Add(1), 10)
}

func (s *Server) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

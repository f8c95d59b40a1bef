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

	"github.com/tamarindring/tamarindring/internal/answerconn"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Server is one coordinator process: it serves trainers, schedules their samples and drives weight waves.
type Server struct {
	config     Config
	listener   net.Listener
	client     *controlclient.Client
	session    *controlclient.Session
	http       *http.Server
	httpClient *http.Client // to gateways, replicas, the scorer, the weight store and other coordinators
	started    time.Time
	context    context.Context
	cancel     context.CancelFunc
	draining   atomic.Bool
	leaving    atomic.Bool // set once a drain has waited for running samples; waiting fetches are then rejected
	requests   atomic.Uint64
	wakeup     chan struct{} // wakes the scheduling loop
	scoreSlots chan struct{} // semaphore that bounds concurrent scorer calls
	adoptions  singleflight.Group
	routines   sync.WaitGroup
	handovers  sync.WaitGroup // uploads of partial samples to other coordinators in progress
	closeOnce  sync.Once

	mutex            sync.Mutex // guards the fields below
	closed           bool       // no new goroutine may start
	trainers         map[string]*trainerState
	pools            map[string]*pool
	gateways         map[string]*gatewayState     // by address
	receivedPartials map[string]*receivedPartials // by trainer name
	stats            Stats
	// reportSize is the moving average of the load report body size, in bytes.
	reportSize float64
}

// Open binds the listener, starts a session with the control group and returns a coordinator. It blocks until the
// control group grants a lease or ctx ends. It returns trace.BadParameter for invalid settings or an address that
// cannot be bound, and trace.ConnectionProblem if no lease was granted.
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
		started: time.Now(), wakeup: make(chan struct{}, 1), scoreSlots: make(chan struct{}, config.ScoreConcurrency),
		trainers: map[string]*trainerState{}, pools: map[string]*pool{}, gateways: map[string]*gatewayState{}, receivedPartials: map[string]*receivedPartials{},
	}
	s.context, s.cancel = context.WithCancel(context.Background())
	s.httpClient = &http.Client{Transport: &answerconn.Transport{Base: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
	s.http = &http.Server{
		Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: newDebugLogger(config.Log),
		BaseContext: func(net.Listener) context.Context { return s.context },
	}
	return s
}

const (
	connectTimeout = 500 * time.Millisecond
	// maxCallAnswerBytes bounds the body of the answer to a JSON call.
	maxCallAnswerBytes = 64 << 20
	idleConnections    = 4096
)

// now returns the monotonic time since the coordinator started.
func (s *Server) now() time.Duration { return time.Since(s.started) }

// Address returns the bound IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends and then closes abruptly, as Close does. It returns nil after Drain or Close.
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
	group.Go(func() error { return s.reconcileOwnership(groupContext) })
	err := group.Wait()
	s.stopRoutines()
	return err
}

// start runs routine in a goroutine that Close waits for. It does nothing once the server is closed. The caller holds
// the mutex.
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
	s.httpClient.CloseIdleConnections()
}

// Drain shuts the coordinator down gracefully. It starts no new samples, gives running ones up to DrainPatience to
// finish and be stored, answers open fetches, hands the trainers over to their next owners and then leaves the
// membership. It returns early when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.config.Log.Info("draining")
	s.awaitRunning(ctx)
	s.leaving.Store(true)
	s.handOverTrainers(ctx)
	shutdownError := s.http.Shutdown(ctx)
	leaveError := s.session.Leave(ctx)
	s.cancel()
	s.stopRoutines()
	s.config.Log.Info("drained")
	return trace.NewAggregate(shutdownError, leaveError, s.client.Close())
}

const drainPollInterval = 10 * time.Millisecond

// awaitRunning waits until no sample is in generation, scoring or storing, for at most DrainPatience.
func (s *Server) awaitRunning(ctx context.Context) {
	patience := time.NewTimer(s.config.DrainPatience)
	defer patience.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.Stats().Running > 0 {
		select {
		case <-ctx.Done():
			return
		case <-patience.C:
			s.config.Log.Infof("drain patience is over with %d samples running; their next owner resumes them", s.Stats().Running)
			return
		case <-ticker.C:
		}
	}
}

// LeaveRequested reports whether an operator has asked this coordinator to finish its work and leave.
func (s *Server) LeaveRequested() bool {
	return wire.LeaveRequested(s.session.Members(), s.session.Owner())
}

// Close stops the coordinator abruptly: it cuts connections, and running samples lose the tokens generated so far.
func (s *Server) Close() error {
	var err error
	s.closeOnce.Do(func() {
		s.cancel()
		err = s.http.Close()
		if closeError := s.listener.Close(); err == nil && !errors.Is(closeError, net.ErrClosed) {
			err = closeError
		}
		s.session.Close()
		err = trace.NewAggregate(err, s.client.Close())
		s.stopRoutines()
	})
	return err
}

// Stats holds gauges and the counters since the coordinator started.
type Stats struct {
	Trainers         int    `json:"trainers"` // owned now
	Running          int    `json:"running"`  // samples in generation, scoring or storing now
	StepsOpened      uint64 `json:"steps_opened"`
	StepsCompleted   uint64 `json:"steps_completed"` // steps whose last sample was handed over
	SamplesFinished  uint64 `json:"samples_finished"`
	HandedOver       uint64 `json:"handed_over"` // samples acknowledged by their trainers
	Tokens           uint64 `json:"tokens"`      // tokens of finished samples
	DiscardedStale   uint64 `json:"discarded_stale"`
	DiscardedTokens  uint64 `json:"discarded_tokens"` // tokens generated but never handed over
	Interrupted      uint64 `json:"interrupted"`      // attempts that ended early
	Moved            uint64 `json:"moved"`            // interrupted attempts taken off a leaving replica or gateway
	Transferred      uint64 `json:"transferred"`      // moved attempts whose KV cache was moved too
	Continued        uint64 `json:"continued"`        // attempts that resumed from retained tokens
	Takeovers        uint64 `json:"takeovers"`        // trainers adopted with open steps
	Deposed          uint64 `json:"deposed"`          // trainers dropped: owned elsewhere, or local state out of date
	Inherited        uint64 `json:"inherited"`        // partial samples received from a previous owner
	Redirected       uint64 `json:"redirected"`
	Refused          uint64 `json:"refused"`
	VersionsReleased uint64 `json:"versions_released"`
	Waves            uint64 `json:"waves"` // versions that every replica came to serve
	Swaps            uint64 `json:"swaps"`
	SwapFailures     uint64 `json:"swap_failures"`
	Repairs          uint64 `json:"repairs"`
	Throttled        uint64 `json:"throttled"` // weight orders that the weight store throttled
	LoadPolls        uint64 `json:"load_polls"`
	LastWaveMillis   int64  `json:"last_wave_millis"`
	// TrainerStats holds the statistics of the trainers owned now, sorted by name.
	TrainerStats []TrainerStats `json:"trainer_stats,omitempty"`
}

// Stats returns the current gauges and counters.
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
		stats.LastWaveMillis = max(stats.LastWaveMillis, status.LastDuration.Milliseconds())
	}
	return stats
}

// newRequestID returns a request id that is unique across all processes.
func (s *Server) newRequestID() string {
	return s.session.Owner() + "/" + strconv.FormatUint(s.requests.Add(1), 10)
}

func (s *Server) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

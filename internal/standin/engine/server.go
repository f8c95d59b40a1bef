// Package engine is the stand-in of a model engine: the emulator of package internal/engine served over
// HTTP in real time, in the published OpenAI-compatible form. It keeps the truth about what it ran.
package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	emulator "github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
)

// Defaults of Config.
const (
	defaultDetachGrace   = 2 * time.Second
	defaultRetain        = 30 * time.Second // of ended streams, for resumes
	defaultRetainStreams = 4096
	defaultOrderTimeout  = 30 * time.Second
	loadSampleInterval   = 20 * time.Millisecond
)

// Config holds a stand-in's settings.
type Config struct {
	// Name appears in reports and answers.
	Name string
	// Listen is IP:port, port 0 allowed; ignored when Listener is set.
	Listen   string
	Listener net.Listener
	// Zone is reported with the load.
	Zone string
	// Parameters of the emulator; the zero value means its defaults.
	Parameters emulator.Parameters
	// InitialVersion and InitialVersionNumber name the weights served at the start.
	InitialVersion       string
	InitialVersionNumber uint64
	// WeightStore is the IP:port of the weight store that versions are loaded from; empty loads nothing.
	WeightStore string
	// LoadReportLag is how old a load report is when it is handed out. Default 0.
	LoadReportLag time.Duration
	// CacheEventLag is how old a cache event is when it is handed out. Default 0.
	CacheEventLag time.Duration
	// CacheEventLoss is the probability that a cache event is never handed out. Default 0.
	CacheEventLoss float64
	// DetachGrace is how long a stream whose reader is gone still runs, to be resumed. Default 2s.
	DetachGrace time.Duration
	// Seed draws the injected faults.
	Seed uint64
	// TimeScale is how many seconds of emulated time pass per second. Default 1.
	TimeScale float64
	// Log is required.
	Log *logrus.Entry
}

// Server is one engine stand-in.
type Server struct {
	config   Config
	endpoint *endpoint.Endpoint
	client   *http.Client // of the weight store
	started  time.Time
	wake     chan struct{}
	closed   chan struct{}
	closing  sync.Once
	faults   faultSwitches
	log      executionLog
	cache    cacheFeed

	mutex    sync.Mutex // guards what follows
	emulated *emulator.Engine
	streams  map[string]*stream // by request id, retained ones included
	byHandle map[uint64]*stream // unfinished ones
	handles  uint64
	retained []*stream // finished or cancelled, oldest first
	versions map[uint64]string
	fetched  map[uint64]bool
	orders   []*weightOrder
	history  []loadSample
	tidied   time.Time
	leaving  bool
	leftAt   time.Time
	role     string
	adapter  string
	crashed  bool
	imports  importedCaches
}

// New binds the listener.
func New(config Config) (*Server, error) {
	if config.TimeScale == 0 {
		config.TimeScale = 1
	}
	if config.DetachGrace == 0 {
		config.DetachGrace = defaultDetachGrace
	}
	if config.Parameters == (emulator.Parameters{}) {
		config.Parameters = emulator.DefaultParameters()
	}
	if config.Log == nil {
		return nil, trace.BadParameter("engine stand-in %q needs a log", config.Name)
	}
	emulated, err := emulator.New(config.Parameters, config.InitialVersionNumber)
	if err != nil {
		return nil, err
	}
	server := &Server{
		config: config, emulated: emulated, started: time.Now(), wake: make(chan struct{}, 1), closed: make(chan struct{}),
		client:   &http.Client{Transport: &http.Transport{}, Timeout: defaultOrderTimeout},
		streams:  make(map[string]*stream),
		byHandle: make(map[uint64]*stream),
		versions: map[uint64]string{config.InitialVersionNumber: config.InitialVersion},
		fetched:  map[uint64]bool{config.InitialVersionNumber: true},
		role:     "serve",
	}
	server.faults.seed(config.Seed)
	server.cache.configure(config)
	server.endpoint, err = endpoint.New(endpoint.Config{
		Listen: config.Listen, Listener: config.Listener, Handler: server.handle, Log: config.Log,
	})
	if err != nil {
		return nil, err
	}
	return server, nil
}

// Address is the bound IP:port.
func (s *Server) Address() string { return s.endpoint.Address() }

// Name is the configured name.
func (s *Server) Name() string { return s.config.Name }

// Run serves until ctx ends or the server is drained or closed.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer s.stop()
		return s.endpoint.Run(ctx)
	})
	group.Go(func() error { return s.drive(ctx) })
	return group.Wait()
}

// Drain refuses new work and waits for the requests in flight.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	err := s.endpoint.Drain(ctx)
	s.stop()
	return err
}

// Close ends the stand-in abruptly: every connection is cut.
func (s *Server) Close() error {
	err := s.endpoint.Close()
	s.stop()
	return err
}

// Crash makes the stand-in behave like a dead process: connections are cut, every request and the whole
// memory is lost. Restart brings it back on the same address.
func (s *Server) Crash() {
	s.mutex.Lock()
	s.emulated.Crash(s.elapsed())
	s.crashed = true
	s.failStreams(OutcomeCrashed)
	s.failOrders()
	s.mutex.Unlock()
	s.endpoint.SetDown(true)
}

// Restart brings a crashed stand-in back, empty, serving the given version.
func (s *Server) Restart(version string, number uint64) {
	s.mutex.Lock()
	s.versions[number] = version
	s.fetched = map[uint64]bool{number: true}
	s.emulated.Restart(s.elapsed(), number)
	s.crashed, s.leaving = false, false
	clear(s.streams)
	s.retained = nil
	s.mutex.Unlock()
	s.endpoint.SetDown(false)
}

// Leave sets the leave mark: from now on new work is refused and counted.
func (s *Server) Leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leaving {
		s.leaving, s.leftAt = true, time.Now()
	}
}

// Leaving returns the time of the leave mark.
func (s *Server) Leaving() (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leftAt, s.leaving
}

// Log returns the executions so far, oldest first: the truth that tests compare with.
func (s *Server) Log() []Execution { return s.log.after(0) }

// ExecutionsOf returns the executions of one original prompt, those that still run included.
func (s *Server) ExecutionsOf(prompt string) []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.log.ofPrompt(prompt)
	for _, running := range s.byHandle {
		if running.request.Prompt == prompt {
			found = append(found, running.execution())
		}
	}
	return found
}

// Served returns the version that the next step is computed under.
func (s *Server) Served() (version string, number uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	number = s.emulated.Version()
	return s.versions[number], number
}

// FailNextSwap makes the next weight swap fail.
func (s *Server) FailNextSwap(failure emulator.SwapFailure) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.emulated.FailNextSwap(failure)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) { s.faults.set(faults) }

func (s *Server) stop() {
	s.closing.Do(func() {
		close(s.closed)
		s.client.CloseIdleConnections()
	})
}

// elapsed is the emulated time.
func (s *Server) elapsed() time.Duration {
	return time.Duration(float64(time.Since(s.started)) * s.config.TimeScale)
}

// realTime converts an emulated duration to a real one.
func (s *Server) realTime(emulated time.Duration) time.Duration {
	return time.Duration(float64(emulated) / s.config.TimeScale)
}

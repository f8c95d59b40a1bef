// Package engine is the stand-in of a model engine. It serves the emulator of package internal/engine over HTTP in real
// time, with an OpenAI-compatible API, and logs every execution so that tests can compare what clients report with what
// really ran.
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
	defaultRetain        = 30 * time.Second // how long ended streams can be resumed
	defaultRetainStreams = 4096             // maximum number of ended streams that can be resumed
	defaultOrderTimeout  = 30 * time.Second // of a weight swap, and of a read of the weight store
	loadSampleInterval   = 20 * time.Millisecond
)

// Config holds a stand-in's settings.
type Config struct {
	// Name appears in reports and answers.
	Name string
	// Listen is the IP:port to listen on; port 0 selects a free port. It is ignored if Listener is set.
	Listen   string
	Listener net.Listener
	// Zone is reported with the load.
	Zone string
	// Parameters configures the emulator. The zero value means emulator.DefaultParameters.
	Parameters emulator.Parameters
	// InitialVersion and InitialVersionNumber are the name and number of the weight version served at the start.
	InitialVersion       string
	InitialVersionNumber uint64
	// WeightStore is the IP:port of the weight store that versions are loaded from. If empty, nothing is loaded.
	WeightStore string
	// LoadReportLag is the age of a load report when it is served. Default 0.
	LoadReportLag time.Duration
	// CacheEventLag is the age that a cache event must reach before it is served. Default 0.
	CacheEventLag time.Duration
	// CacheEventLoss is the probability that a cache event is never served. Default 0.
	CacheEventLoss float64
	// DetachGrace is the time for which a stream without a reader keeps running, so that it can be resumed. Default 2s.
	DetachGrace time.Duration
	// Seed seeds the random injected faults.
	Seed uint64
	// TimeScale is the number of seconds of emulated time per second of real time. Default 1.
	TimeScale float64
	// Log is required.
	Log *logrus.Entry
}

// Server is one engine stand-in.
type Server struct {
	config    Config
	endpoint  *endpoint.Endpoint
	client    *http.Client // for the weight store
	started   time.Time
	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	faults    faultInjector
	log       executionLog
	cache     cacheFeed

	mutex            sync.Mutex // guards the fields below
	emulated         *emulator.Engine
	streams          map[string]*stream // by request id, including retained ones
	runningByHandle  map[uint64]*stream // unfinished streams by the request id in the emulator
	lastHandle       uint64             // last handle assigned
	retained         []*stream          // ended streams that can be resumed, oldest first
	versions         map[uint64]string  // version name by number
	fetchedVersions  map[uint64]bool    // versions loaded from the weight store, by number
	orders           []*weightOrder
	loadHistory      []loadSample
	lastHousekeeping time.Time
	leaving          bool
	leftAt           time.Time
	role             string
	adapter          string
	crashed          bool
	imports          importedCaches
}

// New binds the listener. Requests are served once Run is called. It returns an error if the configuration is invalid
// or the address cannot be bound.
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
		client:          &http.Client{Transport: &http.Transport{}, Timeout: defaultOrderTimeout},
		streams:         make(map[string]*stream),
		runningByHandle: make(map[uint64]*stream),
		versions:        map[uint64]string{config.InitialVersionNumber: config.InitialVersion},
		fetchedVersions: map[uint64]bool{config.InitialVersionNumber: true},
		role:            "serve",
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

// Address returns the IP:port that the listener is bound to.
func (s *Server) Address() string { return s.endpoint.Address() }

// Name returns the configured name.
func (s *Server) Name() string { return s.config.Name }

// Run serves requests until ctx ends or the server is drained or closed.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer s.stop()
		return s.endpoint.Run(ctx)
	})
	group.Go(func() error { return s.drive(ctx) })
	return group.Wait()
}

// Drain rejects new requests and waits until those in flight have ended or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	err := s.endpoint.Drain(ctx)
	s.stop()
	return err
}

// Close stops the stand-in and resets every connection.
func (s *Server) Close() error {
	err := s.endpoint.Close()
	s.stop()
	return err
}

// Crash makes the stand-in behave like a dead process. It resets every connection and drops every request and the whole
// KV memory. Restart brings it back on the same address.
func (s *Server) Crash() {
	s.mutex.Lock()
	s.emulated.Crash(s.elapsed())
	s.crashed = true
	s.failStreams(OutcomeCrashed)
	s.failOrders()
	s.mutex.Unlock()
	s.endpoint.SetDown(true)
}

// Restart brings a crashed stand-in back without any requests, serving the given version.
func (s *Server) Restart(version string, number uint64) {
	s.mutex.Lock()
	s.versions[number] = version
	s.fetchedVersions = map[uint64]bool{number: true}
	s.emulated.Restart(s.elapsed(), number)
	s.crashed, s.leaving = false, false
	clear(s.streams)
	s.retained = nil
	s.mutex.Unlock()
	s.endpoint.SetDown(false)
}

// Leave sets the leave mark. New requests are rejected from then on, and the log shows how long after the mark they
// arrived.
func (s *Server) Leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leaving {
		s.leaving, s.leftAt = true, time.Now()
	}
}

// Leaving returns the time of the leave mark and whether it is set.
func (s *Server) Leaving() (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leftAt, s.leaving
}

// Log returns the executions that have ended or were rejected so far, oldest first. Tests compare clients' results with
// it.
func (s *Server) Log() []Execution { return s.log.after(0) }

// ExecutionsOf returns the executions of an original prompt, including running ones.
func (s *Server) ExecutionsOf(prompt string) []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.log.ofPrompt(prompt)
	for _, running := range s.runningByHandle {
		if running.request.Prompt == prompt {
			found = append(found, running.execution())
		}
	}
	return found
}

// Served returns the name and number of the weight version that the next step uses.
func (s *Server) Served() (version string, number uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	number = s.emulated.Version()
	return s.versions[number], number
}

// FailNextSwap makes the next weight swap fail in the given way.
func (s *Server) FailNextSwap(failure emulator.SwapFailure) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.emulated.FailNextSwap(failure)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) { s.faults.set(faults) }

// stop ends the driver and everything that waits for the server to close.
func (s *Server) stop() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.client.CloseIdleConnections()
	})
}

// elapsed returns the emulated time since the server was created.
func (s *Server) elapsed() time.Duration {
	return time.Duration(float64(time.Since(s.started)) * s.config.TimeScale)
}

// realTime converts an emulated duration to a real one.
func (s *Server) realTime(emulated time.Duration) time.Duration {
	return time.Duration(float64(emulated) / s.config.TimeScale)
}

// Package application is the stand-in of an application replica: the push gateway and the conference
// bridge. It executes every call it accepts, also a second one of the same key, and its log is the truth
// about what ran.
package application

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"math/rand"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
)

// DefaultServiceTime is the median time that an execution takes.
const DefaultServiceTime = 5 * time.Millisecond

// DefaultMaxConcurrent bounds the executions at once.
const DefaultMaxConcurrent = 256

// Config holds a stand-in's settings.
type Config struct {
	// Name appears in reports and answers.
	Name string
	// Listen is IP:port, port 0 allowed; ignored when Listener is set.
	Listen   string
	Listener net.Listener
	// Zone is reported with the load.
	Zone string
	// ServiceTime is the least time of an execution. Default DefaultServiceTime; -1 means none.
	ServiceTime time.Duration
	// ServiceJitter is the mean of an exponential time added to it. Default 0.
	ServiceJitter time.Duration
	// MaxConcurrent bounds the executions at once; one more is refused. Default DefaultMaxConcurrent.
	MaxConcurrent int
	// MaxBody bounds a request's body in bytes. Default endpoint.DefaultMaxBody.
	MaxBody int
	// LoadReportLag is how old a load report is when it is handed out. Default 0.
	LoadReportLag time.Duration
	// Seed draws service times and faults.
	Seed uint64
	// Log is required.
	Log *logrus.Entry
}

// Faults are misbehaviours that a test switches on. Probabilities are per call.
type Faults struct {
	// RefuseProbability answers 503 did-not-run before running.
	RefuseProbability float64 `json:"refuse_probability"`
	// CrashAfterRunProbability cuts the connection after running, before the answer.
	CrashAfterRunProbability float64 `json:"crash_after_run_probability"`
	// CrashBeforeRunProbability cuts the connection before running.
	CrashBeforeRunProbability float64 `json:"crash_before_run_probability"`
	// Stall delays each answer after the run.
	Stall time.Duration `json:"stall_nanos"`
}

// Server is one application stand-in.
type Server struct {
	config   Config
	endpoint *endpoint.Endpoint
	closed   chan struct{}
	closing  sync.Once

	mutex    sync.Mutex // guards what follows
	random   *rand.Rand
	faults   Faults
	running  int
	executed uint64
	log      []Execution
	sequence uint64
	byKey    map[string]int
	leaving  bool
	leftAt   time.Time
	late     LateArrivals
	history  []loadSample
}

// LateArrivals counts the calls that arrived after the leave mark.
type LateArrivals struct {
	Count int           `json:"count"`
	Last  time.Duration `json:"last_nanos"` // longest time after the mark
}

// New binds the listener.
func New(config Config) (*Server, error) {
	if config.Log == nil {
		return nil, trace.BadParameter("application stand-in %q needs a log", config.Name)
	}
	if config.ServiceTime == 0 {
		config.ServiceTime = DefaultServiceTime
	}
	if config.MaxConcurrent == 0 {
		config.MaxConcurrent = DefaultMaxConcurrent
	}
	server := &Server{
		config: config, random: rand.New(rand.NewSource(int64(config.Seed))), byKey: make(map[string]int), closed: make(chan struct{}),
	}
	bound, err := endpoint.New(endpoint.Config{
		Listen: config.Listen, Listener: config.Listener, Handler: server.handle, StreamBody: true, MaxBody: config.MaxBody, Log: config.Log,
	})
	if err != nil {
		return nil, err
	}
	server.endpoint = bound
	return server, nil
}

// Address is the bound IP:port.
func (s *Server) Address() string { return s.endpoint.Address() }

// Name is the configured name.
func (s *Server) Name() string { return s.config.Name }

// Run serves until ctx ends or the server is drained or closed.
func (s *Server) Run(ctx context.Context) error {
	defer s.stop()
	return s.endpoint.Run(ctx)
}

// Drain refuses new work and waits for the requests in flight.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	defer s.stop()
	return s.endpoint.Drain(ctx)
}

// Close ends the stand-in abruptly: every connection is cut.
func (s *Server) Close() error {
	s.stop()
	return s.endpoint.Close()
}

// Crash makes the stand-in behave like a dead process until Restart: connections are cut, executions that
// have begun still count as run.
func (s *Server) Crash() { s.endpoint.SetDown(true) }

// Restart brings a crashed stand-in back on the same address; its log stays, it is the test's truth.
func (s *Server) Restart() {
	s.mutex.Lock()
	s.leaving = false
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

// LateArrivals returns what arrived after the leave mark.
func (s *Server) LateArrivals() LateArrivals {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.late
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Executions returns how often the key ran here.
func (s *Server) Executions(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byKey[key]
}

// Log returns the log's entries so far, oldest first.
func (s *Server) Log() []Execution { return s.logAfter(0) }

func (s *Server) stop() { s.closing.Do(func() { close(s.closed) }) }

// BodyHash is the hash of a call's body in answers and logs.
func BodyHash(body []byte) string { return hexSum(xxhash.Sum64(body)) }

// Checksum is the checksum of the answer to a call: it binds the answer to operation, key and body.
func Checksum(operation, key, bodyHash string) string {
	return hexSum(xxhash.Sum64String(operation + "\n" + key + "\n" + bodyHash))
}

func hexSum(sum uint64) string {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], sum)
	return hex.EncodeToString(bytes[:])
}

// Answer is the body of a successful call.
type Answer struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Replica   string `json:"replica"`
	Execution uint64 `json:"execution"` // the replica's count of executions
	BodyHash  string `json:"body_hash"`
	Checksum  string `json:"checksum"`
}

// Outcome is how a call ended at the replica.
type Outcome string

// The outcomes.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeRefused Outcome = "refused"
	OutcomeDropped Outcome = "dropped" // the connection was cut before running
)

// Execution is one entry of the log.
type Execution struct {
	Sequence   uint64        `json:"sequence"`
	Key        string        `json:"key"`
	RequestID  string        `json:"request_id,omitempty"`
	Operation  string        `json:"operation"`
	BodyHash   string        `json:"body_hash"`
	Arrived    time.Time     `json:"arrived"`
	Started    time.Time     `json:"started"` // zero when it never ran
	Outcome    Outcome       `json:"outcome"`
	AfterLeave time.Duration `json:"after_leave_nanos,omitempty"` // how long after the leave mark it arrived; 0 when before
}

// logLimit bounds the entries that are kept; the counts per key are not bounded by it.
const logLimit = 400000

// record appends to the log. The caller holds the mutex.
func (s *Server) record(entry Execution) {
	s.sequence++
	entry.Sequence = s.sequence
	if len(s.log) >= logLimit {
		s.log = append(s.log[:0], s.log[logLimit/2:]...)
	}
	s.log = append(s.log, entry)
}

func (s *Server) logAfter(sequence uint64) []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []Execution{}
	for _, entry := range s.log {
		if entry.Sequence > sequence {
			found = append(found, entry)
		}
	}
	return found
}

func notFound(ctx *fasthttp.RequestCtx) {
	ctx.Error("no such path", fasthttp.StatusNotFound)
}

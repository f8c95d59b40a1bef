// Package application is the stand-in of an application replica, such as a push gateway or a conference bridge. It
// executes every call that it accepts, including a second one with the same idempotency key, and logs every call, so
// that tests can count how often each key ran.
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

// DefaultServiceTime is the default of Config.ServiceTime.
const DefaultServiceTime = 5 * time.Millisecond

// DefaultMaxConcurrent is the default of Config.MaxConcurrent.
const DefaultMaxConcurrent = 256

// Config holds a stand-in's settings.
type Config struct {
	// Name appears in reports and answers.
	Name string
	// Listen is the IP:port to listen on; port 0 selects a free port. It is ignored if Listener is set.
	Listen   string
	Listener net.Listener
	// Zone is reported with the load.
	Zone string
	// ServiceTime is the minimum duration of an execution. Default DefaultServiceTime; -1 means none.
	ServiceTime time.Duration
	// ServiceJitter is the mean of an exponentially distributed time added to ServiceTime. Default 0.
	ServiceJitter time.Duration
	// MaxConcurrent limits concurrent executions; further calls are rejected. Default DefaultMaxConcurrent.
	MaxConcurrent int
	// MaxBody limits the body of a request, in bytes. Default endpoint.DefaultMaxBody.
	MaxBody int
	// LoadReportLag is the age of a load report when it is served. Default 0.
	LoadReportLag time.Duration
	// Seed seeds the random service times and faults.
	Seed uint64
	// Log is required.
	Log *logrus.Entry
}

// Faults configures the faults that a test injects. Probabilities are per call.
type Faults struct {
	// RefuseProbability is the probability that a call is rejected with 503 and the verdict did-not-run.
	RefuseProbability float64 `json:"refuse_probability"`
	// CrashAfterRunProbability is the probability that the connection is reset after the execution, before the answer.
	CrashAfterRunProbability float64 `json:"crash_after_run_probability"`
	// CrashBeforeRunProbability is the probability that the connection is reset before the execution.
	CrashBeforeRunProbability float64 `json:"crash_before_run_probability"`
	// Stall is added to the duration of each execution.
	Stall time.Duration `json:"stall_nanos"`
}

// Server is one application stand-in.
type Server struct {
	config    Config
	endpoint  *endpoint.Endpoint
	closed    chan struct{}
	closeOnce sync.Once

	mutex           sync.Mutex // guards the fields below
	random          *rand.Rand
	faults          Faults
	running         int
	executed        uint64
	log             []Execution
	sequence        uint64
	executionsByKey map[string]int // executions by idempotency key
	leaving         bool
	leftAt          time.Time
	late            LateArrivals
	loadHistory     []loadSample
}

// LateArrivals counts the calls that arrived after the leave mark.
type LateArrivals struct {
	Count int           `json:"count"`
	Last  time.Duration `json:"last_nanos"` // longest time between the mark and an arrival
}

// New binds the listener. Requests are served once Run is called. It returns an error if the configuration is invalid
// or the address cannot be bound.
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
		config: config, random: rand.New(rand.NewSource(int64(config.Seed))), executionsByKey: make(map[string]int), closed: make(chan struct{}),
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

// Address returns the IP:port that the listener is bound to.
func (s *Server) Address() string { return s.endpoint.Address() }

// Name returns the configured name.
func (s *Server) Name() string { return s.config.Name }

// Run serves requests until ctx ends or the server is drained or closed.
func (s *Server) Run(ctx context.Context) error {
	defer s.stop()
	return s.endpoint.Run(ctx)
}

// Drain rejects new calls and waits until those in flight have ended or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	defer s.stop()
	return s.endpoint.Drain(ctx)
}

// Close stops the stand-in and resets every connection.
func (s *Server) Close() error {
	s.stop()
	return s.endpoint.Close()
}

// Crash makes the stand-in behave like a dead process until Restart. It resets every connection. Executions that have
// begun still count as run.
func (s *Server) Crash() { s.endpoint.SetDown(true) }

// Restart brings a crashed stand-in back on the same address. The log and the counts are kept, because tests compare
// with them.
func (s *Server) Restart() {
	s.mutex.Lock()
	s.leaving = false
	s.mutex.Unlock()
	s.endpoint.SetDown(false)
}

// Leave sets the leave mark. New calls are rejected from then on and counted in LateArrivals.
func (s *Server) Leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leaving {
		s.leaving, s.leftAt = true, time.Now()
	}
}

// LateArrivals returns the counts of calls that arrived after the leave mark.
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

// Executions returns how often the replica executed calls with the idempotency key.
func (s *Server) Executions(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.executionsByKey[key]
}

// Log returns the log entries so far, oldest first.
func (s *Server) Log() []Execution { return s.logAfter(0) }

func (s *Server) stop() { s.closeOnce.Do(func() { close(s.closed) }) }

// BodyHash returns the hash of a call's body as answers and logs show it.
func BodyHash(body []byte) string { return encodeHash(xxhash.Sum64(body)) }

// Checksum returns the checksum of the answer to a call, which binds the answer to operation, key and body.
func Checksum(operation, key, bodyHash string) string {
	return encodeHash(xxhash.Sum64String(operation + "\n" + key + "\n" + bodyHash))
}

// encodeHash returns a hash as 16 hex digits.
func encodeHash(sum uint64) string {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], sum)
	return hex.EncodeToString(bytes[:])
}

// Answer is the body of a successful call.
type Answer struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Replica   string `json:"replica"`
	Execution uint64 `json:"execution"` // number of executions of the replica, including this one
	BodyHash  string `json:"body_hash"`
	Checksum  string `json:"checksum"`
}

// Outcome is the result of a call at the replica.
type Outcome string

// The outcomes.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeRefused Outcome = "refused"
	OutcomeDropped Outcome = "dropped" // the connection was reset before the execution
)

// Execution is the log entry of one call, whether it was executed, rejected or dropped.
type Execution struct {
	Sequence   uint64        `json:"sequence"`
	Key        string        `json:"key"`
	RequestID  string        `json:"request_id,omitempty"`
	Operation  string        `json:"operation"`
	BodyHash   string        `json:"body_hash"`
	Arrived    time.Time     `json:"arrived"`
	Started    time.Time     `json:"started"` // zero if it never ran
	Outcome    Outcome       `json:"outcome"`
	AfterLeave time.Duration `json:"after_leave_nanos,omitempty"` // time between the leave mark and the arrival; 0 if it arrived before the mark
}

// logLimit is the maximum number of log entries. The older half is dropped when it is reached. The counts per key are
// not affected.
const logLimit = 400000

// record assigns the next sequence number to an entry and appends it to the log. The caller must hold the mutex.
func (s *Server) record(entry Execution) {
	s.sequence++
	entry.Sequence = s.sequence
	if len(s.log) >= logLimit {
		s.log = append(s.log[:0], s.log[logLimit/2:]...)
	}
	s.log = append(s.log, entry)
}

// logAfter returns copies of the log entries with a higher sequence number.
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

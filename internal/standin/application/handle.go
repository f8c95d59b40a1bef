package application

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

const (
	invokePath         = "/v1/invoke/"
	refusalRetry       = time.Second
	loadSampleInterval = 20 * time.Millisecond
)

// LoadReport is the body of GET /v1/load.
type LoadReport struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	AtUnixMillis  int64  `json:"at_unix_millis"` // time of the figures, Config.LoadReportLag before the answer
	Leaving       bool   `json:"leaving"`
	Running       int    `json:"running"`
	MaxConcurrent int    `json:"max_concurrent"`
	Executed      uint64 `json:"executed"`
}

type loadSample struct {
	at     time.Time
	report LoadReport
}

type logAnswer struct {
	Executions []Execution `json:"executions"`
}

// handle routes a request by method and path.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	operation, invoked := strings.CutPrefix(path, invokePath)
	switch {
	case invoked && ctx.IsPost():
		s.invoke(ctx, operation)
	case path == "/v1/load" && ctx.IsGet():
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, s.report(time.Now()))
	case path == "/v1/log" && ctx.IsGet():
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, logAnswer{Executions: s.logAfter(after)})
	case path == "/v1/admin/faults" && ctx.IsPost():
		var faults Faults
		if endpoint.DecodeJSON(ctx, &faults) {
			s.SetFaults(faults)
			endpoint.WriteJSON(ctx, fasthttp.StatusOK, faults)
		}
	case path == "/v1/admin/leave" && ctx.IsPost():
		s.Leave()
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, s.LateArrivals())
	default:
		notFound(ctx)
	}
}

// callPlan holds the random decisions about one call.
type callPlan struct {
	rejection    string // reason to reject the call; empty if it is not rejected
	cutBeforeRun bool
	cutAfterRun  bool
	serviceTime  time.Duration
}

// invoke executes one call of an operation, with the injected faults.
func (s *Server) invoke(ctx *fasthttp.RequestCtx, operation string) {
	arrived := time.Now()
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if (operation != "push" && operation != "join") || key == "" {
		endpoint.WriteError(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_call", "the operation is push or join and needs an Idempotency-Key", 0)
		return
	}
	hash, err := hashBody(ctx)
	if err != nil {
		endpoint.WriteError(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_body", "the body ended early: "+err.Error(), 0)
		return
	}
	entry := Execution{
		Key: key, RequestID: string(ctx.Request.Header.Peek("X-Request-Id")), Operation: operation, BodyHash: hash, Arrived: arrived,
	}
	drawn, execution := s.beginCall(&entry)
	switch {
	case drawn.rejection != "":
		endpoint.WriteError(ctx, fasthttp.StatusServiceUnavailable, verdict.DidNotRun, "refused", drawn.rejection, refusalRetry)
		return
	case drawn.cutBeforeRun:
		endpoint.Cut(ctx.Conn())
		return
	}
	s.sleep(drawn.serviceTime)
	s.endCall()
	if drawn.cutAfterRun {
		endpoint.Cut(ctx.Conn())
		return
	}
	ctx.Response.Header.Set(verdict.Header, verdict.Ran.String())
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, Answer{
		Operation: operation, Key: key, Replica: s.config.Name, Execution: execution, BodyHash: hash,
		Checksum: Checksum(operation, key, hash),
	})
}

// hashBody hashes the body as it arrives, in bounded memory.
func hashBody(ctx *fasthttp.RequestCtx) (string, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return BodyHash(ctx.PostBody()), nil
	}
	digest := xxhash.New()
	read, err := io.Copy(digest, stream)
	if err != nil {
		return "", err
	}
	if announced := int64(ctx.Request.Header.ContentLength()); announced >= 0 && read != announced {
		return "", io.ErrUnexpectedEOF // fasthttp reports no error for a body that ends early
	}
	return encodeHash(digest.Sum64()), nil
}

// beginCall decides whether a call is executed and logs it. A call that is executed counts from then on. The second
// result is the number of executions so far.
func (s *Server) beginCall(entry *Execution) (callPlan, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	drawn := s.draw()
	if s.leaving {
		entry.AfterLeave = max(entry.Arrived.Sub(s.leftAt), 1)
		s.late.Count++
		s.late.Last = max(s.late.Last, entry.AfterLeave)
		drawn.rejection = "the replica is leaving"
	}
	if s.running >= s.config.MaxConcurrent {
		drawn.rejection = "the replica is full"
	}
	switch {
	case drawn.rejection != "":
		entry.Outcome = OutcomeRefused
	case drawn.cutBeforeRun:
		entry.Outcome = OutcomeDropped
	default:
		entry.Outcome, entry.Started = OutcomeRan, time.Now()
		s.running++
		s.executed++
		s.executionsByKey[entry.Key]++
	}
	s.record(*entry)
	return drawn, s.executed
}

// draw selects the service time and faults of a call at random.
func (s *Server) draw() callPlan {
	drawn := callPlan{serviceTime: max(s.config.ServiceTime, 0) + s.faults.Stall}
	if s.config.ServiceJitter > 0 {
		drawn.serviceTime += time.Duration(s.random.ExpFloat64() * float64(s.config.ServiceJitter))
	}
	if s.random.Float64() < s.faults.RefuseProbability {
		drawn.rejection = "the replica refuses work"
	}
	drawn.cutBeforeRun = s.random.Float64() < s.faults.CrashBeforeRunProbability
	drawn.cutAfterRun = s.random.Float64() < s.faults.CrashAfterRunProbability
	return drawn
}

// sleep waits for a duration or until the server stops.
func (s *Server) sleep(duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed:
	}
}

// endCall ends an execution that beginCall admitted.
func (s *Server) endCall() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

// report returns the load as of Config.LoadReportLag ago. Load samples are taken only when reports are requested.
func (s *Server) report(now time.Time) LoadReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := LoadReport{
		Name: s.config.Name, Zone: s.config.Zone, AtUnixMillis: now.UnixMilli(), Leaving: s.leaving, Running: s.running,
		MaxConcurrent: s.config.MaxConcurrent, Executed: s.executed,
	}
	if s.config.LoadReportLag == 0 {
		return current
	}
	if last := len(s.loadHistory) - 1; last < 0 || now.Sub(s.loadHistory[last].at) >= loadSampleInterval {
		s.loadHistory = append(s.loadHistory, loadSample{at: now, report: current})
	}
	for len(s.loadHistory) > 1 && now.Sub(s.loadHistory[1].at) >= s.config.LoadReportLag {
		s.loadHistory = s.loadHistory[1:]
	}
	return s.loadHistory[0].report
}

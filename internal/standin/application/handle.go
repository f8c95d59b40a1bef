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
	AtUnixMillis  int64  `json:"at_unix_millis"` // of the figures, one lag before the answer
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

// plan is what was drawn for one call.
type plan struct {
	refusal     string // reason; empty when it runs
	cutBefore   bool
	cutAfter    bool
	serviceTime time.Duration
}

func (s *Server) invoke(ctx *fasthttp.RequestCtx, operation string) {
	arrived := time.Now()
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if (operation != "push" && operation != "join") || key == "" {
		endpoint.Refuse(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_call", "the operation is push or join and needs an Idempotency-Key", 0)
		return
	}
	hash, err := hashBody(ctx)
	if err != nil {
		endpoint.Refuse(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_body", "the body ended early: "+err.Error(), 0)
		return
	}
	entry := Execution{
		Key: key, RequestID: string(ctx.Request.Header.Peek("X-Request-Id")), Operation: operation, BodyHash: hash, Arrived: arrived,
	}
	drawn, execution := s.begin(&entry)
	switch {
	case drawn.refusal != "":
		endpoint.Refuse(ctx, fasthttp.StatusServiceUnavailable, verdict.DidNotRun, "refused", drawn.refusal, refusalRetry)
		return
	case drawn.cutBefore:
		endpoint.Cut(ctx.Conn())
		return
	}
	s.sleep(drawn.serviceTime)
	s.end()
	if drawn.cutAfter {
		endpoint.Cut(ctx.Conn())
		return
	}
	ctx.Response.Header.Set(verdict.Header, verdict.Ran.String())
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, Answer{
		Operation: operation, Key: key, Replica: s.config.Name, Execution: execution, BodyHash: hash,
		Checksum: Checksum(operation, key, hash),
	})
}

// hashBody reads the body as a stream, in bounded memory.
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
		return "", io.ErrUnexpectedEOF // the HTTP library takes a cut body for a whole one
	}
	return hexSum(digest.Sum64()), nil
}

// begin decides a call's fate and logs it; an execution counts from here on.
func (s *Server) begin(entry *Execution) (plan, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	drawn := s.draw()
	if s.leaving {
		entry.AfterLeave = max(entry.Arrived.Sub(s.leftAt), 1)
		s.late.Count++
		s.late.Last = max(s.late.Last, entry.AfterLeave)
		drawn.refusal = "the replica is leaving"
	}
	if s.running >= s.config.MaxConcurrent {
		drawn.refusal = "the replica is full"
	}
	switch {
	case drawn.refusal != "":
		entry.Outcome = OutcomeRefused
	case drawn.cutBefore:
		entry.Outcome = OutcomeDropped
	default:
		entry.Outcome, entry.Started = OutcomeRan, time.Now()
		s.running++
		s.executed++
		s.byKey[entry.Key]++
	}
	s.record(*entry)
	return drawn, s.executed
}

func (s *Server) draw() plan {
	drawn := plan{serviceTime: max(s.config.ServiceTime, 0) + s.faults.Stall}
	if s.config.ServiceJitter > 0 {
		drawn.serviceTime += time.Duration(s.random.ExpFloat64() * float64(s.config.ServiceJitter))
	}
	if s.random.Float64() < s.faults.RefuseProbability {
		drawn.refusal = "the replica refuses work"
	}
	drawn.cutBefore = s.random.Float64() < s.faults.CrashBeforeRunProbability
	drawn.cutAfter = s.random.Float64() < s.faults.CrashAfterRunProbability
	return drawn
}

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

func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

// report is the load as of one lag ago; samples are taken when reports are asked for.
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
	if last := len(s.history) - 1; last < 0 || now.Sub(s.history[last].at) >= loadSampleInterval {
		s.history = append(s.history, loadSample{at: now, report: current})
	}
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.config.LoadReportLag {
		s.history = s.history[1:]
	}
	return s.history[0].report
}

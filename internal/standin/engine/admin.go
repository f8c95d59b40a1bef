package engine

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	emulator "github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// LoadReport is the body of GET /v1/load.
type LoadReport struct {
	Name          string  `json:"name"`
	Zone          string  `json:"zone"`
	AtUnixMillis  int64   `json:"at_unix_millis"` // time of the figures, Config.LoadReportLag before the answer
	Leaving       bool    `json:"leaving"`
	Refusing      bool    `json:"refusing"`
	Role          string  `json:"role"`
	Adapter       string  `json:"adapter,omitempty"`
	WeightVersion string  `json:"weight_version"`
	VersionNumber uint64  `json:"version_number"`
	StagedNumber  uint64  `json:"staged_number"`
	Fence         uint64  `json:"fence"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int     `json:"waiting_tokens"`
	MaxBatch      int     `json:"max_batch"`
	BlocksHeld    int     `json:"kv_blocks_held"`
	BlocksCached  int     `json:"kv_blocks_cached"`
	BlocksTotal   int     `json:"kv_blocks_total"`
	BlockTokens   int     `json:"block_tokens"`
	StepMillis    float64 `json:"step_millis"` // duration of the last step in real time
	Steps         uint64  `json:"steps"`
	Tokens        uint64  `json:"tokens"`
	PrefixHits    uint64  `json:"prefix_hit_tokens"`
	Preemptions   uint64  `json:"preemptions"`
}

// BriefLoadReport is the body of GET /v1/load?brief=true. It holds the fields that gateways and coordinators read.
type BriefLoadReport struct {
	Leaving       bool   `json:"leaving"`
	Refusing      bool   `json:"refusing"`
	WeightVersion string `json:"weight_version"`
	VersionNumber uint64 `json:"version_number"`
	StagedNumber  uint64 `json:"staged_number"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
}

// Brief returns the report without the fields that only people and tools read.
func (r LoadReport) Brief() BriefLoadReport {
	return BriefLoadReport{Leaving: r.Leaving, Refusing: r.Refusing, WeightVersion: r.WeightVersion, VersionNumber: r.VersionNumber,
		StagedNumber: r.StagedNumber, Running: r.Running, Waiting: r.Waiting}
}

// WriteLoad answers GET /v1/load with the report, or its brief form if the query asks for it.
func WriteLoad(ctx *fasthttp.RequestCtx, report LoadReport) {
	if ctx.QueryArgs().GetBool("brief") {
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, report.Brief())
		return
	}
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, report)
}

// report returns the load report, which lags by Config.LoadReportLag.
func (s *Server) report() LoadReport {
	load, at := s.reportedLoad()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return LoadReport{
		Name: s.config.Name, Zone: s.config.Zone, AtUnixMillis: at.UnixMilli(), Leaving: s.leaving, Refusing: load.Refusing,
		Role: s.role, Adapter: s.adapter, WeightVersion: s.versions[load.Version], VersionNumber: load.Version,
		StagedNumber: load.Staged, Fence: load.Fence, Running: load.Running, Waiting: load.Waiting,
		WaitingTokens: load.WaitingTokens, MaxBatch: load.MaxBatch, BlocksHeld: load.BlocksHeld,
		BlocksCached: load.BlocksCached, BlocksTotal: load.BlocksTotal, BlockTokens: s.config.Parameters.BlockTokens,
		StepMillis: s.realTime(load.StepTime).Seconds() * 1000, Steps: load.Steps, Tokens: load.Tokens,
		PrefixHits: load.PrefixHits, Preemptions: load.Preemptions,
	}
}

// weightsOrder is the body of POST /v1/admin/weights.
type weightsOrder struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
	Fence         uint64 `json:"fence"`
	Stage         bool   `json:"stage"` // only stage the version; a later order with stage false swaps it in
}

// weightsAnswer is the answer to a weight order: the version served and whether another one is staged.
type weightsAnswer struct {
	WeightVersion string `json:"weight_version"`
	VersionNumber uint64 `json:"version_number"`
	Staged        bool   `json:"staged"`
	Swapped       bool   `json:"swapped"`
}

// orderOutcome is the result of a swap for a weight order that waits for it.
type orderOutcome uint8

const (
	orderSwapped orderOutcome = iota + 1
	orderFailed
	orderSuperseded // a newer version was swapped in
)

// weightOrder is an order that waits for the swap to its version.
type weightOrder struct {
	number uint64            // version number
	done   chan orderOutcome // receives the outcome once
}

func (s *Server) handleWeights(ctx *fasthttp.RequestCtx) {
	var order weightsOrder
	if !endpoint.DecodeJSON(ctx, &order) {
		return
	}
	if order.Version == "" || order.Fence == 0 {
		endpoint.WriteError(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_order", "version, version_number and fence are required", 0)
		return
	}
	s.mutex.Lock()
	err := s.emulated.CheckOrder(order.VersionNumber, order.Fence)
	known := s.fetchedVersions[order.VersionNumber] || s.config.WeightStore == ""
	s.mutex.Unlock()
	if err != nil {
		rejectStale(ctx)
		return
	}
	if !known && !s.fetch(ctx, order) {
		return
	}
	s.executeOrder(ctx, order)
}

// rejectStale answers an order with a stale fencing token.
func rejectStale(ctx *fasthttp.RequestCtx) {
	endpoint.WriteError(ctx, fasthttp.StatusConflict, verdict.DidNotRun, "stale_fence", emulator.ErrStaleFence.Error(), 0)
}

// fetch loads a version's data from the weight store. If that fails, it answers with the error and returns false.
func (s *Server) fetch(ctx *fasthttp.RequestCtx, order weightsOrder) bool {
	response, err := s.client.Get("http://" + s.config.WeightStore + "/v1/versions/" + url.PathEscape(order.Version))
	if err != nil {
		endpoint.WriteError(ctx, fasthttp.StatusBadGateway, verdict.DidNotRun, "weight_store", "weight store: "+err.Error(), 0)
		return false
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		s.mutex.Lock()
		s.fetchedVersions[order.VersionNumber] = true
		s.mutex.Unlock()
		return true
	case http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		wait := max(time.Duration(seconds)*time.Second, time.Second)
		endpoint.WriteError(ctx, fasthttp.StatusTooManyRequests, verdict.DidNotRun, "throttled", "the weight store throttles", wait)
	case http.StatusNotFound:
		endpoint.WriteError(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "unknown_version", "the weight store has no such version", 0)
	default:
		endpoint.WriteError(ctx, fasthttp.StatusBadGateway, verdict.DidNotRun, "weight_store", "the weight store answered "+response.Status, 0)
	}
	return false
}

// executeOrder passes the order to the emulator and, for a swap, waits for the outcome.
func (s *Server) executeOrder(ctx *fasthttp.RequestCtx, order weightsOrder) {
	waiting, err := s.submitOrder(order)
	if err != nil {
		rejectStale(ctx)
		return
	}
	s.wakeDriver()
	if waiting == nil {
		s.answerWeights(ctx, fasthttp.StatusOK)
		return
	}
	timeout := time.NewTimer(defaultOrderTimeout)
	defer timeout.Stop()
	select {
	case outcome := <-waiting.done:
		s.answerOrder(ctx, outcome)
	case <-timeout.C:
		endpoint.WriteError(ctx, fasthttp.StatusGatewayTimeout, verdict.MayHaveRun, "swap_slow", "the swap is not done yet", 0)
	}
}

// submitOrder passes the order to the emulator. It returns nil without an error if there is no swap to wait for.
func (s *Server) submitOrder(order weightsOrder) (*weightOrder, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.versions[order.VersionNumber] = order.Version
	if order.Stage {
		return nil, s.emulated.StageWeights(s.elapsed(), order.VersionNumber, order.Fence)
	}
	if err := s.emulated.SwapWeights(s.elapsed(), order.VersionNumber, order.Fence); err != nil {
		return nil, err
	}
	load := s.emulated.Load(s.elapsed())
	if load.Version == order.VersionNumber && !load.Refusing && load.Staged == 0 {
		return nil, nil
	}
	waiting := &weightOrder{number: order.VersionNumber, done: make(chan orderOutcome, 1)}
	s.orders = append(s.orders, waiting)
	return waiting, nil
}

func (s *Server) answerOrder(ctx *fasthttp.RequestCtx, outcome orderOutcome) {
	switch outcome {
	case orderSwapped:
		s.answerWeights(ctx, fasthttp.StatusOK)
	case orderSuperseded:
		endpoint.WriteError(ctx, fasthttp.StatusConflict, verdict.DidNotRun, "superseded", "another version was ordered meanwhile", 0)
	default:
		endpoint.WriteError(ctx, fasthttp.StatusInternalServerError, verdict.MayHaveRun, "swap_failed", "the weight swap failed; see /v1/load for what is served", 0)
	}
}

func (s *Server) answerWeights(ctx *fasthttp.RequestCtx, status int) {
	s.mutex.Lock()
	load := s.emulated.Load(s.elapsed())
	answer := weightsAnswer{
		WeightVersion: s.versions[load.Version], VersionNumber: load.Version, Staged: load.Staged != 0, Swapped: load.Staged == 0,
	}
	s.mutex.Unlock()
	endpoint.WriteJSON(ctx, status, answer)
}

// resolveOrders sends their outcome to the waiting orders that a finished or failed swap decides. The caller must hold
// the mutex.
func (s *Server) resolveOrders(event emulator.Event) {
	remaining := s.orders[:0]
	for _, order := range s.orders {
		switch {
		case order.number != event.Version && event.Kind == emulator.EventSwapFailed:
			remaining = append(remaining, order)
		case order.number > event.Version:
			remaining = append(remaining, order)
		case order.number < event.Version:
			order.done <- orderSuperseded
		case event.Kind == emulator.EventSwapped:
			order.done <- orderSwapped
		default:
			order.done <- orderFailed
		}
	}
	s.orders = remaining
}

// failOrders fails every waiting order. The caller must hold the mutex.
func (s *Server) failOrders() {
	for _, order := range s.orders {
		order.done <- orderFailed
	}
	s.orders = nil
}

// fencedOrder is the body of POST /v1/admin/adapter and /v1/admin/role.
type fencedOrder struct {
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Fence   uint64 `json:"fence"`
}

func (s *Server) handleAdapter(ctx *fasthttp.RequestCtx) {
	s.handleFenced(ctx, func(order fencedOrder) { s.adapter = order.Adapter })
}

func (s *Server) handleRole(ctx *fasthttp.RequestCtx) {
	s.handleFenced(ctx, func(order fencedOrder) { s.role = order.Role })
}

// handleFenced applies change unless the order's fencing token is stale, and answers with the load report.
func (s *Server) handleFenced(ctx *fasthttp.RequestCtx, change func(fencedOrder)) {
	var order fencedOrder
	if !endpoint.DecodeJSON(ctx, &order) {
		return
	}
	s.mutex.Lock()
	err := s.emulated.RaiseFence(order.Fence)
	if err == nil {
		change(order)
	}
	s.mutex.Unlock()
	if err != nil {
		rejectStale(ctx)
		return
	}
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, s.report())
}

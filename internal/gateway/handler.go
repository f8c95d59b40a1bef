package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/metrics"
	"github.com/tamarindring/tamarindring/internal/recovery"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// handle answers one HTTP request of a caller or an operator. A request whose work panics may have run.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	err := recovery.Do(s.config.Log, string(ctx.Request.Header.Peek(HeaderRequestID)), "request", func() { s.route(ctx) })
	if err != nil {
		ctx.Response.Reset()
		ctx.SetConnectionClose()
		outcome := dispatch.Outcome{Status: http.StatusBadGateway, Verdict: verdict.MayHaveRun, Code: CodeInternal, Reason: "the gateway failed"}
		ctx.Response.Header.Set(verdict.Header, outcome.Verdict.String())
		ctx.SetStatusCode(outcome.Status)
		writeJSON(ctx, errorBodyOf(&outcome))
	}
}

// route passes a request to the handler of its method and path.
func (s *Server) route(ctx *fasthttp.RequestCtx) {
	if !s.authorize(ctx) {
		return
	}
	if ctx.IsPost() {
		s.handleCall(ctx)
		return
	}
	if !ctx.IsGet() {
		writeRefusal(ctx, http.StatusMethodNotAllowed, "bad_method", "use POST for requests and GET for status")
		return
	}
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		metrics.WriteReady(ctx, s.Ready(context.Background()))
	case "/metrics":
		s.metricsHandler(ctx)
	case "/v1/models":
		s.handleModels(ctx)
	case "/v1/log":
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		writeJSON(ctx, logAnswer{Dispatches: s.dispatchLog.entriesAfter(after)})
	default:
		writeRefusal(ctx, http.StatusNotFound, "not_found", "no such path")
	}
}

type logAnswer struct {
	Dispatches []Dispatch `json:"dispatches"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the model pools in the form of OpenAI's GET /v1/models.
func (s *Server) handleModels(ctx *fasthttp.RequestCtx) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, row := range s.config.Control.View().Pools() {
		if row.Service == table.Engine && row.State != table.Removed {
			list.Data = append(list.Data, modelEntry{ID: row.Name, Object: "model", OwnedBy: "tamarindring"})
		}
	}
	writeJSON(ctx, list)
}

// handleMalformed answers input that fasthttp could not read as a request: invalid HTTP, headers that are too large
// and senders that are too slow.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	status := http.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	}
	ctx.SetConnectionClose()
	writeRefusal(ctx, status, CodeMalformed, "the request could not be read: "+err.Error())
}

// handleCall processes one request until its answer is written, or until its stream is open.
func (s *Server) handleCall(ctx *fasthttp.RequestCtx) {
	c, err := s.readCall(ctx)
	s.inFlight.Add(1)
	// Read after inFlight was incremented, so that Drain waits for every request that reads false.
	draining := s.draining.Load()
	if draining {
		s.inFlight.Add(-1)
	}
	if errors.Is(err, errBodyBroken) {
		s.memory.release(c.reservedBytes)
		if !draining {
			s.inFlight.Add(-1)
		}
		ctx.SetConnectionClose()
		writeRefusal(ctx, http.StatusBadRequest, codeBodyIncomplete, err.Error())
		return
	}
	x := s.newExchange(ctx, c, s.pool(c.pool))
	x.arrivedDraining = draining
	if refusal := s.checkCall(x, err); refusal != nil {
		x.queueEvent(*refusal)
	} else {
		x.queueEvent(dispatch.Event{Kind: dispatch.Arrived})
	}
	x.drive()
	if x.answered {
		x.writeOutcome()
		x.finishExchange()
		if x.bodyUnread {
			s.answerAndDiscardBody(ctx)
			return
		}
		_ = ctx.Conn().SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
		return
	}
	x.startStream()
}

// checkCall returns the event that refuses a request before any work is done for it, or nil if the request may
// proceed. err is the error of reading the call.
func (s *Server) checkCall(x *exchange, err error) *dispatch.Event {
	var rejected *callError
	switch {
	case errors.As(err, &rejected):
		if x.call.remainder != nil || (len(x.call.body) == 0 && x.call.bodyLength != 0) {
			x.bodyUnread = true
		}
		event := &dispatch.Event{Kind: dispatch.Refused, Status: rejected.status, Code: rejected.code, Reason: rejected.reason}
		if rejected.status == http.StatusServiceUnavailable {
			event.RetryAfter = defaultShutdownRetry
		}
		return event
	case x.arrivedDraining:
		return &dispatch.Event{Kind: dispatch.Refused, Status: http.StatusServiceUnavailable, Code: CodeDraining,
			Reason: "this gateway is stopping; use another one", RetryAfter: defaultShutdownRetry}
	case x.pool == nil || x.pool.tableRow().Service != x.call.service || x.pool.tableRow().State == table.Removed:
		return &dispatch.Event{Kind: dispatch.Refused, Status: http.StatusNotFound, Code: CodeUnknownPool,
			Reason: "the table has no pool " + strconv.Quote(x.call.pool) + " for this path"}
	case x.machine.Request().Key != "" && s.settlements.Load() >= int64(s.config.MaxSettlements):
		return &dispatch.Event{Kind: dispatch.Refused, Status: http.StatusServiceUnavailable, Code: CodeOverloaded,
			Reason: "too many ended requests wait for the ledger", RetryAfter: defaultShutdownRetry}
	}
	return nil
}

// startStream opens a streamed answer. fasthttp reads its body from the exchange.
func (x *exchange) startStream() {
	x.stream.opened = true
	x.writeHeaders()
	ctx := x.caller
	ctx.SetStatusCode(http.StatusOK)
	ctx.SetContentType(eventStreamType)
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(x, -1)
}

// finishExchange releases what the request holds, and records it in metrics and log, once its caller has been
// answered.
func (x *exchange) finishExchange() {
	x.dropUpstream()
	x.releaseBackend(outcomeNeutral)
	x.server.metrics.recordRequest(x, x.server.now()-x.arrived)
	x.logOutcome(x.server.now() - x.arrived)
	x.server.memory.release(x.call.reservedBytes + x.stream.reservedBytes)
	x.call.body = nil // ledger commands that are still pending need only its digest
	if !x.arrivedDraining {
		x.server.inFlight.Add(-1)
	}
}

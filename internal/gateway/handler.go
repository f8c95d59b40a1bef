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
	"github.com/tamarindring/tamarindring/internal/table"
)

// handle routes one request of a caller or an operator.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.admitToken(ctx) {
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
		s.scrape(ctx)
	case "/v1/models":
		s.handleModels(ctx)
	case "/v1/log":
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		writeJSON(ctx, logAnswer{Dispatches: s.log.after(after)})
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

// handleModels lists the model pools, as OpenAI clients ask for them.
func (s *Server) handleModels(ctx *fasthttp.RequestCtx) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, row := range s.config.Control.View().Pools() {
		if row.Service == table.Engine && row.State != table.Removed {
			list.Data = append(list.Data, modelEntry{ID: row.Name, Object: "model", OwnedBy: "tamarindring"})
		}
	}
	writeJSON(ctx, list)
}

// handleMalformed answers bytes that are no HTTP request, too large headers and slow senders.
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

// handleCall runs one request's life up to its answer, or up to the opened stream.
func (s *Server) handleCall(ctx *fasthttp.RequestCtx) {
	c, err := s.readCall(ctx)
	s.inFlight.Add(1)
	draining := s.draining.Load() // after the count: Drain sees every request that did not see it
	if draining {
		s.inFlight.Add(-1)
	}
	if errors.Is(err, errBodyBroken) {
		s.memory.give(c.reserved)
		if !draining {
			s.inFlight.Add(-1)
		}
		ctx.SetConnectionClose()
		writeRefusal(ctx, http.StatusBadRequest, codeBodyIncomplete, err.Error())
		return
	}
	x := s.newExchange(ctx, c, s.pool(c.pool))
	x.late = draining
	if refusal := s.refusal(x, err); refusal != nil {
		x.feed(*refusal)
	} else {
		x.feed(dispatch.Event{Kind: dispatch.Arrived})
	}
	x.drive()
	if x.answered {
		x.writeOutcome()
		x.finishExchange()
		if x.unread {
			s.linger(ctx)
			return
		}
		_ = ctx.Conn().SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
		return
	}
	x.startStream()
}

// refusal returns the event that refuses a request before anything is done with it, or nil.
func (s *Server) refusal(x *exchange, err error) *dispatch.Event {
	var wrong *badCall
	switch {
	case errors.As(err, &wrong):
		if x.call.rest != nil || (len(x.call.body) == 0 && x.call.bodyLength != 0) {
			x.unread = true
		}
		event := &dispatch.Event{Kind: dispatch.Refused, Status: wrong.status, Code: wrong.code, Reason: wrong.reason}
		if wrong.status == http.StatusServiceUnavailable {
			event.RetryAfter = defaultShutdownRetry
		}
		return event
	case x.late:
		return &dispatch.Event{Kind: dispatch.Refused, Status: http.StatusServiceUnavailable, Code: CodeDraining,
			Reason: "this gateway is stopping; use another one", RetryAfter: defaultShutdownRetry}
	case x.pool == nil || x.pool.settings().Service != x.call.service || x.pool.settings().State == table.Removed:
		return &dispatch.Event{Kind: dispatch.Refused, Status: http.StatusNotFound, Code: CodeUnknownPool,
			Reason: "the table has no pool " + strconv.Quote(x.call.pool) + " for this path"}
	case x.machine.Request().Key != "" && s.settlements.Load() >= int64(s.config.MaxSettlements):
		return &dispatch.Event{Kind: dispatch.Refused, Status: http.StatusServiceUnavailable, Code: CodeOverloaded,
			Reason: "too many ended requests wait for the ledger", RetryAfter: defaultShutdownRetry}
	}
	return nil
}

// startStream hands the rest of the answer to the HTTP library, which reads it from the exchange.
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

// finishExchange ends the caller's part of a request.
func (x *exchange) finishExchange() {
	x.dropUpstream()
	x.leaveBackend(outcomeNeutral)
	x.server.counts.count(x, x.server.now()-x.arrived)
	x.logEnd(x.server.now() - x.arrived)
	x.server.memory.give(x.call.reserved + x.stream.reserved)
	x.call.body = nil // what waits for the ledger needs only its digest
	if !x.late {
		x.server.inFlight.Add(-1)
	}
}

package engine

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

const streamsPath = "/v1/streams/"

// handle routes a request by method and path.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if ctx.IsGet() {
		s.handleGet(ctx, path)
		return
	}
	if !ctx.IsPost() {
		endpoint.WriteError(ctx, fasthttp.StatusMethodNotAllowed, verdict.DidNotRun, "bad_method", "use GET or POST", 0)
		return
	}
	switch path {
	case "/v1/completions":
		s.handleCompletion(ctx, false)
	case "/v1/chat/completions":
		s.handleCompletion(ctx, true)
	case "/v1/kv/export":
		s.handleExport(ctx)
	case "/v1/kv/import":
		s.handleImport(ctx)
	case "/v1/admin/weights":
		s.handleWeights(ctx)
	case "/v1/admin/adapter":
		s.handleAdapter(ctx)
	case "/v1/admin/role":
		s.handleRole(ctx)
	case "/v1/admin/faults":
		s.handleFaults(ctx)
	case "/v1/admin/leave":
		s.Leave()
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, leaveAnswer{Leaving: true})
	default:
		s.handleStream(ctx, path)
	}
}

func (s *Server) handleGet(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/v1/load":
		WriteLoad(ctx, s.report())
	case "/v1/cache_events":
		s.handleCacheEvents(ctx)
	case "/v1/models":
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, modelList{Object: "list", Data: []modelEntry{{ID: s.config.Name, Object: "model"}}})
	case "/v1/log":
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, logAnswer{Executions: s.log.after(after)})
	default:
		notFound(ctx)
	}
}

// handleFaults replaces the injected faults. Tests use it for stand-ins that run as processes of their own.
func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if !endpoint.DecodeJSON(ctx, &faults) {
		return
	}
	s.SetFaults(faults)
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, faults)
}

type leaveAnswer struct {
	Leaving bool `json:"leaving"`
}

type logAnswer struct {
	Executions []Execution `json:"executions"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func notFound(ctx *fasthttp.RequestCtx) {
	endpoint.WriteError(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "not_found", "no such path", 0)
}

// handleStream serves /v1/streams/{request_id}/resume and /cancel.
func (s *Server) handleStream(ctx *fasthttp.RequestCtx, path string) {
	rest, ok := strings.CutPrefix(path, streamsPath)
	slash := strings.LastIndexByte(rest, '/')
	if !ok || slash <= 0 {
		notFound(ctx)
		return
	}
	requestID, action := rest[:slash], rest[slash+1:]
	s.mutex.Lock()
	found := s.streams[requestID]
	s.mutex.Unlock()
	if found == nil {
		endpoint.WriteError(ctx, fasthttp.StatusNotFound, verdict.MayHaveRun, "unknown_stream", "no stream of this request is kept", 0)
		return
	}
	switch action {
	case "resume":
		s.resume(ctx, found)
	case "cancel":
		s.cancel(found)
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, s.cancelAnswer(found))
	default:
		notFound(ctx)
	}
}

// cancelledStream is the answer to the cancellation of a stream. Outcome differs from cancelled if it had ended before.
type cancelledStream struct {
	RequestID string    `json:"request_id"`
	Outcome   Outcome   `json:"outcome"`
	Tokens    int       `json:"tokens"` // of the whole answer, including the prefix
	Segments  []Segment `json:"segments"`
}

func (s *Server) cancelAnswer(cancelled *stream) cancelledStream {
	entry := cancelled.execution()
	return cancelledStream{RequestID: entry.RequestID, Outcome: entry.Outcome, Tokens: entry.Tokens, Segments: entry.Segments}
}

// cancel cancels a stream that is still running.
func (s *Server) cancel(running *stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runningByHandle[running.handle] != running {
		return
	}
	_ = s.emulated.Cancel(s.elapsed(), running.handle)
	s.endStream(running, OutcomeCancelled)
}

// resume streams the answer of an existing stream, beginning with the token given in the query parameter from.
func (s *Server) resume(ctx *fasthttp.RequestCtx, found *stream) {
	from, err := strconv.Atoi(string(ctx.QueryArgs().Peek("from")))
	if err != nil || from < found.prefixTokens || from > found.totalTokens {
		endpoint.WriteError(ctx, fasthttp.StatusBadRequest, verdict.MayHaveRun, "bad_from",
			"from must be a token between "+strconv.Itoa(found.prefixTokens)+" and "+strconv.Itoa(found.totalTokens), 0)
		return
	}
	s.serveStream(ctx, found, from)
}

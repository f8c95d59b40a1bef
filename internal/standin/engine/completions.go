package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	emulator "github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/engine/text"
	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// overloadRetry is the Retry-After of an engine that rejects a request it may accept later.
const overloadRetry = time.Second

// completionRequest is the body of POST /v1/completions and /v1/chat/completions.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []text.Message  `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Seed                uint64          `json:"seed"`
	N                   int             `json:"n"`
	Priority            int             `json:"priority"`
	RequestID           string          `json:"request_id"`
	PrefixTokens        int             `json:"prefix_tokens"`
	KVImport            string          `json:"kv_import"`
}

// handleCompletion serves both completion endpoints, with and without streaming.
func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx, chat bool) {
	var body completionRequest
	if !endpoint.DecodeJSON(ctx, &body) {
		return
	}
	prepared, problem := parseCompletion(&body, chat)
	if problem != "" {
		endpoint.WriteError(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_request", problem, 0)
		return
	}
	prepared.idempotencyKey = string(ctx.Request.Header.Peek("Idempotency-Key"))
	if prepared.requestID == "" {
		prepared.requestID = string(ctx.Request.Header.Peek("X-Request-Id"))
	}
	if !s.submit(ctx, prepared, &body) {
		return
	}
	if body.Stream {
		s.serveStream(ctx, prepared, prepared.prefixTokens)
		return
	}
	s.serveUnstreamed(ctx, prepared)
}

// parseCompletion validates a request body. It returns a stream that is not submitted yet, or a description of what is
// wrong with the body.
func parseCompletion(body *completionRequest, chat bool) (*stream, string) {
	if body.N > 1 {
		return nil, "n must be 1"
	}
	if body.PrefixTokens < 0 || body.MaxTokens < 0 || body.MaxCompletionTokens < 0 {
		return nil, "prefix_tokens and max_tokens must not be negative"
	}
	prompt, problem := parsePrompt(body, chat)
	if problem != "" {
		return nil, problem
	}
	original, generated, err := text.SplitContinuation(prompt, body.PrefixTokens)
	if err != nil {
		return nil, err.Error()
	}
	prepared := &stream{
		requestID: body.RequestID, model: body.Model, chat: chat, continuation: generated, prefixTokens: body.PrefixTokens,
		request: text.Request{Prompt: original, Seed: body.Seed, MaxTokens: max(body.MaxTokens, body.MaxCompletionTokens)},
		tokens:  body.PrefixTokens, outcome: OutcomeRunning, done: make(chan struct{}),
	}
	prepared.changed.L = &prepared.mutex
	prepared.totalTokens, prepared.truncated = prepared.request.Length()
	return prepared, ""
}

// parsePrompt returns the prompt of a request body, or a description of what is wrong with it.
func parsePrompt(body *completionRequest, chat bool) (prompt, problem string) {
	if chat {
		if len(body.Messages) == 0 {
			return "", "messages is missing"
		}
		prompt, err := text.RenderChat(body.Messages, body.PrefixTokens > 0)
		if err != nil {
			return "", err.Error()
		}
		return prompt, ""
	}
	if json.Unmarshal(body.Prompt, &prompt) == nil {
		return prompt, ""
	}
	var list []string
	if json.Unmarshal(body.Prompt, &list) == nil && len(list) == 1 {
		return list[0], ""
	}
	return "", "prompt must be one string"
}

// submit submits a stream to the emulator, or answers with the rejection and returns false.
func (s *Server) submit(ctx *fasthttp.RequestCtx, prepared *stream, body *completionRequest) bool {
	tokens, prefix := text.PrefixHashes(prepared.request.Prompt+prepared.continuation, s.config.Parameters.BlockTokens)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prepared.arrived, prepared.unreadSince = time.Now(), time.Now()
	s.lastHandle++
	prepared.handle = s.lastHandle
	if prepared.requestID == "" {
		prepared.requestID = s.config.Name + "-" + strconv.FormatUint(prepared.handle, 10)
	}
	if s.leaving {
		prepared.afterLeave = max(prepared.arrived.Sub(s.leftAt), 1)
		s.reject(ctx, prepared, "leaving", "the engine is leaving", 0)
		return false
	}
	if s.faults.refusesAll() {
		s.reject(ctx, prepared, "refused", "the engine refuses work", overloadRetry)
		return false
	}
	if live := s.streams[prepared.requestID]; live != nil && s.runningByHandle[live.handle] == live {
		endpoint.WriteError(ctx, fasthttp.StatusConflict, verdict.DidNotRun, "duplicate_request", "a request of this identity is running", 0)
		return false
	}
	imported := s.imports.take(body.KVImport)
	if prepared.prefixTokens < prepared.totalTokens {
		err := s.emulated.Submit(s.elapsed(), emulator.Request{
			ID: prepared.handle, Priority: body.Priority, PromptTokens: max(tokens, 1), Prefix: prefix,
			OutputTokens: prepared.totalTokens - prepared.prefixTokens, ImportedTokens: imported,
		})
		if err != nil {
			s.rejectSubmit(ctx, prepared, err)
			return false
		}
		s.runningByHandle[prepared.handle] = prepared
	}
	s.streams[prepared.requestID] = prepared
	if prepared.prefixTokens >= prepared.totalTokens {
		s.endStream(prepared, OutcomeFinished)
	}
	s.wakeDriver()
	return true
}

// rejectSubmit answers a request that the emulator rejected.
func (s *Server) rejectSubmit(ctx *fasthttp.RequestCtx, prepared *stream, err error) {
	if errors.Is(err, emulator.ErrTooLarge) {
		endpoint.WriteError(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "too_large", err.Error(), 0)
		return
	}
	s.reject(ctx, prepared, "unavailable", err.Error(), overloadRetry)
}

// reject answers 503 with the verdict did-not-run and logs the rejected request. The caller must hold the mutex.
func (s *Server) reject(ctx *fasthttp.RequestCtx, prepared *stream, code, message string, retryAfter time.Duration) {
	entry := prepared.execution()
	entry.Outcome, entry.Ended = OutcomeRefused, prepared.arrived
	s.log.record(entry)
	endpoint.WriteError(ctx, fasthttp.StatusServiceUnavailable, verdict.DidNotRun, code, message, retryAfter)
}

// serveUnstreamed waits for the end of a stream and answers with the whole text.
func (s *Server) serveUnstreamed(ctx *fasthttp.RequestCtx, running *stream) {
	running.attach()
	defer running.detach()
	last := running.awaitEnd()
	switch last.outcome {
	case OutcomeFinished:
		ctx.SetContentType("application/json")
		ctx.SetBody(encodeWholeAnswer(running, last.tokens))
	case OutcomeCrashed:
		endpoint.Cut(ctx.Conn())
	default:
		endpoint.WriteError(ctx, fasthttp.StatusInternalServerError, verdict.MayHaveRun, string(last.outcome), "the request was "+string(last.outcome), 0)
	}
}

// serveStream answers with server-sent events, beginning with token from.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, running *stream, from int) {
	drawn := s.faults.draw(running.totalTokens - from)
	drawn.serverClosed = s.closed
	connection := ctx.Conn()
	running.attach()
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer running.detach()
		events := newStreamWriter(running, writer, from, drawn)
		if !events.run() && !drawn.cutCleanly {
			endpoint.Cut(connection)
		}
	})
}

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

// overloadRetry is what an overloaded engine tells its clients to wait.
const overloadRetry = time.Second

// completionRequest is the body of both completion calls.
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

func (s *Server) handleCompletion(ctx *fasthttp.RequestCtx, chat bool) {
	var body completionRequest
	if !endpoint.DecodeJSON(ctx, &body) {
		return
	}
	prepared, problem := prepare(&body, chat)
	if problem != "" {
		endpoint.Refuse(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_request", problem, 0)
		return
	}
	prepared.key = string(ctx.Request.Header.Peek("Idempotency-Key"))
	if prepared.requestID == "" {
		prepared.requestID = string(ctx.Request.Header.Peek("X-Request-Id"))
	}
	if !s.start(ctx, prepared, &body) {
		return
	}
	if body.Stream {
		s.serveStream(ctx, prepared, prepared.prefix)
		return
	}
	s.serveWhole(ctx, prepared)
}

// prepare turns a body into a stream that is not yet submitted, or says what is wrong with it.
func prepare(body *completionRequest, chat bool) (*stream, string) {
	if body.N > 1 {
		return nil, "n must be 1"
	}
	if body.PrefixTokens < 0 || body.MaxTokens < 0 || body.MaxCompletionTokens < 0 {
		return nil, "prefix_tokens and max_tokens must not be negative"
	}
	prompt, problem := promptOf(body, chat)
	if problem != "" {
		return nil, problem
	}
	original, generated, err := text.SplitContinuation(prompt, body.PrefixTokens)
	if err != nil {
		return nil, err.Error()
	}
	prepared := &stream{
		requestID: body.RequestID, model: body.Model, chat: chat, generated: generated, prefix: body.PrefixTokens,
		request: text.Request{Prompt: original, Seed: body.Seed, MaxTokens: max(body.MaxTokens, body.MaxCompletionTokens)},
		tokens:  body.PrefixTokens, outcome: OutcomeRunning, over: make(chan struct{}),
	}
	prepared.changed.L = &prepared.mutex
	prepared.total, prepared.cut = prepared.request.Length()
	return prepared, ""
}

func promptOf(body *completionRequest, chat bool) (prompt, problem string) {
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

// start submits a stream to the emulator, or answers the refusal and returns false.
func (s *Server) start(ctx *fasthttp.RequestCtx, prepared *stream, body *completionRequest) bool {
	tokens, prefix := text.PrefixHashes(prepared.request.Prompt+prepared.generated, s.config.Parameters.BlockTokens)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prepared.arrived, prepared.unread = time.Now(), time.Now()
	s.handles++
	prepared.handle = s.handles
	if prepared.requestID == "" {
		prepared.requestID = s.config.Name + "-" + strconv.FormatUint(prepared.handle, 10)
	}
	if s.leaving {
		prepared.lateBy = max(prepared.arrived.Sub(s.leftAt), 1)
		s.refuse(ctx, prepared, "leaving", "the engine is leaving", 0)
		return false
	}
	if s.faults.refuses() {
		s.refuse(ctx, prepared, "refused", "the engine refuses work", overloadRetry)
		return false
	}
	if live := s.streams[prepared.requestID]; live != nil && s.byHandle[live.handle] == live {
		endpoint.Refuse(ctx, fasthttp.StatusConflict, verdict.DidNotRun, "duplicate_request", "a request of this identity is running", 0)
		return false
	}
	imported := s.imports.take(body.KVImport)
	if prepared.prefix < prepared.total {
		err := s.emulated.Submit(s.elapsed(), emulator.Request{
			ID: prepared.handle, Priority: body.Priority, PromptTokens: max(tokens, 1), Prefix: prefix,
			OutputTokens: prepared.total - prepared.prefix, ImportedTokens: imported,
		})
		if err != nil {
			s.refuseSubmit(ctx, prepared, err)
			return false
		}
		s.byHandle[prepared.handle] = prepared
	}
	s.streams[prepared.requestID] = prepared
	if prepared.prefix >= prepared.total {
		s.endStream(prepared, OutcomeFinished)
	}
	s.poke()
	return true
}

func (s *Server) refuseSubmit(ctx *fasthttp.RequestCtx, prepared *stream, err error) {
	if errors.Is(err, emulator.ErrTooLarge) {
		endpoint.Refuse(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "too_large", err.Error(), 0)
		return
	}
	s.refuse(ctx, prepared, "unavailable", err.Error(), overloadRetry)
}

// refuse answers 503 did-not-run and logs it. The caller holds the mutex.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, prepared *stream, code, message string, retryAfter time.Duration) {
	entry := prepared.execution()
	entry.Outcome, entry.Ended = OutcomeRefused, prepared.arrived
	s.log.finish(entry)
	endpoint.Refuse(ctx, fasthttp.StatusServiceUnavailable, verdict.DidNotRun, code, message, retryAfter)
}

// serveWhole answers when the whole text is there.
func (s *Server) serveWhole(ctx *fasthttp.RequestCtx, running *stream) {
	running.attach()
	defer running.detach()
	last := running.awaitEnd()
	switch last.outcome {
	case OutcomeFinished:
		ctx.SetContentType("application/json")
		ctx.SetBody(wholeAnswer(running, last.tokens))
	case OutcomeCrashed:
		endpoint.Cut(ctx.Conn())
	default:
		endpoint.Refuse(ctx, fasthttp.StatusInternalServerError, verdict.MayHaveRun, string(last.outcome), "the request was "+string(last.outcome), 0)
	}
}

// serveStream answers with server-sent events from a token on.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, running *stream, from int) {
	drawn := s.faults.draw(running.total - from)
	drawn.ended = s.closed
	connection := ctx.Conn()
	running.attach()
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer running.detach()
		written := newStreamWriter(running, writer, from, drawn)
		if !written.run() && !drawn.cleanly {
			endpoint.Cut(connection)
		}
	})
}

package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/recovery"
	"github.com/tamarindring/tamarindring/internal/rollout"
)

const (
	completionsPath = "/v1/completions"
	maxEventBytes   = 1 << 20
	progressTokens  = 16 // between two progress reports of a sample to the scheduler
	classRollout    = "rollout"
	errorBodyBytes  = 4096
)

// run is one attempt at generating one sample, up to its storage in the ledger.
type run struct {
	id             rollout.SampleID
	pool           *pool
	trainer        *trainerState
	slot           *deliverySlot
	edition        uint32
	context        context.Context
	cancel         context.CancelFunc
	partial        *partial // tokens so far; the run's goroutine appends under the server's mutex
	reportedTokens int      // tokens already reported to the scheduler
	gateway        string   // address of the gateway of the current request
	replica        string   // replica that generated the newest token of the current request
	// requestID is the id of the current request at its replica. It is empty until the first token.
	requestID string
	// transferDone is closed when the transfer of the KV cache has ended. It is nil if there is no transfer.
	transferDone chan struct{}
	// stopRequest ends the current request. The tokens generated so far are retained.
	stopRequest context.CancelCauseFunc
	// generated is set once the text is complete and the sample is in scoring or storing.
	generated bool
}

// startSample starts a run, which resumes from retained tokens if the policy allows. The caller holds the mutex.
func (s *Server) startSample(p *pool, start rollout.Start) {
	t := s.trainers[start.ID.Trainer]
	if t == nil {
		p.scheduler.Forget(start.ID.Trainer)
		return
	}
	slot := t.delivery.slot(ledgerID(start.ID))
	if slot == nil {
		s.config.Log.Warnf("cannot start sample %s: it has no slot in an open step", start.ID)
		return
	}
	r := &run{id: start.ID, pool: p, trainer: t, slot: slot, edition: slot.edition, partial: &partial{}}
	r.context, r.cancel = context.WithTimeout(t.context, s.config.GenerationDeadline)
	if kept := t.partials[start.ID.String()]; kept != nil && p.scheduler.Policy().KeepsPrefix() {
		r.partial, r.reportedTokens = kept, start.PrefixTokens
		s.reportProgress(r, s.now())
		s.stats.Continued++
	}
	delete(t.partials, start.ID.String())
	p.running[start.ID] = r
	logging.Emit(s.config.Log, &events.SampleStarted{Sample: r.id.String(), Pool: p.name, Kept: r.partial.tokens})
	cancel := r.cancel
	s.start(func() {
		defer cancel()
		if err := recovery.Do(s.config.Log, r.id.String(), "sample", func() { s.runSample(r) }); err != nil {
			s.handleInterruption(r, err)
		}
	})
}

// runSample generates a sample and finishes it.
func (s *Server) runSample(r *run) {
	if err := s.generate(r); err != nil {
		s.awaitTransfer(r)
		s.handleInterruption(r, err)
		return
	}
	s.finish(r)
}

// isCurrent reports whether the run still counts, which it does until it is dropped. The caller holds the mutex.
func (r *run) isCurrent() bool { return r.pool.running[r.id] == r }

// statusError is an answer with a status other than 200, by which a gateway or another server rejected a request.
type statusError struct {
	status     int
	code       string // error code in the body; empty if it has none
	retryAfter time.Duration
	body       string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("gateway answered %d: %s", e.status, e.body)
}

// errNoGateway means that no live gateway is known.
var errNoGateway = errors.New("no gateway is known")

// errChecksumMismatch means that an answer's text does not match its checksum. All tokens of the run are discarded.
var errChecksumMismatch = errors.New("the answer's text does not match its checksum")

// handleInterruption records that a run ended early and retains its tokens if the scheduler can resume from them.
func (s *Server) handleInterruption(r *run, cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !r.isCurrent() {
		return
	}
	delete(r.pool.running, r.id)
	now := s.now()
	s.reportProgress(r, now)
	if errors.Is(cause, errChecksumMismatch) {
		s.config.Log.Warnf("discarded the tokens of sample %s: %v", r.id, cause)
		s.stats.DiscardedTokens += uint64(r.partial.tokens)
		r.pool.scheduler.Discarded(now, r.id, r.edition)
		return
	}
	s.stats.Interrupted++
	kept := r.pool.scheduler.Interrupted(now, r.id)
	resumable := kept > 0 && kept == r.partial.tokens
	logging.Emit(s.config.Log, &events.SampleInterrupted{Sample: r.id.String(), Gateway: r.gateway, Replica: r.replica,
		Request: r.requestID, Tokens: r.partial.tokens, Kept: resumable, Cause: events.ErrorText(cause)})
	if resumable {
		r.trainer.partials[r.id.String()] = r.partial
	} else {
		s.stats.DiscardedTokens += uint64(r.partial.tokens)
	}
	var refused *statusError
	switch {
	case errors.As(cause, &refused) && refused.code == dispatch.CodeSuspected:
		r.pool.scheduler.Hold(r.id, now+min(max(refused.retryAfter, minRetryDelay), maxHold)) // says nothing about the pool
	case errors.As(cause, &refused):
		r.pool.recordRejection(now, max(refused.retryAfter, minRetryDelay))
	case errors.Is(cause, errNoGateway):
		r.pool.pausedUntil = max(r.pool.pausedUntil, now+minRetryDelay)
	}
	s.wake()
}

// reportProgress reports the new tokens of a run to the scheduler. The caller holds the mutex.
func (s *Server) reportProgress(r *run, now time.Duration) {
	total := 0
	for _, segment := range r.partial.segments {
		total += int(segment.GetTokenCount())
		if total > r.reportedTokens {
			r.pool.scheduler.Progress(now, r.id, total, segment.GetVersionNumber())
		}
	}
	r.reportedTokens = max(r.reportedTokens, total)
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model        string `json:"model"`
	Stream       bool   `json:"stream"`
	MaxTokens    uint32 `json:"max_tokens,omitempty"`
	Seed         uint64 `json:"seed"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	KVImport     string `json:"kv_import,omitempty"`
	Prompt       string `json:"prompt"`
}

// generate generates the remaining tokens of a sample by one streamed request. On error, the run's partial holds the
// valid tokens received so far.
func (s *Server) generate(r *run) error {
	gateway, err := s.chooseGateway()
	if err != nil {
		return err
	}
	failed := true
	defer func() { s.releaseGateway(gateway, failed) }()
	ctx, stop := context.WithCancelCause(r.context)
	defer stop(nil)
	s.mutex.Lock()
	r.gateway, r.replica, r.requestID, r.stopRequest = gateway.address, "", "", stop
	s.mutex.Unlock()
	response, err := s.requestCompletion(ctx, r, gateway.address)
	if err != nil {
		failed = ctx.Err() == nil
		return cancelCause(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failed = false
		return newStatusError(response)
	}
	before := r.partial.tokens
	err = s.readStream(r, response)
	failed = err != nil && ctx.Err() == nil && r.partial.tokens == before
	return cancelCause(ctx, err)
}

// cancelCause returns the cause of ctx's cancellation if ctx has ended, and err otherwise. It returns nil if err is
// nil.
func cancelCause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (s *Server) requestCompletion(ctx context.Context, r *run, address string) (*http.Response, error) {
	var cache kvCache
	if r.partial.cache != nil {
		cache, r.partial.cache = *r.partial.cache, nil // an imported cache can be used only once
	}
	body, err := json.Marshal(completionBody{
		Model: r.pool.name, Stream: true, MaxTokens: r.slot.prompt.GetMaxTokens(), Seed: uint64(r.id.Index),
		PrefixTokens: r.partial.tokens, Prompt: r.slot.prompt.GetText() + r.partial.text.String(), KVImport: cache.id,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+completionsPath, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Tamarindring-Class", classRollout)
	request.Header.Set("Tamarindring-Deadline", s.config.GenerationDeadline.String())
	request.Header.Set("X-Request-Id", r.id.String())
	if cache.replica != "" {
		request.Header.Set("Tamarindring-Replica", cache.replica)
	}
	setAuthorization(request, s.config.Credentials.Authorization())
	return s.httpClient.Do(request)
}

func newStatusError(response *http.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyBytes))
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	var parsed errorBody
	_ = json.Unmarshal(content, &parsed) // another body has no code
	return &statusError{status: response.StatusCode, code: parsed.Error.Code, retryAfter: time.Duration(seconds) * time.Second, body: string(content)}
}

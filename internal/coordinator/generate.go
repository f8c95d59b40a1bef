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

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/rollout"
)

const (
	completionsPath = "/v1/completions"
	maxEventBytes   = 1 << 20
	progressTokens  = 16 // between two reports of a sample's progress to the scheduler
	classRollout    = "rollout"
	errorBodyBytes  = 4096
)

// run is one attempt at one sample.
type run struct {
	id      rollout.SampleID
	pool    *pool
	trainer *trainerState
	slot    *deliverySlot
	edition uint32
	context context.Context
	cancel  context.CancelFunc
	partial *partial // tokens so far; appended to by the run's routine under the server's mutex
	told    int      // tokens that the scheduler was told of
	gateway string   // address, of the request under way
	replica string   // that made the newest token of the request under way
	// requestID is the name of the request under way at its replica; empty until its first token.
	requestID string
	// moved is closed once the transfer of the KV cache has ended; nil when there is none.
	moved chan struct{}
	// stop ends the request under way; what it has made is kept.
	stop context.CancelCauseFunc
	// generated is set once the text is whole and waits for its score and the ledger.
	generated bool
}

// startSample begins an attempt. The caller holds the mutex.
func (s *Server) startSample(p *pool, start rollout.Start) {
	t := s.trainers[start.ID.Trainer]
	if t == nil {
		p.scheduler.Forget(start.ID.Trainer)
		return
	}
	slot := t.delivery.slot(ledgerID(start.ID))
	if slot == nil {
		s.config.Log.Warnf("sample %s has no slot", start.ID)
		return
	}
	one := &run{id: start.ID, pool: p, trainer: t, slot: slot, edition: slot.edition, partial: &partial{}}
	one.context, one.cancel = context.WithTimeout(t.context, s.config.GenerationDeadline)
	if kept := t.partials[start.ID.String()]; kept != nil && p.scheduler.Policy().KeepsPrefix() {
		one.partial, one.told = kept, start.PrefixTokens
		s.tellProgress(one, s.now())
		s.stats.Continued++
	}
	delete(t.partials, start.ID.String())
	p.running[start.ID] = one
	logging.Emit(s.config.Log, &events.SampleStarted{Sample: one.id.String(), Pool: p.name, Kept: one.partial.tokens})
	cancel := one.cancel
	s.start(func() {
		defer cancel()
		if err := s.generate(one); err != nil {
			s.awaitMove(one)
			s.interrupted(one, err)
			return
		}
		s.finish(one)
	})
}

// current tells whether the run still counts. The caller holds the mutex.
func (r *run) current() bool { return r.pool.running[r.id] == r }

// refusedError says that a gateway took the request not at all.
type refusedError struct {
	status     int
	retryAfter time.Duration
	body       string
}

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("gateway answered %d: %s", e.status, e.body)
}

// errNoGateway means that no live gateway is known.
var errNoGateway = errors.New("no gateway is known")

// errWrongAnswer means that an answer contradicts itself; nothing of it is kept.
var errWrongAnswer = errors.New("the answer's checksum does not fit its text")

// interrupted notes that an attempt ended early.
func (s *Server) interrupted(one *run, cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !one.current() {
		return
	}
	delete(one.pool.running, one.id)
	now := s.now()
	s.tellProgress(one, now)
	if errors.Is(cause, errWrongAnswer) {
		s.config.Log.Warnf("sample %s: %v", one.id, cause)
		s.stats.DiscardedTokens += uint64(one.partial.tokens)
		one.pool.scheduler.Discarded(now, one.id, one.edition)
		return
	}
	s.stats.Interrupted++
	kept := one.pool.scheduler.Interrupted(now, one.id)
	goesOn := kept > 0 && kept == one.partial.tokens
	logging.Emit(s.config.Log, &events.SampleInterrupted{Sample: one.id.String(), Gateway: one.gateway, Replica: one.replica,
		Request: one.requestID, Tokens: one.partial.tokens, Kept: goesOn, Cause: events.ErrorText(cause)})
	if goesOn {
		one.trainer.partials[one.id.String()] = one.partial
	} else {
		s.stats.DiscardedTokens += uint64(one.partial.tokens)
	}
	var refused *refusedError
	switch {
	case errors.As(cause, &refused):
		one.pool.refused(now, max(refused.retryAfter, retryFirst))
	case errors.Is(cause, errNoGateway):
		one.pool.paused = max(one.pool.paused, now+retryFirst)
	}
	s.wake()
}

// tellProgress gives the scheduler the tokens that it does not know of. The caller holds the mutex.
func (s *Server) tellProgress(one *run, now time.Duration) {
	total := 0
	for _, segment := range one.partial.segments {
		total += int(segment.GetTokenCount())
		if total > one.told {
			one.pool.scheduler.Progress(now, one.id, total, segment.GetVersionNumber())
		}
	}
	one.told = max(one.told, total)
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

// generate has the rest of a sample generated by one streamed request. On an error the run's partial holds
// what is known to be right.
func (s *Server) generate(one *run) error {
	gateway, err := s.chooseGateway()
	if err != nil {
		return err
	}
	failed := true
	defer func() { s.releaseGateway(gateway, failed) }()
	ctx, stop := context.WithCancelCause(one.context)
	defer stop(nil)
	s.mutex.Lock()
	one.gateway, one.replica, one.requestID, one.stop = gateway.address, "", "", stop
	s.mutex.Unlock()
	response, err := s.requestCompletion(ctx, one, gateway.address)
	if err != nil {
		failed = ctx.Err() == nil
		return causeOf(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failed = false
		return refusedBy(response)
	}
	before := one.partial.tokens
	err = s.readStream(one, response)
	failed = err != nil && ctx.Err() == nil && one.partial.tokens == before
	return causeOf(ctx, err)
}

// causeOf returns why ctx was ended, if that is what err came from.
func causeOf(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (s *Server) requestCompletion(ctx context.Context, one *run, address string) (*http.Response, error) {
	var cache kvCache
	if one.partial.cache != nil {
		cache, one.partial.cache = *one.partial.cache, nil // it serves once
	}
	body, err := json.Marshal(completionBody{
		Model: one.pool.name, Stream: true, MaxTokens: one.slot.prompt.GetMaxTokens(), Seed: uint64(one.id.Index),
		PrefixTokens: one.partial.tokens, Prompt: one.slot.prompt.GetText() + one.partial.text.String(), KVImport: cache.id,
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
	request.Header.Set("X-Request-Id", one.id.String())
	if cache.replica != "" {
		request.Header.Set("Tamarindring-Replica", cache.replica)
	}
	showToken(request, s.config.Credentials.Authorization())
	return s.calls.Do(request)
}

func refusedBy(response *http.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyBytes))
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &refusedError{status: response.StatusCode, retryAfter: time.Duration(seconds) * time.Second, body: string(content)}
}

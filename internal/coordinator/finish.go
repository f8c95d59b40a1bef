package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func slotOf(sample *wire.Sample) ledger.SlotID {
	return ledger.SlotID{Trainer: sample.GetTrainer(), Step: sample.GetStep(), Prompt: sample.GetPromptId(), Index: sample.GetIndex()}
}

// finish scores and stores a generated sample. It retries until both succeed or the run no longer counts. The
// generation deadline does not apply here, since generating the sample again would gain nothing.
func (s *Server) finish(r *run) {
	ctx, cancel := context.WithCancel(r.trainer.context)
	defer cancel()
	sample := s.markGenerated(r, cancel)
	if sample == nil {
		return
	}
	score, err := s.score(ctx, r, sample)
	if err != nil {
		return // the run was dropped
	}
	sample.Score = score
	s.store(ctx, r, sample)
}

// markGenerated records that a run's text is complete and returns its sample, or nil if the run no longer counts. From
// here on, dropping the run calls cancel.
func (s *Server) markGenerated(r *run, cancel context.CancelFunc) *wire.Sample {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !r.isCurrent() {
		return nil
	}
	s.reportProgress(r, s.now())
	r.generated, r.cancel = true, cancel
	r.pool.finishing++
	s.wake()
	s.emitGenerated(r)
	return r.sample()
}

// emitGenerated logs the event of a completed text. The caller holds the mutex.
func (s *Server) emitGenerated(r *run) {
	event := &events.SampleGenerated{Sample: r.id.String(), Replica: r.replica, Tokens: r.partial.tokens}
	for _, segment := range r.partial.segments {
		event.Versions = append(event.Versions, segment.GetVersionNumber())
	}
	logging.Emit(s.config.Log, event)
}

func (r *run) sample() *wire.Sample {
	return &wire.Sample{
		Id: r.id.String(), Trainer: r.id.Trainer, Step: r.id.Step, PromptId: r.id.Prompt, Index: r.id.Index,
		Text: r.partial.text.String(), Segments: r.partial.segments, Edition: r.edition,
	}
}

// scoreBody is the body of POST /v1/score.
type scoreBody struct {
	Samples []scoreSample `json:"samples"`
}

type scoreSample struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

type scoreAnswer struct {
	Scores []float64 `json:"scores"`
}

// score calls the scorer until it answers or ctx ends. Without a scorer it returns 0.
func (s *Server) score(ctx context.Context, r *run, sample *wire.Sample) (float64, error) {
	if s.config.Scorer == "" {
		return 0, nil
	}
	body, err := json.Marshal(scoreBody{Samples: []scoreSample{{ID: sample.GetId(), Prompt: r.slot.prompt.GetText(), Text: sample.GetText()}}})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	for wait := minRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
		score, err := s.callScorer(ctx, body)
		if err == nil {
			return score, nil
		}
		if ctx.Err() == nil {
			s.config.Log.WithError(err).Debugf("could not score sample %s; retrying", sample.GetId())
		}
		if pause.For(ctx, wait) != nil {
			return 0, ctx.Err()
		}
	}
}

// callScorer makes one call to the scorer, within the limit of concurrent calls.
func (s *Server) callScorer(ctx context.Context, body []byte) (float64, error) {
	select {
	case s.scoreSlots <- struct{}{}:
		defer func() { <-s.scoreSlots }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	var answer scoreAnswer
	if err := s.call(ctx, http.MethodPost, s.config.Scorer, "/v1/score", body, s.config.ScoreTimeout, &answer); err != nil {
		return 0, err
	}
	if len(answer.Scores) != 1 {
		return 0, trace.BadParameter("the scorer returned %d scores for 1 sample", len(answer.Scores))
	}
	return answer.Scores[0], nil
}

// store writes a sample to the ledger and retries until the ledger answers or ctx ends. Only then does the sample count
// as finished.
func (s *Server) store(ctx context.Context, r *run, sample *wire.Sample) {
	command := &wire.Command{Kind: &wire.Command_SampleStore{SampleStore: &wire.SampleStore{
		Sample: sample, Owner: s.session.Owner(), Fence: r.trainer.fence}}}
	for wait := minRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
		result, err := s.execute(ctx, r.trainer, command)
		if err == nil {
			s.handleStored(r, sample, result)
			return
		}
		if pause.For(ctx, wait) != nil {
			return
		}
	}
}

// handleStored applies the ledger's answer to a store command.
func (s *Server) handleStored(r *run, sample *wire.Sample, result *wire.SampleResult) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !r.isCurrent() {
		if result.GetAccepted() && s.trainers[r.trainer.name] == r.trainer {
			// The sample was dropped as too stale while the ledger stored it. The ledger is authoritative.
			s.dropTrainer(r.trainer, "the ledger holds a sample that was discarded locally")
		}
		return
	}
	if !result.GetAccepted() {
		s.dropTrainer(r.trainer, result.GetReason())
		return
	}
	delete(r.pool.running, r.id)
	r.pool.finishing--
	tokens, oldest := sampleTokens(sample)
	r.trainer.delivery.recordStored(sample)
	r.pool.scheduler.Finished(s.now(), r.id, tokens, oldest)
	s.stats.SamplesFinished++
	s.stats.Tokens += uint64(tokens)
	r.trainer.notify()
	s.wake()
}

// call makes one JSON call to an external service. It returns a *statusError for any status but 200.
func (s *Server) call(ctx context.Context, method, address, path string, body []byte, timeout time.Duration, answer any) error {
	return s.callAs(ctx, "", method, address, path, body, timeout, answer)
}

// callNode is like call, for a process of this system, and sends this process's token.
func (s *Server) callNode(ctx context.Context, method, address, path string, body []byte, timeout time.Duration, answer any) error {
	return s.callAs(ctx, s.config.Credentials.Authorization(), method, address, path, body, timeout, answer)
}

func (s *Server) callAs(ctx context.Context, authorization, method, address, path string, body []byte, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("User-Agent", "") // omitted, since it would be a third of a poll
	setAuthorization(request, authorization)
	response, err := s.httpClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return newStatusError(response)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxCallAnswerBytes)).Decode(answer))
}

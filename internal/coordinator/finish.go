package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
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

// finish has a generated sample scored and stored. It goes on until that is done or the run no longer
// counts: the generation's deadline does not hold here, since nothing is gained by generating again.
func (s *Server) finish(one *run) {
	ctx, cancel := context.WithCancel(one.trainer.context)
	defer cancel()
	sample := s.noteGenerated(one, cancel)
	if sample == nil {
		return
	}
	score, err := s.score(ctx, one, sample)
	if err != nil {
		return // the run was dropped
	}
	sample.Score = score
	s.store(ctx, one, sample)
}

// noteGenerated returns the sample of a run that is whole, or nil when the run no longer counts. From here on
// cancel stops it.
func (s *Server) noteGenerated(one *run, cancel context.CancelFunc) *wire.Sample {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !one.current() {
		return nil
	}
	s.tellProgress(one, s.now())
	one.generated, one.cancel = true, cancel
	one.pool.after++
	s.wake()
	s.logGenerated(one)
	return one.sample()
}

// logGenerated tells of a text that is whole. The caller holds the mutex.
func (s *Server) logGenerated(one *run) {
	event := &events.SampleGenerated{Sample: one.id.String(), Replica: one.replica, Tokens: one.partial.tokens}
	for _, segment := range one.partial.segments {
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

// score asks the scorer until it answers or ctx ends.
func (s *Server) score(ctx context.Context, one *run, sample *wire.Sample) (float64, error) {
	if s.config.Scorer == "" {
		return 0, nil
	}
	body, err := json.Marshal(scoreBody{Samples: []scoreSample{{ID: sample.GetId(), Prompt: one.slot.prompt.GetText(), Text: sample.GetText()}}})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	for wait := retryFirst; ; wait = min(2*wait, retryMost) {
		score, err := s.callScorer(ctx, body)
		if err == nil {
			return score, nil
		}
		if ctx.Err() == nil {
			s.config.Log.WithError(err).Debugf("the scorer did not rate %s", sample.GetId())
		}
		if pause.For(ctx, wait) != nil {
			return 0, ctx.Err()
		}
	}
}

// callScorer makes one call, in one of the bounded places.
func (s *Server) callScorer(ctx context.Context, body []byte) (float64, error) {
	select {
	case s.scoring <- struct{}{}:
		defer func() { <-s.scoring }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	var answer scoreAnswer
	if err := s.call(ctx, http.MethodPost, s.config.Scorer, "/v1/score", body, s.config.ScoreTimeout, &answer); err != nil {
		return 0, err
	}
	if len(answer.Scores) != 1 {
		return 0, trace.BadParameter("the scorer gave %d scores for a sample", len(answer.Scores))
	}
	return answer.Scores[0], nil
}

// store keeps a sample in the ledger; it counts as finished only then.
func (s *Server) store(ctx context.Context, one *run, sample *wire.Sample) {
	command := &wire.Command{Kind: &wire.Command_SampleStore{SampleStore: &wire.SampleStore{
		Sample: sample, Owner: s.session.Owner(), Fence: one.trainer.fence}}}
	for wait := retryFirst; ; wait = min(2*wait, retryMost) {
		result, err := s.execute(ctx, one.trainer, command)
		if err == nil {
			s.stored(one, sample, result)
			return
		}
		if pause.For(ctx, wait) != nil {
			return
		}
	}
}

// stored takes the ledger's answer over.
func (s *Server) stored(one *run, sample *wire.Sample, result *wire.SampleResult) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !one.current() {
		if result.GetAccepted() && s.trainers[one.trainer.name] == one.trainer {
			// It was dropped as too old while the ledger stored it: what the ledger holds counts.
			s.depose(one.trainer, "the ledger holds a sample that was dropped here")
		}
		return
	}
	if !result.GetAccepted() {
		s.depose(one.trainer, result.GetReason())
		return
	}
	delete(one.pool.running, one.id)
	one.pool.after--
	tokens, oldest := sampleTokens(sample)
	one.trainer.delivery.stored(sample)
	one.pool.scheduler.Finished(s.now(), one.id, tokens, oldest)
	s.stats.SamplesFinished++
	s.stats.Tokens += uint64(tokens)
	one.trainer.notify()
	s.wake()
}

// call makes one JSON call to a process that is not ours; any status but 200 is an error of type
// *refusedError.
func (s *Server) call(ctx context.Context, method, address, path string, body []byte, timeout time.Duration, answer any) error {
	return s.callAs(ctx, "", method, address, path, body, timeout, answer)
}

// callNode makes one JSON call to a process of ours and shows it this one's token.
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
	request.Header.Set("User-Agent", "") // none: it would be a third of a poll
	showToken(request, authorization)
	response, err := s.calls.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusedBy(response)
	}
	return trace.Wrap(json.NewDecoder(response.Body).Decode(answer))
}

package coordinator

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/rollout"
)

// refusedWith returns the error of a gateway's answer with an error code.
func refusedWith(code string) error {
	return newStatusError(&http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"4"}},
		Body: io.NopCloser(strings.NewReader(fmt.Sprintf(`{"error":{"code":%q}}`, code)))})
}

// TestSuspectedSampleHoldsNoOtherBack guards against a sample under which back ends crashed and that its gateway refuses
// while it rests: it was the first again in each scheduling pass, and each refusal paused its pool and shrank its
// capacity, so that no other sample started beside idle back ends.
func TestSuspectedSampleHoldsNoOtherBack(t *testing.T) {
	for code, wantPaused := range map[string]bool{dispatch.CodeSuspected: false, dispatch.CodeNoBackend: true} {
		s := &Server{config: Config{Log: logging.Discard(), Policy: rollout.Paced{}}, wakeup: make(chan struct{}, 1), started: time.Now(), pools: map[string]*pool{}}
		p := s.pool("copy")
		if err := p.scheduler.OpenStep(0, rollout.Step{Trainer: "a", Number: 1, Prompts: []rollout.Prompt{{ID: "long", MaxTokens: 512}, {ID: "short", MaxTokens: 8}}, SamplesPerPrompt: 1}); err != nil {
			t.Fatal(err)
		}
		one := rollout.Capacity{Slots: 1}
		first := p.scheduler.Next(0, one)[0]
		refused := &run{id: first.ID, pool: p, trainer: &trainerState{}, partial: &partial{}}
		p.running[first.ID] = refused
		s.handleInterruption(refused, refusedWith(code))
		if paused := p.pausedUntil > 0; paused != wantPaused {
			t.Errorf("%s: the pool is paused: %t, want %t", code, paused, wantPaused)
		}
		if next := p.scheduler.Next(s.now(), one); code == dispatch.CodeSuspected && (len(next) != 1 || next[0].ID == first.ID) {
			t.Errorf("%+v started after the refusal of %v, want the other sample", next, first.ID)
		}
	}
}

package coordinator

import (
	"net/http"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
	"github.com/tamarindring/tamarindring/internal/standin/weightstore"
)

func (f *fixture) awaitServed(t *testing.T, number uint64) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for _, one := range f.engines {
		for served := uint64(0); served != number; _, served = one.Served() {
			if time.Now().After(deadline) {
				t.Fatalf("%s serves %d, want %d (%+v)", one.Name(), served, number, f.coordinators[0].Stats())
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestBoundTightenedBetweenSealingAndHandingOver fails if a sealed batch is handed over again after the staleness bound
// was tightened and its samples became too stale.
func TestBoundTightenedBetweenSealingAndHandingOver(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 1)
	client := newCaller(t, f.coordinators[0].Address())
	client.openStep("a", 1, 2, 1)
	lost := client.fetch("a", fetchBody{Cursor: 1, WholeStep: true, WaitMillis: 20000})
	if len(lost.Samples) != 2 || !lost.StepComplete {
		t.Fatalf("first reply: got %+v, want a complete step of 2 samples", lost)
	}
	f.change(t, [3]string{"copy", "staleness_bound", "1"})
	again := fetchBody{Cursor: 1, WholeStep: true, WaitMillis: 300, TrainerVersion: 3}
	if reply := client.fetch("a", again); len(reply.Samples) != 0 {
		t.Fatalf("samples three versions old were handed over with a staleness bound of 1: %+v", reply)
	}
	f.store.Put(weightstore.Version{Version: "a-v3", VersionNumber: 3})
	client.must(http.MethodPost, "/v1/trainers/a/versions", versionBody{Version: "a-v3", VersionNumber: 3, Pool: "copy"}, nil)
	again.WaitMillis = 20000
	reply := client.fetch("a", again)
	if len(reply.Samples) != 2 || !reply.StepComplete || *reply.StalenessBound != 1 {
		t.Fatalf("reply after the regeneration: got %+v, want a complete step of 2 samples with a bound of 1", reply)
	}
	for _, sample := range reply.Samples {
		if sample.Age > 1 || sample.Edition == 0 {
			t.Errorf("sample %+v was not regenerated", sample)
		}
	}
	client.fetch("a", fetchBody{Cursor: 2, Acknowledge: 1, TrainerVersion: 3})
	if stats := f.coordinators[0].Stats(); stats.HandedOver != 2 || stats.DiscardedStale < 2 || stats.DiscardedTokens == 0 {
		t.Errorf("stats: got %+v, want 2 samples handed over and at least 2 discarded with their tokens", stats)
	}
}

func TestReplicaKeepsOldWeightsAfterAFailedSwap(t *testing.T) {
	t.Parallel()
	for name, failure := range map[string]engine.SwapFailure{
		"keeps old": engine.SwapKeepsOld, "refuses": engine.SwapLosesWeights, "silent": engine.SwapReportsFalseSuccess,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, 1)
			f.engines[1].FailNextSwap(failure)
			f.runTrainer(t, trainer.Config{Name: "a", PromptsPerStep: 4, SamplesPerPrompt: 3, MaxTokens: 200, MaxSteps: 2, Seed: 7})
			f.awaitServed(t, 2)
			if stats := f.coordinators[0].Stats(); stats.SwapFailures == 0 {
				t.Errorf("the failed swap was not counted: %+v", stats)
			}
		})
	}
}

func TestRestartedReplicaServesOldWeights(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 1)
	f.runTrainer(t, trainer.Config{Name: "a", PromptsPerStep: 2, SamplesPerPrompt: 1, MaxTokens: 20, MaxSteps: 1, Seed: 8})
	f.awaitServed(t, 1)
	f.engines[0].Crash()
	f.engines[0].Restart("base", 0)
	f.awaitServed(t, 1)
}

func TestThrottledWeightStoreStopsTheWave(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 3, 1)
	f.store.SetReads(3, 1, 20*time.Millisecond)
	f.runTrainer(t, trainer.Config{Name: "a", PromptsPerStep: 2, SamplesPerPrompt: 2, MaxTokens: 40, MaxSteps: 2, StepsAhead: 1, Seed: 9})
	f.awaitServed(t, 2)
	if f.store.Stats().Throttled == 0 {
		t.Error("the weight store throttled no read")
	}
}

func TestStalledScorerLosesSamples(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 1)
	f.scorer.Stall(time.Second)
	f.scorer.SetDown(true)
	time.AfterFunc(300*time.Millisecond, func() { f.scorer.SetDown(false) })
	f.runTrainer(t, trainer.Config{Name: "a", PromptsPerStep: 3, SamplesPerPrompt: 2, MaxTokens: 40, MaxSteps: 2, Seed: 10})
}

// TestBadCallsAreRefused checks that each invalid call gets its status and changes nothing.
func TestBadCallsAreRefused(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, 1)
	client := newCaller(t, f.coordinators[0].Address())
	step := stepBody{Pool: "copy", SamplesPerPrompt: 1, Prompts: []promptBody{{ID: "p", Text: "x"}}}
	other := step
	other.SamplesPerPrompt = 2
	client.must(http.MethodPut, "/v1/trainers/a/steps/1", step, nil)
	client.must(http.MethodPut, "/v1/trainers/a/steps/1", step, nil)
	for _, bad := range []struct {
		method, path string
		body         any
		status       int
	}{
		{http.MethodPut, "/v1/trainers/a/steps/1", other, http.StatusConflict},
		{http.MethodPut, "/v1/trainers/a/steps/x", step, http.StatusBadRequest},
		{http.MethodPut, "/v1/trainers/a/steps/2", stepBody{Pool: "none", SamplesPerPrompt: 1, Prompts: step.Prompts}, http.StatusBadRequest},
		{http.MethodPut, "/v1/trainers/a/steps/2", stepBody{Pool: "copy", Prompts: step.Prompts}, http.StatusBadRequest},
		{http.MethodPut, "/v1/trainers/a/steps/2", map[string]any{"pol": "copy"}, http.StatusBadRequest},
		{http.MethodPut, "/v1/trainers/a/steps/2", stepBody{Pool: "copy", SamplesPerPrompt: 1, Prompts: []promptBody{{ID: "p/q"}}}, http.StatusBadRequest},
		{http.MethodPut, "/v1/trainers/a/steps/2", stepBody{Pool: "copy", SamplesPerPrompt: 1, Prompts: []promptBody{{ID: "p"}, {ID: "p"}}}, http.StatusBadRequest},
		{http.MethodPost, "/v1/trainers/a/fetch", fetchBody{Cursor: 3, Acknowledge: 1}, http.StatusBadRequest},
		{http.MethodPost, "/v1/trainers/a/fetch", fetchBody{Cursor: 8, Acknowledge: 7}, http.StatusConflict},
		{http.MethodPost, "/v1/trainers/nobody/fetch", fetchBody{Cursor: 1}, http.StatusNotFound},
		{http.MethodPost, "/v1/trainers/a/versions", versionBody{Version: "v", Pool: "copy"}, http.StatusBadRequest},
		{http.MethodPost, "/v1/trainers/a/versions", versionBody{Version: "v", VersionNumber: 1, Pool: "none"}, http.StatusBadRequest},
		{http.MethodGet, "/v1/trainers/a/fetch", nil, http.StatusNotFound},
	} {
		if status := client.call(bad.method, bad.path, bad.body, nil); status != bad.status {
			t.Errorf("%s %s %+v: status %d, want %d", bad.method, bad.path, bad.body, status, bad.status)
		}
	}
	if reply := client.fetch("a", fetchBody{Cursor: 1, WaitMillis: 20000}); len(reply.Samples) != 1 {
		t.Errorf("reply after the rejected calls: got %+v, want 1 sample", reply)
	}
}

func TestVersionNumberIsTakenOnce(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, 1)
	client := newCaller(t, f.coordinators[0].Address())
	for _, name := range []string{"a-v1", "b-v1", "a-v2"} {
		f.store.Put(weightstore.Version{Version: name, VersionNumber: uint64(name[3] - '0')})
	}
	announce := func(name string, number uint64) int {
		return client.call(http.MethodPost, "/v1/trainers/a/versions", versionBody{Version: name, VersionNumber: number, Pool: "copy"}, nil)
	}
	for _, step := range []struct {
		name   string
		number uint64
		status int
	}{
		{"a-v1", 1, 200}, {"a-v1", 1, 200}, {"b-v1", 1, 409}, {"a-v2", 2, 200}, {"a-v1", 1, 200}, {"a-v2", 3, 409}, {"gone", 3, 503},
	} {
		if status := announce(step.name, step.number); status != step.status {
			t.Errorf("%s (%d): status %d, want %d", step.name, step.number, status, step.status)
		}
	}
	f.awaitServed(t, 2)
}

package coordinator

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/standin/trainer"
	"github.com/tamarindring/tamarindring/internal/wave"
)

func TestSamplesReachTheTrainerOnceAndWeightsTheReplicas(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 3, 1)
	f.train(t, trainer.Config{Name: "a", PromptsPerStep: 4, SamplesPerPrompt: 3, MaxTokens: 60, MaxSteps: 4, StepsAhead: 1,
		LoseReplyProbability: 0.3, Seed: 1})
	stats := f.coordinators[0].Stats()
	if stats.HandedOver != 48 || stats.StepsCompleted != 4 || stats.VersionsReleased != 4 || stats.SamplesFinished < 48 {
		t.Errorf("stats %+v", stats)
	}
	f.awaitServed(t, 4)
}

func TestWholeStepsAreHandedOverTogether(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 1)
	f.train(t, trainer.Config{Name: "a", PromptsPerStep: 3, SamplesPerPrompt: 2, MaxTokens: 40, MaxSteps: 3, WholeStep: true,
		LoseReplyProbability: 0.3, Seed: 2})
	if stats := f.coordinators[0].Stats(); stats.StepsCompleted != 3 {
		t.Errorf("stats %+v", stats)
	}
}

func TestLargePoolsArePolledLessOftenOutsideAWave(t *testing.T) {
	for count, want := range map[int]time.Duration{0: DefaultLoadInterval, 12: DefaultLoadInterval, 24: 500 * time.Millisecond, 600: 2 * time.Second} {
		if got := QuietLoadInterval(DefaultLoadInterval, count); got != want {
			t.Errorf("%d replicas: every %v, want %v", count, got, want)
		}
	}
	if maximumLoadInterval+DefaultLoadTimeout >= replicaSilence {
		t.Error("a replica that is polled at the longest interval can count as silent")
	}
	p := &pool{}
	if p.inWave() {
		t.Error("a pool without a wave is in one")
	}
	p.wave = &waveState{planner: wave.New(wave.Config{})}
	p.wave.planner.SetReplicas([]string{"r"})
	if p.inWave() {
		t.Error("a pool without a released version is in a wave")
	}
	p.wave.planner.Release(0, wave.Version{Name: "v1", Number: 1})
	if !p.inWave() {
		t.Error("a pool whose replicas do not serve the released version is not in a wave")
	}
}

package coordinator

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
)

// TestConcurrentFaultsLoseOrDuplicateSamples trains two trainers while faults of coordinators, engines, scorer and
// store and changes of the staleness bound occur at random. It fails if a sample is lost, duplicated or too stale.
func TestConcurrentFaultsLoseOrDuplicateSamples(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped in short mode")
	}
	for _, seed := range []int64{1, 2} {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
			t.Parallel()
			runChaos(t, seed)
		})
	}
}

func runChaos(t *testing.T, seed int64) {
	f := newFixture(t, 3, 3)
	configs := []trainer.Config{
		{Name: "a", PromptsPerStep: 4, SamplesPerPrompt: 3, MaxTokens: 200, MaxSteps: 8, StepsAhead: 1, LoseReplyProbability: 0.2, Seed: uint64(seed)},
		{Name: "b", PromptsPerStep: 3, SamplesPerPrompt: 2, MaxTokens: 300, MaxSteps: 8, WholeStep: true, LoseReplyProbability: 0.2, Seed: uint64(seed) + 100},
	}
	ctx, cancel := context.WithTimeout(f.context, 2*testTimeout)
	defer cancel()
	var trainers []*trainer.Trainer
	var training sync.WaitGroup
	for _, config := range configs {
		made := f.newTrainer(t, config)
		trainers = append(trainers, made)
		training.Go(func() {
			if err := made.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	done := make(chan struct{})
	go func() { training.Wait(); close(done) }()
	random := rand.New(rand.NewSource(seed))
	for faults := 0; ; faults++ {
		select {
		case <-done:
			for position, made := range trainers {
				checkTrainer(t, made, configs[position])
			}
			if faults < 5 {
				t.Errorf("%d faults were injected, want at least 5", faults)
			}
			return
		case <-time.After(time.Duration(100+random.Intn(400)) * time.Millisecond):
			f.injectFault(t, random)
		}
	}
}

// injectFault injects one random fault.
func (f *fixture) injectFault(t *testing.T, random *rand.Rand) {
	one := f.engines[random.Intn(len(f.engines))]
	switch random.Intn(7) {
	case 0, 1:
		f.restartCoordinator(t, random.Intn(len(f.coordinators)))
	case 2:
		f.change(t, [3]string{"copy", "staleness_bound", fmt.Sprint(1 + random.Intn(4))})
	case 3:
		one.FailNextSwap([]engine.SwapFailure{engine.SwapKeepsOld, engine.SwapLosesWeights, engine.SwapReportsFalseSuccess}[random.Intn(3)])
	case 4:
		one.Crash()
		time.AfterFunc(200*time.Millisecond, func() { one.Restart("base", 0) })
	case 5:
		f.scorer.SetDown(true)
		time.AfterFunc(200*time.Millisecond, func() { f.scorer.SetDown(false) })
	case 6:
		f.store.SetReads(float64(2+random.Intn(20)), 2, 10*time.Millisecond)
	}
}

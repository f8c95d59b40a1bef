package coordinator

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
)

// ownerPosition returns the index of a coordinator that owns a trainer, or -1.
func (f *fixture) ownerPosition() int {
	for position, server := range f.coordinators {
		if server.Stats().Trainers > 0 {
			return position
		}
	}
	return -1
}

// restartCoordinator closes a coordinator abruptly and starts another one with the same name and address.
func (f *fixture) restartCoordinator(t *testing.T, position int) {
	t.Helper()
	old := f.coordinators[position]
	must(t, old.Close())
	time.Sleep(10 * time.Millisecond)
	started := f.startCoordinator(t, old.config.Name, old.Address())
	f.coordinators = f.coordinators[:len(f.coordinators)-1]
	f.coordinators[position] = started
}

// TestOwnerCrashLosesOrDuplicatesSamples repeatedly kills the owner of a trainer while steps run. It fails if a sample
// is lost or handed over twice.
func TestOwnerCrashLosesOrDuplicatesSamples(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 3, 2)
	configs := []trainer.Config{
		{Name: "a", PromptsPerStep: 4, SamplesPerPrompt: 3, MaxTokens: 120, MaxSteps: 6, StepsAhead: 1, LoseReplyProbability: 0.2, Seed: 3},
		{Name: "b", PromptsPerStep: 3, SamplesPerPrompt: 2, MaxTokens: 200, MaxSteps: 6, WholeStep: true, LoseReplyProbability: 0.2, Seed: 4},
	}
	ctx, cancel := context.WithTimeout(f.context, testTimeout)
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
	random := rand.New(rand.NewSource(5))
	kills := 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(time.Duration(100+random.Intn(600)) * time.Millisecond):
			if position := f.ownerPosition(); position >= 0 && kills < 6 {
				f.restartCoordinator(t, position)
				kills++
			}
		}
	}
	if kills == 0 {
		t.Error("no owner was killed")
	}
	for position, made := range trainers {
		checkTrainer(t, made, configs[position])
	}
}

// TestDrainHandsTheTrainerOver drains the owner of a trainer. It fails if a call of the trainer fails for good or a
// sample is lost. The engines stall all but each step's first prompt until the drain is over, so that there are partial
// samples to hand over.
func TestDrainHandsTheTrainerOver(t *testing.T) {
	t.Parallel()
	f := newLeasedFixture(t, longLease, 2, 2)
	f.stall(450) // answers to the first prompt have 400 tokens
	config := trainer.Config{Name: "a", PromptsPerStep: 4, SamplesPerPrompt: 2, MaxTokens: 1600, MaxSteps: 3, StepsAhead: 1, Seed: 6,
		Prompt: func(step uint64, index int) string {
			return fmt.Sprintf("%d/%d [tokens=%d] ", step, index, 400+100*index)
		}}
	made := f.newTrainer(t, config)
	ctx, cancel := context.WithTimeout(f.context, testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- made.Run(ctx) }()
	f.await(t, "the trainer has a sample", func() bool { return f.ownerPosition() >= 0 && made.Stats().Samples > 0 })
	drained := f.coordinators[f.ownerPosition()]
	f.await(t, "there are partial samples and a next owner", func() bool {
		return drained.countPartialSamples() > 0 && drained.nextOwner(trainerResource("a")).name != ""
	})
	must(t, drained.Drain(ctx))
	f.stall(0)
	must(t, <-ended)
	checkTrainer(t, made, config)
	total, inherited := uint64(0), uint64(0)
	for _, server := range f.coordinators {
		total += server.Stats().HandedOver
		inherited += server.Stats().Inherited
	}
	if inherited == 0 {
		t.Errorf("no partial sample was handed over to the next owner; stats of the drained coordinator: %+v", drained.Stats())
	}
	if total != 24 || drained.Stats().HandedOver == 24 {
		t.Errorf("got %d samples handed over, %d of them by the drained coordinator; want 24 in all, some of them after the drain", total, drained.Stats().HandedOver)
	}
}

// countPartialSamples returns the number of samples in generation that have tokens.
func (s *Server) countPartialSamples() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, p := range s.pools {
		for _, one := range p.running {
			if one.partial.tokens > 0 && !one.generated {
				count++
			}
		}
	}
	return count
}

// TestNewCoordinatorTakesItsTrainersOver starts another coordinator while steps run. It fails if a trainer that should
// now be owned by it does not move, or loses samples.
func TestNewCoordinatorTakesItsTrainersOver(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 1)
	newcomer, name := "c9", ""
	for position := 0; name == ""; position++ {
		if one := fmt.Sprint("t", position); ownerScore(trainerResource(one), newcomer) > ownerScore(trainerResource(one), "c0") {
			name = one
		}
	}
	config := trainer.Config{Name: name, PromptsPerStep: 2, SamplesPerPrompt: 2, MaxTokens: 400, MaxSteps: 3, Seed: 11,
		Prompt: func(step uint64, index int) string { return fmt.Sprintf("%d/%d [tokens=300] ", step, index) }}
	f.stall(100) // the steps cannot end before the new coordinator runs
	made := f.newTrainer(t, config)
	ctx, cancel := context.WithTimeout(f.context, testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- made.Run(ctx) }()
	f.await(t, "samples run", func() bool { return f.coordinators[0].Stats().Running > 0 })
	started := f.startCoordinator(t, newcomer, "127.0.0.1:0")
	f.await(t, "the new coordinator owns the trainer", func() bool { return started.Stats().Trainers > 0 })
	f.stall(0)
	must(t, <-ended)
	checkTrainer(t, made, config)
	if old, new := f.coordinators[0].Stats(), f.coordinators[1].Stats(); new.HandedOver == 0 || old.Deposed == 0 {
		t.Errorf("the trainer did not move to the new coordinator: old %+v, new %+v", old, new)
	}
}

// TestSamplesLeaveADrainingReplica drains a replica while long samples run on it. It fails if they stay, lose tokens or
// move without their KV cache. The engines stall the samples until the replica is empty.
func TestSamplesLeaveADrainingReplica(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 1)
	f.stall(100)
	config := trainer.Config{Name: "a", PromptsPerStep: 2, SamplesPerPrompt: 4, MaxTokens: 1500, MaxSteps: 1, WholeStep: true, Seed: 12,
		Prompt: func(step uint64, index int) string { return fmt.Sprintf("%d/%d [tokens=1500] ", step, index) }}
	made := f.newTrainer(t, config)
	ctx, cancel := context.WithTimeout(f.context, testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- made.Run(ctx) }()
	f.await(t, "there are partial samples", func() bool { return f.coordinators[0].countPartialSamples() > 0 })
	drained := f.gateway.Dispatches(0)[0].Backend // routing fills one replica after the other, in its own order
	engine := int(drained[1] - '0')
	f.awaitLoadReport(t, fmt.Sprintf("e%d", 1-engine)) // a KV cache is moved only to a replica that is known to serve
	f.change(t, [3]string{drained, "state", "draining"})
	f.await(t, "no sample runs on the draining replica", func() bool {
		return f.coordinators[0].Stats().Moved > 0 && f.countRunning(engine, config) == 0
	})
	if finished := f.coordinators[0].Stats().SamplesFinished; finished == 8 {
		t.Error("all samples ended before the replica was empty, so the test shows nothing")
	}
	f.stall(0)
	must(t, <-ended)
	checkTrainer(t, made, config)
	if stats := f.coordinators[0].Stats(); stats.Moved == 0 || stats.Transferred == 0 || stats.DiscardedTokens != 0 {
		t.Errorf("stats: got %+v, want moved and transferred samples and no discarded tokens", stats)
	}
	for index := range config.PromptsPerStep {
		for _, execution := range f.engines[engine].ExecutionsOf(config.Prompt(1, index)) {
			if execution.Outcome == enginestandin.OutcomeExported {
				return
			}
		}
	}
	t.Error("the drained replica exported no KV cache")
}

// awaitLoadReport waits until the coordinator has a load report of a replica.
func (f *fixture) awaitLoadReport(t *testing.T, replica string) {
	t.Helper()
	server := f.coordinators[0]
	heard := func() bool {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		known := server.pool("copy").replicas[replica]
		return known != nil && known.hasReport
	}
	f.await(t, "the coordinator has a load report of "+replica, heard)
}

// countRunning returns the number of running samples of the config's first step on an engine.
func (f *fixture) countRunning(engine int, config trainer.Config) int {
	count := 0
	for index := range config.PromptsPerStep {
		for _, execution := range f.engines[engine].ExecutionsOf(config.Prompt(1, index)) {
			if execution.Outcome == enginestandin.OutcomeRunning {
				count++
			}
		}
	}
	return count
}

// TestTrainerOfDeadOwnerIsTakenOverWithoutRequest fails if a trainer's open step is not generated after its owner died
// while the trainer makes no requests.
func TestTrainerOfDeadOwnerIsTakenOverWithoutRequest(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 2)
	client := newCaller(t, f.coordinators[0].Address())
	client.openStep("a", 1, 2, 2)
	position := f.ownerPosition()
	must(t, f.coordinators[position].Close())
	other := f.coordinators[1-position]
	deadline := time.Now().Add(testTimeout)
	for other.Stats().Trainers == 0 {
		if time.Now().After(deadline) {
			t.Fatalf("no coordinator took the trainer over: %+v", other.Stats())
		}
		time.Sleep(10 * time.Millisecond)
	}
	client = newCaller(t, other.Address())
	if reply := client.fetch("a", fetchBody{Cursor: 1, WholeStep: true, WaitMillis: 20000}); len(reply.Samples) != 4 {
		t.Errorf("got %d samples, want 4", len(reply.Samples))
	}
}

func TestOwnersAreSpreadAndFewMoveWhenOneLeaves(t *testing.T) {
	t.Parallel()
	resources := make([]string, 1000)
	for position := range resources {
		resources[position] = trainerResource(fmt.Sprint("t", position))
	}
	owners := func(names ...string) map[string]string {
		chosen := map[string]string{}
		for _, resource := range resources {
			best := ""
			for _, name := range names {
				if best == "" || ownerScore(resource, name) > ownerScore(resource, best) {
					best = name
				}
			}
			chosen[resource] = best
		}
		return chosen
	}
	before, after := owners("c0", "c1", "c2"), owners("c0", "c1")
	counts := map[string]int{}
	for _, resource := range resources {
		counts[before[resource]]++
		if before[resource] != "c2" && before[resource] != after[resource] {
			t.Fatalf("%s moved from live owner %s to %s", resource, before[resource], after[resource])
		}
	}
	for name, count := range counts {
		if count < 250 || count > 420 {
			t.Errorf("%s owns %d of 1000 resources, want 250 to 420", name, count)
		}
	}
}

// TestStepAcknowledgedAfterTakeoverBlocksTheNext fails if a step whose last batch is acknowledged at a new owner stays
// open there. The new owner never hands that batch over itself, and with a staleness bound of 0 the next step cannot
// start before.
func TestStepAcknowledgedAfterTakeoverBlocksTheNext(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, 1)
	f.change(t, [3]string{"copy", "staleness_bound", "0"})
	made := newCaller(t, f.coordinators[0].Address())
	made.openStep("a", 1, 2, 1)
	made.openStep("a", 2, 2, 1)
	first := made.fetch("a", fetchBody{Cursor: 1, WaitMillis: 5000, WholeStep: true})
	if !first.StepComplete {
		t.Fatalf("the reply does not complete the first step: %+v", first)
	}
	f.restartCoordinator(t, 0)
	second := made.fetch("a", fetchBody{Cursor: 2, Acknowledge: 1, WaitMillis: 5000, WholeStep: true})
	if !second.StepComplete || second.Step != 2 {
		t.Fatalf("the second step was not handed over after the takeover: %+v", second)
	}
}

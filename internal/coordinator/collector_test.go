package coordinator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/standin/trainer"
)

// TestOnlyTheWaveOwnerPollsReplicas fails if a coordinator that serves a trainer but does not own the pool's wave polls
// the replicas itself. The long lease keeps ownership stable when the machine pauses.
func TestOnlyTheWaveOwnerPollsReplicas(t *testing.T) {
	t.Parallel()
	f := newLeasedFixture(t, longLease, 2, 2)
	collector, name := f.collectorAndTrainer()
	polled := map[string]uint64{}
	for _, server := range f.coordinators {
		polled[server.config.Name] = server.Stats().LoadPolls
	}
	f.runTrainer(t, trainer.Config{Name: name, PromptsPerStep: 3, SamplesPerPrompt: 2, MaxTokens: 60, MaxSteps: 3, StepsAhead: 1, Seed: 11})
	for _, server := range f.coordinators {
		stats := server.Stats()
		polls := stats.LoadPolls - polled[server.config.Name]
		if owns := server.config.Name == collector; owns != (polls > 0) || owns == (stats.HandedOver > 0) {
			t.Errorf("coordinator %s (wave owner: %v) polled replicas %d times, want polls from the wave owner only: %+v", server.config.Name, owns, polls, stats)
		}
	}
	f.awaitServed(t, 3)
}

// collectorAndTrainer waits until both coordinators list each other. It returns the name of the coordinator that owns
// the pool's wave, and the name of a trainer that the other one owns.
func (f *fixture) collectorAndTrainer() (collector, trainer string) {
	both := []candidate{{name: "c0"}, {name: "c1"}}
	collector = chooseOwner(poolResource("copy"), both).name
	for index := 0; trainer == "" || chooseOwner(trainerResource(trainer), both).name == collector; index++ {
		trainer = fmt.Sprint("trainer-", index)
	}
	for _, server := range f.coordinators {
		for len(server.candidates()) < len(both) {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return collector, trainer
}

// TestReplicasArePolledWhenTheirCollectorIsSilent fails if no coordinator polls the replicas when the collector is a
// live member but does not answer.
func TestReplicasArePolledWhenTheirCollectorIsSilent(t *testing.T) {
	t.Parallel()
	f := newLeasedFixture(t, longLease, 2, 2)
	collector, name := f.collectorAndTrainer()
	follower := f.coordinators[0]
	for _, server := range f.coordinators {
		if server.config.Name == collector {
			server.leaving.Store(true)
		} else {
			follower = server
		}
	}
	before := follower.Stats().LoadPolls
	ctx, cancel := context.WithTimeout(f.context, testTimeout)
	made := f.newTrainer(t, trainer.Config{Name: name, PromptsPerStep: 2, SamplesPerPrompt: 2, MaxTokens: 40, MaxSteps: 1, Seed: 12})
	var training sync.WaitGroup
	training.Go(func() { _ = made.Run(ctx) }) // announcing versions fails, as the collector rejects them
	defer training.Wait()
	defer cancel()
	for follower.Stats().LoadPolls == before {
		if ctx.Err() != nil {
			t.Fatal("no coordinator polls the replicas of a silent collector")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestSilentCollectorIsDetected(t *testing.T) {
	var status collectorStatus
	status.setCollector(time.Second, "c0")
	if status.isSilent(time.Second+collectorTimeout-1) || !status.isSilent(time.Second+collectorTimeout) {
		t.Error("a collector that never answered must count as silent once collectorTimeout has passed, not before")
	}
	status.heardAt, status.poolStatusBody = 4*time.Second, poolStatusBody{Available: 7, Reporting: true}
	if status.setCollector(5*time.Second, "c0"); status.isSilent(4*time.Second+collectorTimeout-1) || !status.isSilent(4*time.Second+collectorTimeout) {
		t.Error("silence must be measured from the last answer")
	}
	status.setCollector(20*time.Second, "c1")
	if status.isSilent(20*time.Second) || status.polledAt != 0 || status.Available != 7 {
		t.Errorf("after a change of collector: got %+v, want the earlier status and an immediate request", status)
	}
}

func TestCollectorStatusListsLeavingReplicas(t *testing.T) {
	p := &pool{available: 3, replicas: map[string]*replicaState{"b": {}, "a": {}, "c": {}}}
	if status := p.buildStatus(); status.Reporting || status.Available != 3 || len(status.Leaving) > 0 {
		t.Errorf("before any report: got %+v, want version 3 and no reports", status)
	}
	p.replicas["b"].applyReport(0, loadReport{Leaving: true}, 0)
	p.replicas["a"].applyReport(0, loadReport{Leaving: true}, 0)
	p.replicas["c"].applyReport(0, loadReport{}, 0)
	if status := p.buildStatus(); !status.Reporting || !slices.Equal(status.Leaving, []string{"a", "b"}) {
		t.Errorf("with two leaving replicas: got %+v, want a and b", status)
	}
}

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

// TestOnlyTheOwnerOfAWaveAsksTheReplicas has a trainer at a coordinator that does not own its pool's wave. The lease
// is long: a pause of the machine must not make another the owner.
func TestOnlyTheOwnerOfAWaveAsksTheReplicas(t *testing.T) {
	t.Parallel()
	f := newLeasedFixture(t, longLease, 2, 2)
	collector, name := f.collectorAndTrainer()
	polled := map[string]uint64{}
	for _, server := range f.coordinators {
		polled[server.config.Name] = server.Stats().LoadPolls
	}
	f.train(t, trainer.Config{Name: name, PromptsPerStep: 3, SamplesPerPrompt: 2, MaxTokens: 60, MaxSteps: 3, StepsAhead: 1, Seed: 11})
	for _, server := range f.coordinators {
		stats := server.Stats()
		polls := stats.LoadPolls - polled[server.config.Name]
		if owns := server.config.Name == collector; owns != (polls > 0) || owns == (stats.HandedOver > 0) {
			t.Errorf("coordinator %s, owner of the wave: %v, polled %d times: %+v", server.config.Name, owns, polls, stats)
		}
	}
	f.awaitServed(t, 3)
}

// collectorAndTrainer waits until two coordinators know each other, and returns the name of the one that owns the
// pool's wave and that of a trainer that the other owns.
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

// TestReplicasArePolledWhenTheirCollectorIsSilent has a collector that stays a live member and says nothing.
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
	training.Go(func() { _ = made.Run(ctx) }) // its versions can't be announced, as the collector refuses
	defer training.Wait()
	defer cancel()
	for follower.Stats().LoadPolls == before {
		if ctx.Err() != nil {
			t.Fatal("nobody polls the replicas")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestNewsOfASilentCollectorIsNotFollowed(t *testing.T) {
	var news collectorNews
	news.follow(time.Second, "c0")
	if news.silent(time.Second+newsSilence-1) || !news.silent(time.Second+newsSilence) {
		t.Error("a collector that never answered has its time to answer, and no more")
	}
	news.heard, news.newsBody = 4*time.Second, newsBody{Available: 7, Reporting: true}
	if news.follow(5*time.Second, "c0"); news.silent(4*time.Second+newsSilence-1) || !news.silent(4*time.Second+newsSilence) {
		t.Error("the silence counts from the last answer")
	}
	news.follow(20*time.Second, "c1")
	if news.silent(20*time.Second) || news.asked != 0 || news.Available != 7 {
		t.Errorf("a new collector: %+v", news)
	}
}

func TestCollectorTellsWhoLeaves(t *testing.T) {
	p := &pool{available: 3, replicas: map[string]*replicaState{"b": {}, "a": {}, "c": {}}}
	if told := p.tell(); told.Reporting || told.Available != 3 || len(told.Leaving) > 0 {
		t.Errorf("before any report: %+v", told)
	}
	p.replicas["b"].take(0, loadReport{Leaving: true}, 0)
	p.replicas["a"].take(0, loadReport{Leaving: true}, 0)
	p.replicas["c"].take(0, loadReport{}, 0)
	if told := p.tell(); !told.Reporting || !slices.Equal(told.Leaving, []string{"a", "b"}) {
		t.Errorf("with two that leave: %+v", told)
	}
}

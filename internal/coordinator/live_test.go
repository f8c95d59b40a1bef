package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestRolloutsArePreemptedByLiveTrafficWithoutLoss fills every slot with rollouts and then sends live requests. It
// fails if a live request is not answered or a preempted sample does not arrive complete. The engines stall the
// rollouts until the live requests are answered, so that no slot becomes free because a rollout ends.
func TestRolloutsArePreemptedByLiveTrafficWithoutLoss(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 1)
	f.change(t, [3]string{"copy", "max_in_flight", "4"})
	config := trainer.Config{Name: "a", PromptsPerStep: 4, SamplesPerPrompt: 4, MaxTokens: 1000, MaxSteps: 1, Seed: 13,
		Prompt: func(step uint64, index int) string { return fmt.Sprintf("%d/%d [tokens=1000] ", step, index) }}
	f.stall(100)
	made := f.newTrainer(t, config)
	ctx, cancel := context.WithTimeout(f.context, testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- made.Run(ctx) }()
	f.await(t, "all slots hold a rollout with tokens", func() bool { return f.coordinators[0].countPartialSamples() == 8 })
	var live sync.WaitGroup
	for index := range 24 {
		live.Go(func() { f.askLive(t, index) })
	}
	live.Wait()
	f.stall(0)
	must(t, <-ended)
	checkTrainer(t, made, config)
	preempted := 0
	for _, dispatch := range f.gateway.Dispatches(0) {
		if dispatch.Class == gateway.ClassRollout && dispatch.Kind != "send" {
			preempted++
		}
	}
	stats := f.coordinators[0].Stats()
	if preempted == 0 && stats.Continued == 0 {
		t.Error("no rollout was preempted, so the test shows nothing")
	}
	if stats.DiscardedTokens != 0 {
		t.Errorf("tokens were discarded: %+v", stats)
	}
}

// askLive repeats a live request until it is answered. A request that waited too long in the queue is rejected with the
// verdict "did not run" and is sent again, as callers do.
func (f *fixture) askLive(t *testing.T, index int) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for f.context.Err() == nil {
		response, err := f.callLive(client, index)
		if err != nil {
			t.Error(err)
			return
		}
		_ = response.Body.Close()
		known, _ := verdict.Parse(response.Header.Get(verdict.Header))
		switch {
		case response.StatusCode == http.StatusOK:
			return
		case response.StatusCode != http.StatusServiceUnavailable || known != verdict.DidNotRun:
			t.Errorf("live request %d: status %d, verdict %s", index, response.StatusCode, known)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fixture) callLive(client *http.Client, index int) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"copy","prompt":"live %d [tokens=20] "}`, index)
	request, err := http.NewRequest(http.MethodPost, "http://"+f.gateway.Address()+completionsPath, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Tamarindring-Deadline", "20s")
	return client.Do(request)
}

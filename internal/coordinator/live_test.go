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

// TestRolloutsYieldToLiveTrafficAndLoseNothing fills every slot with rollouts and then sends live requests:
// each gets its answer, and the samples that gave their slots up arrive whole. The engines hold the rollouts back
// until the live requests are answered, so that none of these finds a slot that a rollout has left by its end.
func TestRolloutsYieldToLiveTrafficAndLoseNothing(t *testing.T) {
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
	f.await(t, "all slots hold a begun rollout", func() bool { return f.coordinators[0].begunSamples() == 8 })
	var live sync.WaitGroup
	for index := range 24 {
		live.Go(func() { f.askLive(t, index) })
	}
	live.Wait()
	f.stall(0)
	must(t, <-ended)
	checkTrainer(t, made, config)
	yielded := 0
	for _, dispatch := range f.gateway.Dispatches(0) {
		if dispatch.Class == gateway.ClassRollout && dispatch.Kind != "send" {
			yielded++
		}
	}
	stats := f.coordinators[0].Stats()
	if yielded == 0 && stats.Continued == 0 {
		t.Error("no rollout gave its slot up: nothing is shown")
	}
	if stats.DiscardedTokens != 0 {
		t.Errorf("stats %+v", stats)
	}
}

// askLive sends a live request until it is answered. It may be refused as "did not run" when the queue's wait
// is over; then it comes again, as callers do.
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

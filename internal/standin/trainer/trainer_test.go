package trainer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/engine/text"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// coordinator is a small correct implementation of the trainers' API that can be made to recordViolation its
// guarantees.
type coordinator struct {
	mutex   sync.Mutex
	version uint64
	pending []Sample                // samples of the open steps that were not sent yet, in order
	step    map[string]uint64       // step by sample id
	sent    map[uint64]fetchReply   // replies by cursor
	spoil   func(reply *fetchReply) // if set, changes each new reply
	down    int                     // number of calls still to be answered with 503
}

func startCoordinator(t *testing.T) (*coordinator, string) {
	t.Helper()
	made := &coordinator{version: 1, step: make(map[string]uint64), sent: make(map[uint64]fetchReply)}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/trainers/{trainer}/steps/{step}", made.open)
	mux.HandleFunc("POST /v1/trainers/{trainer}/fetch", made.fetch)
	mux.HandleFunc("POST /v1/trainers/{trainer}/versions", made.announce)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return made, server.Listener.Addr().String()
}

func (c *coordinator) open(writer http.ResponseWriter, request *http.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.down > 0 {
		c.down--
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var body stepBody
	var step uint64
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = fmt.Sscan(request.PathValue("step"), &step)
	for _, prompt := range body.Prompts {
		for index := range body.SamplesPerPrompt {
			id := fmt.Sprintf("%d/%s/%d", step, prompt.ID, index)
			answer := text.Request{Prompt: prompt.Text, Seed: uint64(index)}.Text()
			c.step[id] = step
			c.pending = append(c.pending, Sample{ID: id, PromptID: prompt.ID, Index: index, Text: answer, Segments: []Segment{
				{WeightVersion: fmt.Sprintf("v%d", c.version), VersionNumber: c.version, TokenCount: text.CountTokens(answer), Replica: "e"},
			}})
		}
	}
	_, _ = writer.Write([]byte(`{}`))
}

func (c *coordinator) fetch(writer http.ResponseWriter, request *http.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var body fetchBody
	if json.NewDecoder(request.Body).Decode(&body) != nil || body.Cursor != body.Acknowledge+1 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	reply, again := c.sent[body.Cursor]
	if !again {
		reply = c.nextBatch(body)
	}
	_ = json.NewEncoder(writer).Encode(reply)
}

func (c *coordinator) nextBatch(body fetchBody) fetchReply {
	bound := uint64(1)
	reply := fetchReply{StalenessBound: &bound}
	if len(c.pending) == 0 {
		return reply
	}
	reply.Cursor, reply.Step = body.Cursor, c.step[c.pending[0].ID]
	for len(c.pending) > 0 && len(reply.Samples) < 3 && c.step[c.pending[0].ID] == reply.Step {
		reply.Samples = append(reply.Samples, c.pending[0])
		c.pending = c.pending[1:]
	}
	if c.spoil != nil {
		c.spoil(&reply)
	}
	c.sent[body.Cursor] = reply
	return reply
}

func (c *coordinator) announce(writer http.ResponseWriter, request *http.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var body versionBody
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if body.VersionNumber <= c.version {
		writer.WriteHeader(http.StatusConflict)
		_, _ = writer.Write([]byte(`{"error":{"code":"conflict"}}`))
		return
	}
	c.version = body.VersionNumber
	_, _ = writer.Write([]byte(`{}`))
}

// train runs a trainer to its end and returns its account.
func train(t *testing.T, address string, change func(*Config)) Stats {
	t.Helper()
	config := Config{
		Name: "t", Coordinators: []string{address}, Pool: "copy", PromptsPerStep: 3, SamplesPerPrompt: 4, MaxSteps: 3,
		TrainTime: time.Millisecond, FetchWait: time.Millisecond, InitialVersionNumber: 1, StepsAhead: 1, Log: logging.Discard(),
	}
	if change != nil {
		change(&config)
	}
	made, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := made.Run(ctx); err != nil {
		t.Fatal(err)
	}
	return made.Stats()
}

// TestCleanRunCountsEverySampleOnce guards against samples that are lost or counted twice when replies are lost, and
// against violations reported for a correct coordinator.
func TestCleanRunCountsEverySampleOnce(t *testing.T) {
	fake, address := startCoordinator(t)
	fake.down, fake.version = 1, 1
	stats := train(t, address, func(config *Config) { config.LoseReplyProbability = 0.4 })
	if stats.Steps != 3 || stats.Samples != 36 || stats.Outstanding != 0 || len(stats.Violations) != 0 {
		t.Errorf("stats %+v, want 3 steps, 36 samples, none outstanding and no violations", stats)
	}
	if stats.LostReplies == 0 || stats.Refetches == 0 || stats.Errors == 0 {
		t.Errorf("stats %+v, want lost replies, refetches and errors", stats)
	}
	// With one step ahead, each step but the first is opened one version before the one that trains on it.
	if !slices.Equal(stats.StalenessCounts, []int{12, 24}) || stats.StalenessExamined != 36 || stats.StalenessMax != 1 {
		t.Errorf("stats %+v, want 12 samples of age 0 and 24 of age 1, all examined", stats)
	}
	if stats.IdleShare <= 0 || stats.IdleShare > 1 {
		t.Errorf("idle share %v, want it in (0, 1]", stats.IdleShare)
	}
}

func TestTakenVersionNumberIsSkipped(t *testing.T) {
	fake, address := startCoordinator(t)
	fake.version = 5
	stats := train(t, address, nil)
	if stats.Steps != 3 || fake.version != 8 {
		t.Errorf("%d steps, version %d, want 3 and 8", stats.Steps, fake.version)
	}
}

// TestViolationsAreRecorded checks that the trainer detects each kind of violation.
func TestViolationsAreRecorded(t *testing.T) {
	var previous Sample
	cases := []struct {
		want  ViolationKind
		spoil func(reply *fetchReply)
	}{
		{ViolationDuplicate, func(reply *fetchReply) {
			if previous.ID != "" {
				reply.Samples = append(reply.Samples, previous)
			}
			previous = reply.Samples[0]
		}},
		{ViolationStale, func(reply *fetchReply) { zero := uint64(0); reply.StalenessBound = &zero }},
		{ViolationSegments, func(reply *fetchReply) { reply.Samples[0].Text += "more " }},
		{ViolationUnknown, func(reply *fetchReply) {
			reply.Samples = append(reply.Samples, Sample{ID: fmt.Sprint("x", reply.Cursor), PromptID: "none"})
		}},
		{ViolationCursor, func(reply *fetchReply) { reply.Cursor += 1000 }},
	}
	for _, test := range cases {
		fake, address := startCoordinator(t)
		fake.spoil = test.spoil
		stats := train(t, address, func(config *Config) {
			if test.want == ViolationCursor {
				config.PromptsPerStep, config.SamplesPerPrompt, config.MaxSteps, config.StepsAhead = 1, 3, 1, 0
			}
		})
		if !slices.ContainsFunc(stats.Violations, func(violation Violation) bool { return violation.Kind == test.want }) {
			t.Errorf("no violation %s in %+v", test.want, stats.Violations)
		}
	}
}

// TestRefetchThatDiffersIsRecorded checks that a repeated fetch may leave out samples, but not change or add any.
func TestRefetchThatDiffersIsRecorded(t *testing.T) {
	trainer := &Trainer{config: Config{Log: logging.Discard()}, ledger: newLedger()}
	first := &fetchReply{Cursor: 1, Samples: []Sample{{ID: "a", Text: "x "}, {ID: "b", Text: "y "}}}
	trainer.compareRefetch(first, &fetchReply{Cursor: 1, Samples: []Sample{{ID: "b", Text: "y "}}})
	if len(trainer.ledger.stats.Violations) != 0 {
		t.Errorf("a left out sample gave violations %+v, want none", trainer.ledger.stats.Violations)
	}
	trainer.compareRefetch(first, &fetchReply{Cursor: 1, Samples: []Sample{{ID: "b", Text: "other "}, {ID: "c"}}})
	if len(trainer.ledger.stats.Violations) != 2 {
		t.Errorf("violations %+v, want one for the changed and one for the added sample", trainer.ledger.stats.Violations)
	}
}

// TestEnginesTruth checks which segments count as generated by the logged executions.
func TestEnginesTruth(t *testing.T) {
	executions := []engine.Execution{
		{Prompt: "p", Seed: 3, Segments: []engine.Segment{{Version: "v2", VersionNumber: 2, From: 5, Count: 2}}},
		{Prompt: "p", Seed: 4, Segments: []engine.Segment{{Version: "v1", VersionNumber: 1, From: 0, Count: 9}}},
		{Prompt: "p", Seed: 3, Segments: []engine.Segment{
			{Version: "v1", VersionNumber: 1, From: 0, Count: 2}, {Version: "v2", VersionNumber: 2, From: 2, Count: 3},
		}},
	}
	answer := text.Request{Prompt: "p", Seed: 3}.Text()
	cases := []struct {
		answer  string
		segment Segment
		want    bool
	}{
		{answer, Segment{WeightVersion: "v1", VersionNumber: 1, FirstToken: 0, TokenCount: 2}, true},
		{answer, Segment{WeightVersion: "v2", VersionNumber: 2, FirstToken: 3, TokenCount: 4}, true},
		{answer, Segment{WeightVersion: "v2", VersionNumber: 2, FirstToken: 1, TokenCount: 4}, false},
		{answer, Segment{WeightVersion: "v1", VersionNumber: 1, FirstToken: 0, TokenCount: 3}, false},
		{strings.ToUpper(answer), Segment{WeightVersion: "v1", VersionNumber: 1, FirstToken: 0, TokenCount: 2}, false},
	}
	for _, test := range cases {
		if got := isGenerated(executions, test.answer, test.segment); got != test.want {
			t.Errorf("segment %+v: got generated %v", test.segment, got)
		}
	}
	if err := NewEngineLogs().Check("p", Sample{Segments: []Segment{{Replica: "e"}}}); err == nil {
		t.Error("a segment of an unknown replica was accepted")
	}
}

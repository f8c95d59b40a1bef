package engine

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// smallParameters returns parameters with little memory and a small batch, so that queueing, preemption and eviction
// occur.
func smallParameters() Parameters {
	parameters := DefaultParameters()
	parameters.MaxBatch = 4
	parameters.Blocks = 24
	parameters.BlockTokens = 4
	parameters.PrefillChunk = 16
	parameters.MaxWaiting = 16
	parameters.StageTime = 30 * time.Millisecond
	parameters.SwapTime = 50 * time.Millisecond
	return parameters
}

func newEngine(t interface{ Fatal(...any) }, parameters Parameters) *Engine {
	made, err := New(parameters, 1)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// prefixOf returns block hashes for a prompt of that many tokens. Requests of one family share their prefix.
func prefixOf(family, tokens, blockTokens int) []uint64 {
	var prefix []uint64
	for block := 0; block < tokens/blockTokens; block++ {
		prefix = append(prefix, uint64(family)<<32|uint64(block+1))
	}
	return prefix
}

// model tracks the requests that a test submitted and the events it received for them.
type model struct {
	wanted   map[uint64]int // tokens requested
	received map[uint64]int // tokens reported
	finished map[uint64]bool
	gone     map[uint64]bool // cancelled or lost
}

// apply checks and records events: none may follow a request's end, and a finish needs all requested tokens.
func (m *model) apply(t *rapid.T, events []Event) {
	for _, event := range events {
		if m.gone[event.Request] || m.finished[event.Request] {
			t.Fatalf("event %+v for a request that is over", event)
		}
		switch event.Kind {
		case EventTokens:
			m.received[event.Request] += event.Count
		case EventFinished:
			m.finished[event.Request] = true
			if m.received[event.Request] != m.wanted[event.Request] {
				t.Fatalf("request %d finished with %d of %d tokens", event.Request, m.received[event.Request], m.wanted[event.Request])
			}
		case EventFailed:
			m.gone[event.Request] = true
		}
	}
}

// checkMemory verifies that every KV block is free, private or a cache entry, that reference counts match the
// sequences, and that the batch limit holds.
func checkMemory(t *rapid.T, e *Engine) {
	pool := &e.pool
	if pool.free < 0 || pool.idle < 0 || pool.free+pool.idle > pool.capacity {
		t.Fatalf("memory out of bounds: free %d, idle %d of %d", pool.free, pool.idle, pool.capacity)
	}
	private := 0
	shared := map[int32]int32{}
	for _, seq := range e.sequences {
		private += seq.privateBlocks
		for _, slot := range seq.sharedSlots {
			shared[slot]++
		}
	}
	if got := pool.free + pool.idle + private + len(shared); got != pool.capacity {
		t.Fatalf("blocks are not conserved: free %d, idle %d, private %d, shared %d of %d", pool.free, pool.idle, private, len(shared), pool.capacity)
	}
	for slot, references := range shared {
		if pool.entries[slot].references != references {
			t.Fatalf("slot %d has %d references, counted %d", slot, pool.entries[slot].references, references)
		}
	}
	if len(e.running) > e.parameters.MaxBatch {
		t.Fatalf("%d sequences run, more than MaxBatch", len(e.running))
	}
}

// TestTokensAndMemoryAreConserved guards against leaked KV blocks, lost or surplus tokens and requests that never end,
// under random submissions, cancellations, swaps with failures, and crashes.
func TestTokensAndMemoryAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngine(t, smallParameters())
		m := model{wanted: map[uint64]int{}, received: map[uint64]int{}, finished: map[uint64]bool{}, gone: map[uint64]bool{}}
		now, id, version := time.Duration(0), uint64(0), uint64(1)
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for step := 0; step < steps; step++ {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2, 3:
				id++
				prompt := rapid.IntRange(1, 40).Draw(t, "prompt")
				request := Request{
					ID: id, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), PromptTokens: prompt,
					OutputTokens: rapid.IntRange(1, 60).Draw(t, "output"),
					Prefix:       prefixOf(rapid.IntRange(0, 2).Draw(t, "family"), prompt, 4),
				}
				if e.Submit(now, request) == nil {
					m.wanted[id] = request.OutputTokens
				}
			case 4:
				victim := uint64(rapid.IntRange(0, int(id)).Draw(t, "victim"))
				if e.Cancel(now, victim) == nil {
					m.gone[victim] = true
				}
			case 5:
				version++
				e.FailNextSwap(SwapFailure(rapid.IntRange(0, 3).Draw(t, "failure")))
				if err := e.SwapWeights(now, version, 1); err != nil {
					t.Fatal(err)
				}
			case 6:
				if rapid.IntRange(0, 3).Draw(t, "crash") > 0 {
					continue
				}
				e.Crash(now)
				if _, busy := e.NextEvent(); busy {
					t.Fatal("a crashed engine has something to do")
				}
				e.Restart(now, version)
				for request := range m.wanted {
					m.gone[request] = m.gone[request] || !m.finished[request]
				}
			default:
				now += time.Duration(rapid.IntRange(0, 200).Draw(t, "millis")) * time.Millisecond
				m.apply(t, e.Advance(now))
			}
			checkMemory(t, e)
		}
		for round := 0; round < 100000; round++ {
			at, ok := e.NextEvent()
			if !ok {
				break
			}
			m.apply(t, e.Advance(at))
		}
		checkMemory(t, e)
		for request := range m.wanted {
			if !m.finished[request] && !m.gone[request] {
				t.Fatalf("request %d never ended", request)
			}
		}
	})
}

// TestUrgentRequestPreemptsWithinOneStep guards against an urgent request that waits behind running sequences of a
// lower priority for longer than the step in which it arrived.
func TestUrgentRequestPreemptsWithinOneStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngine(t, smallParameters())
		for id := uint64(1); id <= 8; id++ {
			if err := e.Submit(0, Request{ID: id, Priority: 5, PromptTokens: rapid.IntRange(1, 20).Draw(t, "prompt"), OutputTokens: 70}); err != nil {
				t.Fatal(err)
			}
		}
		now := time.Duration(rapid.IntRange(0, 1000).Draw(t, "millis")) * time.Millisecond
		e.Advance(now)
		urgent := Request{ID: 100, Priority: 1, PromptTokens: rapid.IntRange(1, 12).Draw(t, "urgent"), OutputTokens: 3}
		if err := e.Submit(now, urgent); err != nil {
			t.Fatal(err)
		}
		boundary, _ := e.NextEvent()
		e.Advance(boundary)
		if !e.sequences[100].running {
			t.Fatal("the urgent request does not run after the step in which it arrived")
		}
		end, _ := e.NextEvent()
		for _, event := range e.Advance(end) {
			if event.Kind == EventTokens && event.Request == 100 {
				return
			}
		}
		t.Fatal("the urgent request got no token from its first step")
	})
}

// TestVersionPerTokenAcrossSwap guards against tokens that are reported under another version than the one that
// generated them.
func TestVersionPerTokenAcrossSwap(t *testing.T) {
	e := newEngine(t, smallParameters())
	if err := e.Submit(0, Request{ID: 1, PromptTokens: 4, OutputTokens: 40}); err != nil {
		t.Fatal(err)
	}
	if err := e.SwapWeights(100*time.Millisecond, 2, 1); err != nil {
		t.Fatal(err)
	}
	var swappedAt time.Duration
	byVersion := map[uint64]int{}
	for {
		at, ok := e.NextEvent()
		if !ok {
			break
		}
		for _, event := range e.Advance(at) {
			switch event.Kind {
			case EventSwapped:
				swappedAt = event.At
			case EventTokens:
				byVersion[event.Version] += event.Count
				if (swappedAt > 0) != (event.Version == 2) {
					t.Fatalf("token at %v under version %d, swapped at %v", event.At, event.Version, swappedAt)
				}
			}
		}
	}
	if byVersion[1] == 0 || byVersion[2] == 0 || byVersion[1]+byVersion[2] != 40 {
		t.Fatalf("tokens by version: %v, want some under versions 1 and 2, 40 in total", byVersion)
	}
}

// TestFailedSwaps checks the effects of each injected swap failure, and that the next swap repairs the engine.
func TestFailedSwaps(t *testing.T) {
	for _, failure := range []SwapFailure{SwapKeepsOld, SwapLosesWeights, SwapReportsFalseSuccess} {
		e := newEngine(t, smallParameters())
		if err := e.Submit(0, Request{ID: 1, PromptTokens: 4, OutputTokens: 20}); err != nil {
			t.Fatal(err)
		}
		e.FailNextSwap(failure)
		if err := e.SwapWeights(0, 2, 1); err != nil {
			t.Fatal(err)
		}
		lost := false
		for _, event := range e.Advance(time.Minute) {
			lost = lost || event.Kind == EventFailed
			if event.Kind == EventTokens && event.Version != 1 {
				t.Errorf("failure %d: token under version %d", failure, event.Version)
			}
		}
		if lost != (failure == SwapLosesWeights) {
			t.Errorf("failure %d: running request lost is %v, want true for SwapLosesWeights only", failure, lost)
		}
		refused := errors.Is(e.Submit(time.Minute, Request{ID: 2, PromptTokens: 1, OutputTokens: 1}), ErrRefusing)
		if refused != (failure == SwapLosesWeights) {
			t.Errorf("failure %d: new request rejected is %v, want true for SwapLosesWeights only", failure, refused)
		}
		if e.Load(time.Minute).Version != 1 {
			t.Errorf("failure %d: version %d, want 1", failure, e.Version())
		}
		if err := e.SwapWeights(time.Minute, 3, 1); err != nil {
			t.Fatal(err)
		}
		e.Advance(2 * time.Minute)
		if load := e.Load(2 * time.Minute); load.Version != 3 || load.Refusing {
			t.Errorf("failure %d: not repaired by the next swap: %+v", failure, load)
		}
	}
}

// TestStaleFences guards against orders of a superseded controller that overwrite those of its successor.
func TestStaleFences(t *testing.T) {
	e := newEngine(t, smallParameters())
	if err := e.SwapWeights(0, 5, 7); err != nil {
		t.Fatal(err)
	}
	if err := e.SwapWeights(0, 6, 6); !errors.Is(err, ErrStaleFence) {
		t.Errorf("lower fence: %v, want ErrStaleFence", err)
	}
	if err := e.SwapWeights(0, 4, 7); !errors.Is(err, ErrStaleFence) {
		t.Errorf("older version under the same fence: %v, want ErrStaleFence", err)
	}
	if err := e.SwapWeights(0, 5, 7); err != nil {
		t.Errorf("repeated order: %v", err)
	}
	if err := e.SwapWeights(0, 4, 8); err != nil {
		t.Errorf("rollback under a higher fence: %v", err)
	}
}

func TestPrefixCacheSavesPrefill(t *testing.T) {
	e := newEngine(t, smallParameters())
	prefix := prefixOf(1, 20, 4)
	for id := uint64(1); id <= 2; id++ {
		if err := e.Submit(e.now, Request{ID: id, PromptTokens: 20, OutputTokens: 2, Prefix: prefix}); err != nil {
			t.Fatal(err)
		}
		e.Advance(e.now + time.Second)
	}
	load := e.Load(e.now)
	if load.PrefixHits != 16 || load.Prefilled != 24 {
		t.Errorf("hits %d, prefilled %d, want 16 and 24", load.PrefixHits, load.Prefilled)
	}
	events := e.CacheEvents(0, 100)
	if len(events) != 5 || events[0].Kind != CacheStored || events[4].Sequence != 5 {
		t.Errorf("cache events %+v, want 5 events, the first of kind stored", events)
	}
}

func TestRefusals(t *testing.T) {
	e := newEngine(t, smallParameters())
	cases := []struct {
		request Request
		want    error
	}{
		{Request{ID: 1, PromptTokens: 90, OutputTokens: 10}, ErrTooLarge},
		{Request{ID: 1, PromptTokens: 1}, ErrEmpty},
		{Request{ID: 1, PromptTokens: 1, OutputTokens: 1}, nil},
		{Request{ID: 1, PromptTokens: 1, OutputTokens: 1}, ErrDuplicate},
	}
	for _, test := range cases {
		if err := e.Submit(0, test.request); !errors.Is(err, test.want) {
			t.Errorf("%+v: %v, want %v", test.request, err, test.want)
		}
	}
	for id := uint64(2); id <= 16; id++ {
		if err := e.Submit(0, Request{ID: id, PromptTokens: 1, OutputTokens: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if err := e.Submit(0, Request{ID: 99, PromptTokens: 1, OutputTokens: 1}); !errors.Is(err, ErrOverloaded) {
		t.Errorf("full queue: %v, want ErrOverloaded", err)
	}
	e.Crash(0)
	if err := e.Submit(0, Request{ID: 100, PromptTokens: 1, OutputTokens: 1}); !errors.Is(err, ErrCrashed) {
		t.Errorf("crashed: %v, want ErrCrashed", err)
	}
	e.Restart(0, 9)
	if err := e.Submit(0, Request{ID: 1, PromptTokens: 1, OutputTokens: 1}); err != nil || e.Version() != 9 {
		t.Errorf("after restart: %v, version %d, want no error and version 9", err, e.Version())
	}
}

func TestParseParameters(t *testing.T) {
	parsed, err := ParseParameters("e.yaml", []byte("step_base: 40ms\nmax_batch: 8\n"))
	if err != nil || parsed.StepBase != 40*time.Millisecond || parsed.MaxBatch != 8 || parsed.BlockTokens != 16 {
		t.Errorf("parsed %+v, %v, want step_base 40ms, max_batch 8 and the default block_tokens 16", parsed, err)
	}
	for content, want := range map[string]string{
		"max_batch: 8\nkv_blocks: -3\n": "e.yaml:2: kv_blocks",
		"step_bace: 10ms\n":             "e.yaml:1: step_bace",
		"step_base: -1s\n":              "e.yaml:1: step_base",
		"swap_time: long\n":             "e.yaml:1: swap_time",
	} {
		if _, err := ParseParameters("e.yaml", []byte(content)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", content, err, want)
		}
	}
}

// schedule is a random sequence of calls that can be replayed. Call i happens at at[i] and is a swap if swap[i] is set,
// otherwise a submission of request[i].
type schedule struct {
	at      []time.Duration
	request []Request
	swap    []bool
}

// outcome holds those results of a schedule that must not depend on how often the engine was advanced.
type outcome struct {
	finished map[uint64]time.Duration
	tokens   map[[2]uint64]int // by request and version
	steps    uint64
	swapped  time.Duration
}

// runSchedule replays a schedule. Between its calls it advances the engine to the times that step returns.
func runSchedule(t *rapid.T, drawn schedule, step func(e *Engine, until time.Duration) time.Duration) outcome {
	e := newEngine(t, smallParameters())
	result := outcome{finished: map[uint64]time.Duration{}, tokens: map[[2]uint64]int{}}
	collect := func(events []Event) {
		for _, event := range events {
			switch event.Kind {
			case EventTokens:
				result.tokens[[2]uint64{event.Request, event.Version}] += event.Count
			case EventFinished:
				result.finished[event.Request] = event.At
			case EventSwapped:
				result.swapped = event.At
			}
		}
	}
	advance := func(until time.Duration) {
		for e.now < until {
			collect(e.Advance(min(step(e, until), until)))
		}
	}
	for index, at := range drawn.at {
		advance(at)
		collect(e.Advance(at))
		if drawn.swap[index] {
			if err := e.SwapWeights(at, uint64(index+2), 1); err != nil {
				t.Fatal(err)
			}
			continue
		}
		_ = e.Submit(at, drawn.request[index])
	}
	advance(e.now + 10*time.Minute)
	result.steps = e.steps
	return result
}

// TestCoarseAdvancesEqualFineOnes guards against results that depend on how often Advance is called: at every event,
// only at milestones, or only at the calls of the schedule.
func TestCoarseAdvancesEqualFineOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var drawn schedule
		now := time.Duration(0)
		for index := range rapid.IntRange(1, 12).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond
			drawn.at = append(drawn.at, now)
			drawn.swap = append(drawn.swap, rapid.IntRange(0, 5).Draw(t, "swap") == 0)
			drawn.request = append(drawn.request, Request{
				ID: uint64(index + 1), Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
				PromptTokens: rapid.IntRange(1, 30).Draw(t, "prompt"), OutputTokens: rapid.IntRange(1, 60).Draw(t, "output"),
			})
		}
		fine := runSchedule(t, drawn, func(e *Engine, until time.Duration) time.Duration {
			if at, ok := e.NextEvent(); ok && at > e.now {
				return at
			}
			return until
		})
		coarse := runSchedule(t, drawn, func(_ *Engine, until time.Duration) time.Duration { return until })
		milestones := runSchedule(t, drawn, func(e *Engine, until time.Duration) time.Duration {
			if at, ok := e.NextMilestone(); ok && at > e.now {
				return at
			}
			return until
		})
		if !reflect.DeepEqual(fine, coarse) {
			t.Fatalf("advanced at every event %+v, only at the calls %+v; want equal outcomes", fine, coarse)
		}
		if !reflect.DeepEqual(fine, milestones) {
			t.Fatalf("advanced at every event %+v, only at milestones %+v; want equal outcomes", fine, milestones)
		}
	})
}

// TestMilestoneIsNoLaterThanTheNextFinish guards against a milestone after an event that a caller must see in time.
func TestMilestoneIsNoLaterThanTheNextFinish(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngine(t, smallParameters())
		for id := uint64(1); id <= 6; id++ {
			if err := e.Submit(0, Request{ID: id, PromptTokens: rapid.IntRange(1, 20).Draw(t, "prompt"), OutputTokens: rapid.IntRange(1, 50).Draw(t, "output")}); err != nil {
				t.Fatal(err)
			}
		}
		finished := 0
		for finished < 6 {
			milestone, ok := e.NextMilestone()
			if !ok {
				t.Fatalf("no milestone with %d of 6 requests finished", finished)
			}
			for _, event := range e.Advance(milestone) {
				if event.Kind == EventTokens {
					continue
				}
				if event.At < milestone {
					t.Fatalf("event %+v before the milestone %v", event, milestone)
				}
				if event.Kind == EventFinished {
					finished++
				}
			}
		}
	})
}

func TestExportedCacheSavesPrefillElsewhere(t *testing.T) {
	from, to := newEngine(t, smallParameters()), newEngine(t, smallParameters())
	if err := from.Submit(0, Request{ID: 1, PromptTokens: 40, OutputTokens: 30}); err != nil {
		t.Fatal(err)
	}
	if waiting, err := from.Export(0, 1); err != nil || waiting != (ExportedKV{}) {
		t.Errorf("a waiting request exported %+v, %v, want an empty KV cache", waiting, err)
	}
	if err := from.Submit(0, Request{ID: 2, PromptTokens: 40, OutputTokens: 30}); err != nil {
		t.Fatal(err)
	}
	from.Advance(400 * time.Millisecond)
	exported, err := from.Export(400*time.Millisecond, 2)
	if err != nil || exported.Generated == 0 || exported.Tokens != 40+exported.Generated-1 {
		t.Fatalf("exported %+v, %v", exported, err)
	}
	if _, err := from.Export(400*time.Millisecond, 2); !errors.Is(err, ErrUnknown) {
		t.Errorf("second export: %v, want ErrUnknown", err)
	}
	from.Advance(time.Second)
	if load := from.Load(time.Second); load.Running != 0 || load.BlocksHeld != 0 {
		t.Errorf("load after the export %+v, want no running request and no blocks held", load)
	}
	rest := Request{ID: 1, PromptTokens: 40 + exported.Generated, OutputTokens: 30 - exported.Generated, ImportedTokens: exported.Tokens}
	if err := to.Submit(0, rest); err != nil {
		t.Fatal(err)
	}
	to.Advance(time.Minute)
	if load := to.Load(time.Minute); load.Prefilled != 1 || load.Tokens != uint64(30-exported.Generated) {
		t.Errorf("load of the importer %+v, want 1 prefilled token and only the rest of the output generated", load)
	}
}

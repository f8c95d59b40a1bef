package ledger

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestAbandonedFetchEmptiesABatchThatWasHandedOver: one owner hands a batch over for the trainer's newest fetch, the
// next one still serves an older fetch and finds the samples too old.
func TestAbandonedFetchEmptiesABatchThatWasHandedOver(t *testing.T) {
	const id = "t/1/p/0"
	ledger := New()
	must := func(result *wire.SampleResult, err error) *wire.SampleResult {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	must(ledger.Open(&wire.StepOpen{Trainer: "t", Step: 1, SamplesPerPrompt: 1, Prompts: []*wire.Prompt{{Id: "p", Text: "x", MaxTokens: 1}}}))
	must(ledger.Store(&wire.SampleStore{Fence: 1, Sample: &wire.Sample{Id: id, Trainer: "t", Step: 1, PromptId: "p"}}))
	seal := func(fence, fetch uint64) *wire.SampleResult {
		return must(ledger.Seal(&wire.BatchSeal{Trainer: "t", Cursor: 1, Step: 1, SampleIds: []string{id}, Fence: fence, Fetch: fetch}))
	}
	discard := func(fence, fetch uint64) *wire.SampleResult {
		return must(ledger.Discard(&wire.BatchDiscard{Trainer: "t", SampleIds: []string{id}, Editions: []uint32{0}, Fence: fence, Fetch: fetch}))
	}
	if result := seal(1, 4); !result.GetAccepted() {
		t.Fatalf("seal: %v", result)
	}
	if result := seal(1, 5); !result.GetAccepted() || len(result.GetSampleIds()) != 1 {
		t.Fatalf("seal for a newer fetch: %v", result)
	}
	if result := discard(2, 4); result.GetAccepted() || result.GetReason() != ReasonStaleFetch {
		t.Fatalf("a discard for an abandoned fetch: %v", result)
	}
	if result := seal(2, 4); result.GetAccepted() || result.GetReason() != ReasonStaleFetch {
		t.Fatalf("a seal for an abandoned fetch: %v", result)
	}
	if result := must(ledger.Acknowledge(&wire.BatchAcknowledge{Trainer: "t", Cursor: 1})); !result.GetAccepted() {
		t.Fatalf("the trainer has the batch: %v", result)
	}
	if view := ledger.View("t", true); view.GetAcknowledgedCursor() != 1 {
		t.Fatalf("view %v", view)
	}
}

// TestNewestFetchCantEmptyItsBatch: the trainer asks again because the reply was lost, and the samples are too old.
func TestNewestFetchCantEmptyItsBatch(t *testing.T) {
	const id = "t/1/p/0"
	ledger := New()
	_, _ = ledger.Open(&wire.StepOpen{Trainer: "t", Step: 1, SamplesPerPrompt: 1, Prompts: []*wire.Prompt{{Id: "p", Text: "x", MaxTokens: 1}}})
	_, _ = ledger.Store(&wire.SampleStore{Fence: 1, Sample: &wire.Sample{Id: id, Trainer: "t", Step: 1, PromptId: "p"}})
	_, _ = ledger.Seal(&wire.BatchSeal{Trainer: "t", Cursor: 1, Step: 1, SampleIds: []string{id}, Fence: 1, Fetch: 4})
	result, err := ledger.Discard(&wire.BatchDiscard{Trainer: "t", SampleIds: []string{id}, Editions: []uint32{0}, Fence: 2, Fetch: 5})
	if err != nil || !result.GetAccepted() || len(result.GetSampleIds()) != 0 {
		t.Fatalf("%v, %v", result, err)
	}
}

// TestRepeatedCallEmptiesABatchAtTheNextOwner: something on the way repeats a call with its number, after the owner
// before has handed the batch over for it.
func TestRepeatedCallEmptiesABatchAtTheNextOwner(t *testing.T) {
	const id = "t/1/p/0"
	ledger := New()
	_, _ = ledger.Open(&wire.StepOpen{Trainer: "t", Step: 1, SamplesPerPrompt: 1, Prompts: []*wire.Prompt{{Id: "p", Text: "x", MaxTokens: 1}}})
	_, _ = ledger.Store(&wire.SampleStore{Fence: 1, Sample: &wire.Sample{Id: id, Trainer: "t", Step: 1, PromptId: "p"}})
	seal := func(fence, fetch uint64) *wire.SampleResult {
		result, err := ledger.Seal(&wire.BatchSeal{Trainer: "t", Cursor: 1, Step: 1, SampleIds: []string{id}, Fence: fence, Fetch: fetch})
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	discard := func(fence, fetch uint64) *wire.SampleResult {
		result, err := ledger.Discard(&wire.BatchDiscard{Trainer: "t", SampleIds: []string{id}, Editions: []uint32{0}, Fence: fence, Fetch: fetch})
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	if first, again := seal(1, 5), seal(1, 5); !first.GetAccepted() || !again.GetAccepted() {
		t.Fatalf("%v, %v", first, again)
	}
	restored := New()
	if err := restored.Restore(ledger.Snapshot()); err != nil {
		t.Fatal(err)
	}
	ledger = restored
	for _, result := range []*wire.SampleResult{discard(2, 5), seal(2, 5), discard(2, 0)} {
		if result.GetAccepted() || result.GetReason() != ReasonStaleFetch || result.GetFetch() != 5 {
			t.Errorf("accepted at the next owner: %v", result)
		}
	}
	// A trainer that has no numbers any more is not held up.
	if sealed, emptied := seal(2, 0), discard(2, 0); !sealed.GetAccepted() || !emptied.GetAccepted() || len(emptied.GetSampleIds()) > 0 {
		t.Errorf("without a number: %v, %v", sealed, emptied)
	}
}

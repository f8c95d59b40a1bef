package ledger

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestAbandonedFetchCannotEmptyASentBatch guards against losing samples that a trainer has received. One owner sends a
// batch for the trainer's newest fetch. The next owner still serves an older fetch and finds the samples too old. Its
// discard and seal must be refused.
func TestAbandonedFetchCannotEmptyASentBatch(t *testing.T) {
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
		t.Fatalf("seal got %v, want it accepted", result)
	}
	if result := seal(1, 5); !result.GetAccepted() || len(result.GetSampleIds()) != 1 {
		t.Fatalf("seal for a newer fetch got %v, want it accepted with one sample", result)
	}
	if result := discard(2, 4); result.GetAccepted() || result.GetReason() != ReasonStaleFetch {
		t.Fatalf("discard for an abandoned fetch got %v, want a stale fetch", result)
	}
	if result := seal(2, 4); result.GetAccepted() || result.GetReason() != ReasonStaleFetch {
		t.Fatalf("seal for an abandoned fetch got %v, want a stale fetch", result)
	}
	if result := must(ledger.Acknowledge(&wire.BatchAcknowledge{Trainer: "t", Cursor: 1})); !result.GetAccepted() {
		t.Fatalf("acknowledgement of the received batch got %v, want it accepted", result)
	}
	if view := ledger.View("t", true); view.GetAcknowledgedCursor() != 1 {
		t.Fatalf("got view %v, want cursor 1 acknowledged", view)
	}
}

// TestNewestFetchMayEmptyItsBatch checks that a newer fetch may discard the samples of a sealed batch. The trainer
// fetches again because the reply was lost, and the samples have become too old since.
func TestNewestFetchMayEmptyItsBatch(t *testing.T) {
	const id = "t/1/p/0"
	ledger := New()
	_, _ = ledger.Open(&wire.StepOpen{Trainer: "t", Step: 1, SamplesPerPrompt: 1, Prompts: []*wire.Prompt{{Id: "p", Text: "x", MaxTokens: 1}}})
	_, _ = ledger.Store(&wire.SampleStore{Fence: 1, Sample: &wire.Sample{Id: id, Trainer: "t", Step: 1, PromptId: "p"}})
	_, _ = ledger.Seal(&wire.BatchSeal{Trainer: "t", Cursor: 1, Step: 1, SampleIds: []string{id}, Fence: 1, Fetch: 4})
	result, err := ledger.Discard(&wire.BatchDiscard{Trainer: "t", SampleIds: []string{id}, Editions: []uint32{0}, Fence: 2, Fetch: 5})
	if err != nil || !result.GetAccepted() || len(result.GetSampleIds()) != 0 {
		t.Fatalf("discard got %v, %v, want it accepted and no sample left", result, err)
	}
}

// TestDuplicateCallCannotEmptyABatchAtTheNextOwner guards against losing samples that a trainer has received. A call is
// duplicated in transit and reaches the next owner after the former owner has sent the batch for the same fetch
// number. The next owner's discard and seal must be refused, also after a restore.
func TestDuplicateCallCannotEmptyABatchAtTheNextOwner(t *testing.T) {
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
		t.Fatalf("seal got %v, its resend %v, want both accepted", first, again)
	}
	restored := New()
	if err := restored.Restore(ledger.Snapshot()); err != nil {
		t.Fatal(err)
	}
	ledger = restored
	for _, result := range []*wire.SampleResult{discard(2, 5), seal(2, 5), discard(2, 0)} {
		if result.GetAccepted() || result.GetReason() != ReasonStaleFetch || result.GetFetch() != 5 {
			t.Errorf("next owner's call got %v, want a refusal as stale with fetch 5", result)
		}
	}
	// A trainer that no longer sends fetch numbers is not blocked.
	if sealed, emptied := seal(2, 0), discard(2, 0); !sealed.GetAccepted() || !emptied.GetAccepted() || len(emptied.GetSampleIds()) > 0 {
		t.Errorf("without a fetch number, seal got %v and discard %v, want both accepted and no sample left", sealed, emptied)
	}
}

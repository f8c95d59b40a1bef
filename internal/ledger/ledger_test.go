package ledger

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

func openStep(number uint64) *wire.StepOpen {
	return &wire.StepOpen{Trainer: "t", Step: number, SamplesPerPrompt: 2, Pool: "chat",
		Prompts: []*wire.Prompt{{Id: "a/b", Text: "x", MaxTokens: 1}, {Id: "c", Text: "y", MaxTokens: 1}}}
}

func stepSlots(number uint64) []string {
	var ids []string
	for _, prompt := range openStep(number).GetPrompts() {
		for index := range uint32(2) {
			ids = append(ids, SlotID{Trainer: "t", Step: number, Prompt: prompt.GetId(), Index: index}.String())
		}
	}
	return ids
}

func sampleOf(text string, edition uint32, content string) *wire.Sample {
	id, _ := ParseSlotID(text)
	return &wire.Sample{Id: text, Trainer: id.Trainer, Step: id.Step, PromptId: id.Prompt, Index: id.Index, Edition: edition, Text: content}
}

// exchange drives one ledger with the commands of coordinators that take over from each other and of a trainer,
// including resends. The model is the trainer, with the number of samples received by slot.
type exchange struct {
	ledger    *Ledger
	fence     uint64 // token of the current coordinator
	lastSeal  *wire.BatchSeal
	fetched   []string          // samples of the batch that the trainer has fetched and not acknowledged
	cursor    uint64            // of fetched
	received  map[string]int    // deliveries by slot
	discarded map[string]uint32 // edition by slot
	stale     int               // stale commands that were refused
}

func (e *exchange) step(t *rapid.T) {
	ids := append(stepSlots(1), stepSlots(2)...)
	id := rapid.SampledFrom(ids).Draw(t, "id")
	switch rapid.IntRange(0, 6).Draw(t, "action") {
	case 0:
		e.must(t, e.call(e.ledger.Open(openStep(uint64(rapid.IntRange(1, 2).Draw(t, "step"))))))
	case 1:
		edition := e.discarded[id] - min(e.discarded[id], uint32(rapid.IntRange(0, 1).Draw(t, "old edition")))
		result := e.call(e.ledger.Store(&wire.SampleStore{Sample: sampleOf(id, edition, fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "text"))), Fence: e.fence}))
		if result.GetAccepted() && edition != e.discarded[id] {
			t.Fatalf("edition %d of %s was stored, want it refused because %d is current", edition, id, e.discarded[id])
		}
	case 2, 3:
		e.seal(t, rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 1, 3, rapid.ID).Draw(t, "batch"))
	case 4:
		e.discard(t, id)
	case 5:
		e.fetchOrAcknowledge(t)
	default:
		e.takeOver(t)
	}
}

func (e *exchange) call(result *wire.SampleResult, err error) *wire.SampleResult {
	if err != nil {
		panic(err)
	}
	return result
}

func (e *exchange) must(t *rapid.T, result *wire.SampleResult) {
	if !result.GetAccepted() {
		t.Fatal(result)
	}
}

func (e *exchange) seal(t *rapid.T, batch []string) {
	view := e.ledger.View("t", false)
	id, _ := ParseSlotID(batch[0])
	seal := &wire.BatchSeal{Trainer: "t", Cursor: view.GetAcknowledgedCursor() + 1, Step: id.Step, SampleIds: batch, Fence: e.fence}
	if e.lastSeal != nil && rapid.Bool().Draw(t, "resend") {
		seal = proto.CloneOf(e.lastSeal)
		seal.Fence = e.fence
	}
	result := e.call(e.ledger.Seal(seal))
	if result.GetAccepted() {
		e.lastSeal = seal
		if view.GetSealedCursor() == seal.GetCursor() && fmt.Sprint(view.GetSealedIds()) != fmt.Sprint(result.GetSampleIds()) {
			t.Fatalf("sealed %v, then got %v for the same cursor, want the same samples", view.GetSealedIds(), result.GetSampleIds())
		}
	}
}

// discard discards one slot, unless the trainer has fetched it, as a coordinator does.
func (e *exchange) discard(t *rapid.T, id string) {
	for _, fetched := range e.fetched {
		if fetched == id {
			return
		}
	}
	before := e.ledger.View("t", false).GetDiscardedTokens()
	command := &wire.BatchDiscard{Trainer: "t", SampleIds: []string{id}, Editions: []uint32{e.discarded[id]}, DiscardedTokens: 5, Fence: e.fence}
	e.ledger.Discard(command)
	if e.ledger.View("t", false).GetDiscardedTokens() > before {
		e.discarded[id]++
		if again := e.call(e.ledger.Discard(command)); e.ledger.View("t", false).GetDiscardedTokens() != before+5 {
			t.Fatalf("a resent discard counted twice: %v", again)
		}
	}
}

// fetchOrAcknowledge is the trainer's step. It fetches the sealed batch, possibly again, or acknowledges it.
func (e *exchange) fetchOrAcknowledge(t *rapid.T) {
	view := e.ledger.View("t", true)
	if len(e.fetched) == 0 || rapid.Bool().Draw(t, "fetch again") {
		if len(e.fetched) > 0 && fmt.Sprint(e.fetched) != fmt.Sprint(view.GetSealedIds()) {
			t.Fatalf("fetched %v, then %v for the same cursor, want the same samples", e.fetched, view.GetSealedIds())
		}
		e.fetched, e.cursor = view.GetSealedIds(), view.GetSealedCursor()
		return
	}
	for range 2 {
		e.must(t, e.call(e.ledger.Acknowledge(&wire.BatchAcknowledge{Trainer: "t", Cursor: e.cursor})))
	}
	for _, id := range e.fetched {
		if e.received[id]++; e.received[id] > 1 {
			t.Fatalf("%s was delivered twice", id)
		}
	}
	e.fetched = nil
}

// takeOver restores the ledger from its snapshot and replaces the coordinator by one with a higher token. The former
// coordinator's next command must be refused.
func (e *exchange) takeOver(t *rapid.T) {
	before := e.ledger.Snapshot()
	restored := NewUnsafe(e.ledger.unsafe)
	if err := restored.Restore(proto.CloneOf(before)); err != nil || !proto.Equal(before, restored.Snapshot()) {
		t.Fatalf("the snapshot after a restore differs from the original (error %v)", err)
	}
	e.ledger = restored
	e.fence++
	if len(e.ledger.Trainers()) == 0 {
		return
	}
	e.call(e.ledger.Discard(&wire.BatchDiscard{Trainer: "t", SampleIds: []string{"t/9/x/0"}, Fence: e.fence}))
	old := e.call(e.ledger.Store(&wire.SampleStore{Sample: sampleOf(stepSlots(1)[0], 0, "old"), Fence: e.fence - 1}))
	if old.GetReason() != ReasonStaleFence {
		t.Fatalf("a former coordinator's command got %v, want a stale fence", old)
	}
	e.stale++
}

// finish delivers all remaining samples and checks that every slot was delivered exactly once.
func (e *exchange) finish(t *rapid.T) {
	e.fetched = nil
	for _, number := range []uint64{1, 2} {
		e.must(t, e.call(e.ledger.Open(openStep(number))))
		for _, id := range stepSlots(number) {
			e.ledger.Store(&wire.SampleStore{Sample: sampleOf(id, e.discarded[id], "last"), Fence: e.fence})
		}
	}
	for range 20 {
		view := e.ledger.View("t", true)
		if len(view.GetSealedIds()) == 0 && len(view.GetSteps()) > 0 {
			stored := view.GetSteps()[0].GetStored()
			e.must(t, e.call(e.ledger.Seal(&wire.BatchSeal{Trainer: "t", Cursor: view.GetAcknowledgedCursor() + 1, Step: stored[0].GetStep(),
				SampleIds: []string{stored[0].GetId()}, Fence: e.fence})))
		}
		e.fetched = nil
		if view = e.ledger.View("t", true); len(view.GetSealedIds()) > 0 {
			e.fetched, e.cursor = view.GetSealedIds(), view.GetSealedCursor()
			e.ledger.Acknowledge(&wire.BatchAcknowledge{Trainer: "t", Cursor: e.cursor})
			for _, id := range e.fetched {
				e.received[id]++
			}
		}
	}
	for _, id := range append(stepSlots(1), stepSlots(2)...) {
		if e.received[id] != 1 {
			t.Fatalf("%s was delivered %d times, want once", id, e.received[id])
		}
	}
	if view := e.ledger.View("t", true); view.GetDeliveredSamples() != 8 || len(view.GetSteps()) != 0 {
		t.Fatalf("got view %v at the end, want 8 delivered samples and no open step", view)
	}
}

func runExchange(t *rapid.T, unsafe Unsafe) {
	e := &exchange{ledger: NewUnsafe(unsafe), received: map[string]int{}, discarded: map[string]uint32{}}
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		e.step(t)
	}
	e.finish(t)
}

// TestEverySlotIsDeliveredOnce guards against samples that are lost or delivered twice after resends, discards and
// takeovers.
func TestEverySlotIsDeliveredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runExchange(t, Unsafe{}) })
}

func TestStepOpenIsIdempotent(t *testing.T) {
	ledger := New()
	for range 2 {
		if result, err := ledger.Open(openStep(1)); err != nil || !result.GetAccepted() {
			t.Fatal(result, err)
		}
	}
	other := openStep(1)
	other.Prompts[1].Text = "changed"
	if result, _ := ledger.Open(other); result.GetReason() != ReasonOtherStep {
		t.Fatal(result)
	}
	for _, bad := range []*wire.StepOpen{nil, {Trainer: "a/b", SamplesPerPrompt: 1, Prompts: openStep(1).Prompts}, {Trainer: "t"},
		{Trainer: "t", SamplesPerPrompt: 1, Prompts: []*wire.Prompt{{Id: "a"}, {Id: "a"}}}} {
		if _, err := ledger.Open(bad); err == nil {
			t.Errorf("malformed command %v was accepted", bad)
		}
	}
}

func TestParseSlotID(t *testing.T) {
	for _, text := range []string{"", "t", "t/1", "t/1/p", "t/x/p/0", "t/1/p/x", "/1/p/0", "t/01/p/0", "t/1//0", "t/1/p/+1"} {
		if id, err := ParseSlotID(text); err == nil {
			t.Errorf("%q was parsed as %+v, want an error", text, id)
		}
	}
	if id, err := ParseSlotID("t/1/p/q/7"); err != nil || id != (SlotID{Trainer: "t", Step: 1, Prompt: "p/q", Index: 7}) {
		t.Error(id, err)
	}
}

package ledger

import (
	"slices"
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// View returns what a coordinator needs to go on with a trainer after a takeover; an unknown trainer's view
// has only its name. Without samples, the stored samples come without their texts.
func (l *Ledger) View(name string, withSamples bool) *wire.TrainerView {
	view := &wire.TrainerView{Trainer: name}
	known := l.trainers[name]
	if known == nil {
		return view
	}
	view.AcknowledgedCursor, view.SealedCursor = known.acknowledged, known.sealed
	view.SealedIds = append(view.SealedIds, known.sealedIDs...)
	view.SealedStep = known.sealedStep
	view.DeliveredSamples, view.DiscardedTokens = known.delivered, known.discarded
	for _, number := range known.stepNumbers() {
		view.Steps = append(view.Steps, known.steps[number].view(withSamples))
	}
	return view
}

// Samples returns a view with the named samples, as far as they are stored, and nothing else.
func (l *Ledger) Samples(name string, ids []string) *wire.TrainerView {
	view := &wire.TrainerView{Trainer: name}
	known := l.trainers[name]
	for _, text := range ids {
		id, err := ParseSlotID(text)
		if err != nil || known == nil {
			continue
		}
		if held := known.find(id); held != nil && held.sample != nil {
			view.Samples = append(view.Samples, held.sample)
		}
	}
	return view
}

func (t *trainer) stepNumbers() []uint64 {
	numbers := make([]uint64, 0, len(t.steps))
	for number := range t.steps {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers
}

func (s *step) view(withSamples bool) *wire.Step {
	view := &wire.Step{Open: s.open}
	for position := range s.slots {
		held := &s.slots[position]
		id := s.slotID(position).String()
		switch {
		case held.delivered:
			view.DeliveredIds = append(view.DeliveredIds, id)
			continue
		case held.sample != nil && withSamples:
			view.Stored = append(view.Stored, held.sample)
		case held.sample != nil:
			view.Stored = append(view.Stored, withoutText(held.sample))
		}
		if held.edition > 0 {
			view.Editions = append(view.Editions, &wire.SlotEdition{Id: id, Edition: held.edition})
		}
	}
	return view
}

func (s *step) slotID(position int) SlotID {
	perPrompt := int(s.open.GetSamplesPerPrompt())
	return SlotID{
		Trainer: s.open.GetTrainer(), Step: s.open.GetStep(),
		Prompt: s.open.GetPrompts()[position/perPrompt].GetId(), Index: uint32(position % perPrompt),
	}
}

func withoutText(sample *wire.Sample) *wire.Sample {
	return &wire.Sample{
		Id: sample.GetId(), Trainer: sample.GetTrainer(), Step: sample.GetStep(), PromptId: sample.GetPromptId(),
		Index: sample.GetIndex(), Segments: sample.GetSegments(), Score: sample.GetScore(), Edition: sample.GetEdition(),
	}
}

// Snapshot returns the whole state. Equal ledgers give equal snapshots. It shares messages with the ledger:
// encode it before the next command.
func (l *Ledger) Snapshot() *wire.LedgerSnapshot {
	snapshot := &wire.LedgerSnapshot{}
	for _, name := range l.Trainers() {
		snapshot.Trainers = append(snapshot.Trainers, l.trainers[name].record())
	}
	return snapshot
}

func (t *trainer) record() *wire.TrainerRecord {
	record := &wire.TrainerRecord{
		Name: t.name, Fence: t.fence, AcknowledgedCursor: t.acknowledged, SealedCursor: t.sealed,
		SealedStep: t.sealedStep, SealedIds: slices.Clone(t.sealedIDs), DeliveredSamples: t.delivered,
		DiscardedTokens: t.discarded, Closed: t.closed, ForgottenStep: t.forgotten, Fetch: t.fetch,
		FetchFence: t.fetchFence,
	}
	for _, number := range t.stepNumbers() {
		opened := t.steps[number]
		kept := &wire.StepRecord{Open: opened.open}
		for position := range opened.slots {
			held := &opened.slots[position]
			kept.Slots = append(kept.Slots, &wire.SlotRecord{
				Edition: held.edition, Delivered: held.delivered, Sample: held.sample,
			})
		}
		record.Steps = append(record.Steps, kept)
	}
	return record
}

// Restore replaces the state with a snapshot's. On an error the ledger is unchanged. The ledger keeps the
// snapshot's messages.
func (l *Ledger) Restore(snapshot *wire.LedgerSnapshot) error {
	restored := NewUnsafe(l.unsafe)
	for _, record := range snapshot.GetTrainers() {
		known, err := restoreTrainer(record)
		if err != nil {
			return trace.Wrap(err, "trainer %q in a snapshot", record.GetName())
		}
		restored.trainers[known.name] = known
	}
	*l = *restored
	return nil
}

func restoreTrainer(record *wire.TrainerRecord) (*trainer, error) {
	if err := checkTrainer(record.GetName()); err != nil {
		return nil, trace.Wrap(err)
	}
	known := newTrainer(record.GetName())
	known.fetch, known.fetchFence = record.GetFetch(), record.GetFetchFence()
	known.fence, known.acknowledged, known.sealed = record.GetFence(), record.GetAcknowledgedCursor(), record.GetSealedCursor()
	known.sealedStep, known.sealedIDs = record.GetSealedStep(), record.GetSealedIds()
	known.delivered, known.discarded = record.GetDeliveredSamples(), record.GetDiscardedTokens()
	known.closed, known.forgotten = record.GetClosed(), record.GetForgottenStep()
	for _, kept := range record.GetSteps() {
		opened, err := restoreStep(known.name, kept)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		known.steps[opened.open.GetStep()] = opened
	}
	return known, nil
}

func restoreStep(trainerName string, kept *wire.StepRecord) (*step, error) {
	if err := checkOpen(kept.GetOpen()); err != nil {
		return nil, trace.Wrap(err)
	}
	opened := newStep(kept.GetOpen())
	if kept.GetOpen().GetTrainer() != trainerName || len(kept.GetSlots()) != len(opened.slots) {
		return nil, trace.BadParameter("step %d does not fit its trainer or slots", kept.GetOpen().GetStep())
	}
	for position, message := range kept.GetSlots() {
		opened.slots[position] = slot{
			edition: message.GetEdition(), delivered: message.GetDelivered(), sample: message.GetSample(),
		}
		if message.GetDelivered() {
			opened.remaining--
		}
	}
	return opened, nil
}

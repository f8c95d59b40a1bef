package ledger

import (
	"slices"
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// View returns the state that a coordinator needs to continue with a trainer after a takeover. The view of an unknown
// trainer has only its name. Unless withSamples is set, stored samples are returned without their texts.
func (l *Ledger) View(name string, withSamples bool) *wire.TrainerView {
	view := &wire.TrainerView{Trainer: name}
	t := l.trainers[name]
	if t == nil {
		return view
	}
	view.AcknowledgedCursor, view.SealedCursor = t.acknowledgedCursor, t.sealedCursor
	view.SealedIds = append(view.SealedIds, t.sealedIDs...)
	view.SealedStep = t.sealedStep
	view.DeliveredSamples, view.DiscardedTokens = t.deliveredSamples, t.discardedTokens
	for _, number := range t.stepNumbers() {
		view.Steps = append(view.Steps, t.steps[number].view(withSamples))
	}
	return view
}

// Samples returns a view with only the trainer's name and those of the given samples that are stored.
func (l *Ledger) Samples(name string, ids []string) *wire.TrainerView {
	view := &wire.TrainerView{Trainer: name}
	t := l.trainers[name]
	for _, text := range ids {
		id, err := ParseSlotID(text)
		if err != nil || t == nil {
			continue
		}
		if slot := t.findSlot(id); slot != nil && slot.sample != nil {
			view.Samples = append(view.Samples, slot.sample)
		}
	}
	return view
}

// stepNumbers returns the numbers of the open steps, sorted.
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
		slot := &s.slots[position]
		id := s.slotID(position).String()
		switch {
		case slot.delivered:
			view.DeliveredIds = append(view.DeliveredIds, id)
			continue
		case slot.sample != nil && withSamples:
			view.Stored = append(view.Stored, slot.sample)
		case slot.sample != nil:
			view.Stored = append(view.Stored, copyWithoutText(slot.sample))
		}
		if slot.edition > 0 {
			view.Editions = append(view.Editions, &wire.SlotEdition{Id: id, Edition: slot.edition})
		}
	}
	return view
}

// slotID returns the id of the slot at a position of s.slots.
func (s *step) slotID(position int) SlotID {
	perPrompt := int(s.open.GetSamplesPerPrompt())
	return SlotID{
		Trainer: s.open.GetTrainer(), Step: s.open.GetStep(),
		Prompt: s.open.GetPrompts()[position/perPrompt].GetId(), Index: uint32(position % perPrompt),
	}
}

func copyWithoutText(sample *wire.Sample) *wire.Sample {
	return &wire.Sample{
		Id: sample.GetId(), Trainer: sample.GetTrainer(), Step: sample.GetStep(), PromptId: sample.GetPromptId(),
		Index: sample.GetIndex(), Segments: sample.GetSegments(), Score: sample.GetScore(), Edition: sample.GetEdition(),
	}
}

// Snapshot returns the whole state. Equal ledgers have equal snapshots. The snapshot shares messages with the ledger,
// so encode it before the next command.
func (l *Ledger) Snapshot() *wire.LedgerSnapshot {
	snapshot := &wire.LedgerSnapshot{}
	for _, name := range l.Trainers() {
		snapshot.Trainers = append(snapshot.Trainers, l.trainers[name].record())
	}
	return snapshot
}

func (t *trainer) record() *wire.TrainerRecord {
	record := &wire.TrainerRecord{
		Name: t.name, Fence: t.highestFence, AcknowledgedCursor: t.acknowledgedCursor, SealedCursor: t.sealedCursor,
		SealedStep: t.sealedStep, SealedIds: slices.Clone(t.sealedIDs), DeliveredSamples: t.deliveredSamples,
		DiscardedTokens: t.discardedTokens, Closed: t.closedSteps, ForgottenStep: t.highestForgotten, Fetch: t.fetch,
		FetchFence: t.fetchFence,
	}
	for _, number := range t.stepNumbers() {
		opened := t.steps[number]
		stepRecord := &wire.StepRecord{Open: opened.open}
		for position := range opened.slots {
			slot := &opened.slots[position]
			stepRecord.Slots = append(stepRecord.Slots, &wire.SlotRecord{
				Edition: slot.edition, Delivered: slot.delivered, Sample: slot.sample,
			})
		}
		record.Steps = append(record.Steps, stepRecord)
	}
	return record
}

// Restore replaces the state with that of a snapshot, and retains the snapshot's messages. It fails, without changing
// the ledger, if a trainer's name or one of its steps is invalid.
func (l *Ledger) Restore(snapshot *wire.LedgerSnapshot) error {
	restored := NewUnsafe(l.unsafe)
	for _, record := range snapshot.GetTrainers() {
		t, err := restoreTrainer(record)
		if err != nil {
			return trace.Wrap(err, "trainer %q in a snapshot", record.GetName())
		}
		restored.trainers[t.name] = t
	}
	*l = *restored
	return nil
}

func restoreTrainer(record *wire.TrainerRecord) (*trainer, error) {
	if err := checkTrainerName(record.GetName()); err != nil {
		return nil, trace.Wrap(err)
	}
	t := newTrainer(record.GetName())
	t.fetch, t.fetchFence = record.GetFetch(), record.GetFetchFence()
	t.highestFence, t.acknowledgedCursor, t.sealedCursor = record.GetFence(), record.GetAcknowledgedCursor(), record.GetSealedCursor()
	t.sealedStep, t.sealedIDs = record.GetSealedStep(), record.GetSealedIds()
	t.deliveredSamples, t.discardedTokens = record.GetDeliveredSamples(), record.GetDiscardedTokens()
	t.closedSteps, t.highestForgotten = record.GetClosed(), record.GetForgottenStep()
	for _, stepRecord := range record.GetSteps() {
		opened, err := restoreStep(t.name, stepRecord)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		t.steps[opened.open.GetStep()] = opened
	}
	return t, nil
}

func restoreStep(trainerName string, record *wire.StepRecord) (*step, error) {
	if err := checkStepOpen(record.GetOpen()); err != nil {
		return nil, trace.Wrap(err)
	}
	opened := newStep(record.GetOpen())
	if record.GetOpen().GetTrainer() != trainerName || len(record.GetSlots()) != len(opened.slots) {
		return nil, trace.BadParameter("step %d does not fit its trainer or slots", record.GetOpen().GetStep())
	}
	for position, message := range record.GetSlots() {
		opened.slots[position] = slot{
			edition: message.GetEdition(), delivered: message.GetDelivered(), sample: message.GetSample(),
		}
		if message.GetDelivered() {
			opened.undelivered--
		}
	}
	return opened, nil
}

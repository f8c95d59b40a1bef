package ledger

import (
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Store stores a finished sample in its slot. The first sample of the slot's current edition is stored, and a resend of
// the same sample is accepted again. Store fails, without changing anything, if the command is malformed.
func (l *Ledger) Store(command *wire.SampleStore) (*wire.SampleResult, error) {
	sample := command.GetSample()
	id, err := checkSample(sample)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t, reason := l.findTrainer(id.Trainer, command.GetFence())
	if reason != "" {
		return refusedResult(t, reason), nil
	}
	slot := t.findSlot(id)
	if slot == nil || slot.delivered {
		return refusedResult(t, ReasonUnknownSlot), nil
	}
	if sample.GetEdition() != slot.edition && !l.unsafe.IgnoreEditions {
		return refusedResult(t, ReasonOtherEdition), nil
	}
	if slot.sample != nil && !proto.Equal(slot.sample, sample) {
		return refusedResult(t, ReasonAlreadyStored), nil
	}
	slot.sample = sample
	return &wire.SampleResult{Accepted: true, Cursor: t.sealedCursor}, nil
}

// checkSample validates a sample and returns its parsed id.
func checkSample(sample *wire.Sample) (SlotID, error) {
	id, err := ParseSlotID(sample.GetId())
	if err != nil {
		return SlotID{}, trace.Wrap(err)
	}
	named := SlotID{Trainer: sample.GetTrainer(), Step: sample.GetStep(), Prompt: sample.GetPromptId(), Index: sample.GetIndex()}
	if named != id {
		return SlotID{}, trace.BadParameter("sample id %q does not fit the sample's fields", sample.GetId())
	}
	if len(sample.GetText()) > MaximumSampleBytes || len(sample.GetSegments()) > MaximumSegments {
		return SlotID{}, trace.BadParameter("sample %q is too large", sample.GetId())
	}
	return id, nil
}

// Seal fixes the samples that the trainer gets at a cursor. All samples of a batch belong to one step, and the previous
// batch must be acknowledged. A resend gets the sealed list, whatever samples it names.
//
// A batch is sent for a fetch only after a Seal with the fetch's number. A number below the newest one is refused,
// because the trainer has abandoned that fetch. The newest number is refused from a later owner, because the call was
// duplicated in transit and the trainer may already have the former owner's reply. A trainer that sends no fetch
// numbers does not have this protection.
//
// Seal fails, without changing anything, if the command is malformed.
func (l *Ledger) Seal(command *wire.BatchSeal) (*wire.SampleResult, error) {
	if command.GetCursor() == 0 || len(command.GetSampleIds()) == 0 {
		return nil, trace.BadParameter("a batch has a cursor above 0 and at least one sample")
	}
	slots, err := parseSlotIDs(command.GetTrainer(), command.GetSampleIds())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t, reason := l.findTrainer(command.GetTrainer(), command.GetFence())
	if reason != "" {
		return refusedResult(t, reason), nil
	}
	if command.GetCursor() <= t.acknowledgedCursor {
		return refusedResult(t, ReasonAcknowledged), nil
	}
	if command.GetFetch() > 0 && t.isAbandonedFetch(command.GetFetch(), command.GetFence()) {
		return staleFetchResult(t), nil
	}
	if command.GetCursor() == t.sealedCursor && !l.unsafe.SealTwice {
		t.recordFetch(command.GetFetch(), command.GetFence())
		return t.acceptedResult(), nil
	}
	if command.GetCursor() != t.acknowledgedCursor+1 {
		return refusedResult(t, ReasonNotNextCursor), nil
	}
	for _, id := range slots {
		slot := t.findSlot(id)
		if id.Step != command.GetStep() || slot == nil || slot.delivered || slot.sample == nil {
			return refusedResult(t, ReasonNotStored), nil
		}
	}
	t.sealedCursor, t.sealedStep = command.GetCursor(), command.GetStep()
	t.sealedIDs = slices.Clone(command.GetSampleIds())
	t.recordFetch(command.GetFetch(), command.GetFence())
	return t.acceptedResult(), nil
}

// isAbandonedFetch reports whether the batch may have been sent for a newer fetch, or for this fetch by a former
// owner.
func (t *trainer) isAbandonedFetch(fetch, fence uint64) bool {
	return fetch < t.fetch || fetch == t.fetch && fetch > 0 && fence > t.fetchFence
}

// recordFetch records the newest fetch and the fencing token of the owner that serves it.
func (t *trainer) recordFetch(fetch, fence uint64) { t.fetch, t.fetchFence = fetch, fence }

// staleFetchResult returns a refusal with the newest fetch number, which a trainer whose numbering has restarted must
// exceed.
func staleFetchResult(t *trainer) *wire.SampleResult {
	result := refusedResult(t, ReasonStaleFetch)
	result.Fetch = t.fetch
	return result
}

// parseSlotIDs parses the ids of one trainer's samples, which must be distinct.
func parseSlotIDs(trainerName string, texts []string) ([]SlotID, error) {
	if len(texts) > MaximumSlots {
		return nil, trace.BadParameter("more than %d samples", MaximumSlots)
	}
	ids := make([]SlotID, 0, len(texts))
	seen := make(map[SlotID]bool, len(texts))
	for _, text := range texts {
		id, err := ParseSlotID(text)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if id.Trainer != trainerName {
			return nil, trace.BadParameter("sample %q is not of trainer %q", text, trainerName)
		}
		if seen[id] {
			return nil, trace.BadParameter("sample %q stands twice", text)
		}
		seen[id] = true
		ids = append(ids, id)
	}
	return ids, nil
}

// Discard discards samples that are too old. It increments the editions of their slots and removes the samples from the
// sealed batch, which is no longer sealed once it is empty. Slots whose edition differs from the given one, or that
// hold no sample if no editions are given, are unchanged. The discarded tokens are counted if at least one slot was
// discarded. The result lists the remaining samples of the sealed batch.
//
// A discard from the sealed batch is refused for an older fetch than the newest one that the batch was sealed for,
// because the trainer may already have the batch. Discard fails, without changing anything, if the command is
// malformed.
func (l *Ledger) Discard(command *wire.BatchDiscard) (*wire.SampleResult, error) {
	slots, err := parseSlotIDs(command.GetTrainer(), command.GetSampleIds())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	editions := command.GetEditions()
	if len(slots) == 0 || (len(editions) > 0 && len(editions) != len(slots)) {
		return nil, trace.BadParameter("a discard names at least one sample, and an edition for all or none")
	}
	t, reason := l.findTrainer(command.GetTrainer(), command.GetFence())
	if reason != "" {
		return refusedResult(t, reason), nil
	}
	if t.isAnySealed(command.GetSampleIds()) {
		if t.isAbandonedFetch(command.GetFetch(), command.GetFence()) {
			return staleFetchResult(t), nil
		}
		t.recordFetch(command.GetFetch(), command.GetFence())
	}
	discarded := map[string]bool{}
	for position, id := range slots {
		slot := t.findSlot(id)
		if slot == nil || slot.delivered || !isDiscardTarget(slot, editions, position) {
			continue
		}
		slot.edition++
		slot.sample = nil
		discarded[id.String()] = true
	}
	if len(discarded) > 0 {
		t.discardedTokens += command.GetDiscardedTokens()
		t.removeFromSealed(discarded)
	}
	return t.acceptedResult(), nil
}

// isAnySealed reports whether at least one of the samples is in the sealed batch.
func (t *trainer) isAnySealed(ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return slices.Contains(t.sealedIDs, id) })
}

// isDiscardTarget reports whether a discard applies to the current content of the slot.
func isDiscardTarget(slot *slot, editions []uint32, position int) bool {
	if len(editions) > 0 {
		return slot.edition == editions[position]
	}
	return slot.sample != nil
}

// removeFromSealed removes discarded samples from the sealed batch.
func (t *trainer) removeFromSealed(discarded map[string]bool) {
	t.sealedIDs = slices.DeleteFunc(t.sealedIDs, func(id string) bool { return discarded[id] })
	if len(t.sealedIDs) == 0 {
		t.sealedIDs, t.sealedCursor, t.sealedStep = nil, t.acknowledgedCursor, 0
	}
}

// Acknowledge records that the trainer has received the batch at the cursor. The batch's slots become delivered and
// their texts are freed. A resend changes nothing. Acknowledge fails, without changing anything, if the command is
// malformed.
func (l *Ledger) Acknowledge(command *wire.BatchAcknowledge) (*wire.SampleResult, error) {
	if err := checkTrainerName(command.GetTrainer()); err != nil {
		return nil, trace.Wrap(err)
	}
	t := l.trainers[command.GetTrainer()]
	switch {
	case t == nil && command.GetCursor() == 0:
		return &wire.SampleResult{Accepted: true}, nil
	case t == nil:
		return refusedResult(nil, ReasonUnknownTrainer), nil
	case command.GetCursor() <= t.acknowledgedCursor:
		return t.acceptedResult(), nil
	case command.GetCursor() != t.sealedCursor:
		return refusedResult(t, ReasonNotSealed), nil
	}
	for _, text := range t.sealedIDs {
		t.deliver(text)
	}
	t.acknowledgedCursor = t.sealedCursor
	t.recordFetch(0, 0)
	t.sealedIDs, t.sealedStep = nil, 0
	return t.acceptedResult(), nil
}

// deliver marks a slot as delivered, frees its sample and closes the step after its last slot.
func (t *trainer) deliver(text string) {
	id, err := ParseSlotID(text)
	if err != nil {
		return // sealed ids were parsed before
	}
	slot := t.findSlot(id)
	if slot == nil || slot.delivered {
		return
	}
	slot.delivered, slot.sample = true, nil
	t.deliveredSamples++
	opened := t.steps[id.Step]
	opened.undelivered--
	if opened.undelivered == 0 {
		t.close(id.Step)
	}
}

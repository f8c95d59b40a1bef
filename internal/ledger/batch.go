package ledger

import (
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Store keeps a finished sample. The first one of a slot's current edition wins; a resend of the same one is
// accepted again. Errors: malformed command, nothing changed.
func (l *Ledger) Store(command *wire.SampleStore) (*wire.SampleResult, error) {
	sample := command.GetSample()
	id, err := checkSample(sample)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	known, reason := l.admit(id.Trainer, command.GetFence())
	if reason != "" {
		return refused(known, reason), nil
	}
	held := known.find(id)
	if held == nil || held.delivered {
		return refused(known, ReasonUnknownSlot), nil
	}
	if sample.GetEdition() != held.edition && !l.unsafe.IgnoreEditions {
		return refused(known, ReasonOtherEdition), nil
	}
	if held.sample != nil && !proto.Equal(held.sample, sample) {
		return refused(known, ReasonAlreadyStored), nil
	}
	held.sample = sample
	return &wire.SampleResult{Accepted: true, Cursor: known.sealed}, nil
}

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

// Seal fixes which samples the trainer gets at a cursor. A batch is of one step, and the batch before must
// be acknowledged. A resend gets the sealed list, whatever samples it names. A batch is handed over for a
// fetch only after a Seal under the fetch's number. A lower number than one seen before is refused, because
// the trainer has abandoned that fetch, and so is the same one by another owner: the call was repeated on its way, and
// the trainer may have the former owner's reply. A trainer without numbers is not guarded. Errors: malformed command, nothing changed.
func (l *Ledger) Seal(command *wire.BatchSeal) (*wire.SampleResult, error) {
	if command.GetCursor() == 0 || len(command.GetSampleIds()) == 0 {
		return nil, trace.BadParameter("a batch has a cursor above 0 and at least one sample")
	}
	slots, err := parseSlotIDs(command.GetTrainer(), command.GetSampleIds())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	known, reason := l.admit(command.GetTrainer(), command.GetFence())
	if reason != "" {
		return refused(known, reason), nil
	}
	if command.GetCursor() <= known.acknowledged {
		return refused(known, ReasonAcknowledged), nil
	}
	if command.GetFetch() > 0 && known.abandoned(command.GetFetch(), command.GetFence()) {
		return refusedFetch(known), nil
	}
	if command.GetCursor() == known.sealed && !l.unsafe.SealTwice {
		known.noteFetch(command.GetFetch(), command.GetFence())
		return known.accepted(), nil
	}
	if command.GetCursor() != known.acknowledged+1 {
		return refused(known, ReasonNotNextCursor), nil
	}
	for _, id := range slots {
		held := known.find(id)
		if id.Step != command.GetStep() || held == nil || held.delivered || held.sample == nil {
			return refused(known, ReasonNotStored), nil
		}
	}
	known.sealed, known.sealedStep = command.GetCursor(), command.GetStep()
	known.sealedIDs = slices.Clone(command.GetSampleIds())
	known.noteFetch(command.GetFetch(), command.GetFence())
	return known.accepted(), nil
}

// abandoned tells whether a batch may have been handed over for a newer fetch, or for this one by another owner.
func (t *trainer) abandoned(fetch, fence uint64) bool {
	return fetch < t.fetch || fetch == t.fetch && fetch > 0 && fence > t.fetchFence
}

func (t *trainer) noteFetch(fetch, fence uint64) { t.fetch, t.fetchFence = fetch, fence }

// refusedFetch tells a trainer whose numbers began anew which one to pass.
func refusedFetch(t *trainer) *wire.SampleResult {
	result := refused(t, ReasonStaleFetch)
	result.Fetch = t.fetch
	return result
}

// parseSlotIDs reads the ids of one trainer's samples, each of which may stand once.
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

// Discard throws samples away that are too old: their slots' editions rise, and they leave a sealed batch,
// which is no longer sealed once it is empty. A slot whose edition is not the one given, or that holds no
// sample when no editions are given, is left alone. The tokens are counted if any slot was discarded. The
// result lists what is left of the sealed batch. A sealed batch is left alone under an older fetch than the
// newest one it was sealed for: the trainer may have it by now. Errors: malformed command, nothing changed.
func (l *Ledger) Discard(command *wire.BatchDiscard) (*wire.SampleResult, error) {
	slots, err := parseSlotIDs(command.GetTrainer(), command.GetSampleIds())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	editions := command.GetEditions()
	if len(slots) == 0 || (len(editions) > 0 && len(editions) != len(slots)) {
		return nil, trace.BadParameter("a discard names at least one sample, and an edition for all or none")
	}
	known, reason := l.admit(command.GetTrainer(), command.GetFence())
	if reason != "" {
		return refused(known, reason), nil
	}
	if known.sealsAny(command.GetSampleIds()) {
		if known.abandoned(command.GetFetch(), command.GetFence()) {
			return refusedFetch(known), nil
		}
		known.noteFetch(command.GetFetch(), command.GetFence())
	}
	gone := map[string]bool{}
	for position, id := range slots {
		held := known.find(id)
		if held == nil || held.delivered || !meant(held, editions, position) {
			continue
		}
		held.edition++
		held.sample = nil
		gone[id.String()] = true
	}
	if len(gone) > 0 {
		known.discarded += command.GetDiscardedTokens()
		known.unseal(gone)
	}
	return known.accepted(), nil
}

// sealsAny reports whether one of the samples is in the sealed batch.
func (t *trainer) sealsAny(ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return slices.Contains(t.sealedIDs, id) })
}

// meant reports whether a discard means what the slot holds now.
func meant(held *slot, editions []uint32, position int) bool {
	if len(editions) > 0 {
		return held.edition == editions[position]
	}
	return held.sample != nil
}

// unseal takes discarded samples out of the sealed batch.
func (t *trainer) unseal(gone map[string]bool) {
	t.sealedIDs = slices.DeleteFunc(t.sealedIDs, func(id string) bool { return gone[id] })
	if len(t.sealedIDs) == 0 {
		t.sealedIDs, t.sealed, t.sealedStep = nil, t.acknowledged, 0
	}
}

// Acknowledge notes that the trainer has the batch at the cursor: its slots are delivered and their texts
// freed. A resend changes nothing. Errors: malformed command, nothing changed.
func (l *Ledger) Acknowledge(command *wire.BatchAcknowledge) (*wire.SampleResult, error) {
	if err := checkTrainer(command.GetTrainer()); err != nil {
		return nil, trace.Wrap(err)
	}
	known := l.trainers[command.GetTrainer()]
	switch {
	case known == nil && command.GetCursor() == 0:
		return &wire.SampleResult{Accepted: true}, nil
	case known == nil:
		return refused(nil, ReasonUnknownTrainer), nil
	case command.GetCursor() <= known.acknowledged:
		return known.accepted(), nil
	case command.GetCursor() != known.sealed:
		return refused(known, ReasonNotSealed), nil
	}
	for _, text := range known.sealedIDs {
		known.deliver(text)
	}
	known.acknowledged = known.sealed
	known.noteFetch(0, 0)
	known.sealedIDs, known.sealedStep = nil, 0
	return known.accepted(), nil
}

func (t *trainer) deliver(text string) {
	id, err := ParseSlotID(text)
	if err != nil {
		return // sealed ids were parsed before
	}
	held := t.find(id)
	if held == nil || held.delivered {
		return
	}
	held.delivered, held.sample = true, nil
	t.delivered++
	opened := t.steps[id.Step]
	opened.remaining--
	if opened.remaining == 0 {
		t.close(id.Step)
	}
}

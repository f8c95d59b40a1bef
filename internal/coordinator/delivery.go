package coordinator

import (
	"slices"

	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// delivery mirrors the ledger's state of one trainer at the trainer's owner: open steps, the samples stored for them,
// and the sealed batch that is not acknowledged yet. It is updated after the ledger accepts a command and uses no clock
// or I/O. Not safe for concurrent use.
type delivery struct {
	acknowledged uint64
	sealed       uint64 // cursor; equal to acknowledged, or one above while a batch is sealed
	sealedStep   uint64
	sealedIDs    []string
	steps        []*deliveryStep // by step number, lowest first
}

type deliveryStep struct {
	open       *wire.StepOpen
	ids        []string // of all slots, by prompt, then index
	slots      map[string]*deliverySlot
	filled     int // slots that hold a sample or are delivered
	delivered  int
	scheduled  bool // the scheduler has the step
	handedOver bool // its last samples were handed over
}

type deliverySlot struct {
	id         ledger.SlotID
	prompt     *wire.Prompt
	edition    uint32
	sample     *wire.Sample
	delivered  bool
	discarding bool // the sample is being discarded as too stale
}

// newDelivery builds the state from the ledger's view of a trainer. The view's samples include their text.
func newDelivery(view *wire.TrainerView) *delivery {
	made := &delivery{
		acknowledged: view.GetAcknowledgedCursor(), sealed: view.GetSealedCursor(), sealedStep: view.GetSealedStep(),
		sealedIDs: slices.Clone(view.GetSealedIds()),
	}
	for _, kept := range view.GetSteps() {
		step := made.open(kept.GetOpen())
		for _, edition := range kept.GetEditions() {
			if slot := step.slots[edition.GetId()]; slot != nil {
				slot.edition = edition.GetEdition()
			}
		}
		for _, id := range kept.GetDeliveredIds() {
			if slot := step.slots[id]; slot != nil {
				slot.delivered = true
				step.filled++
				step.delivered++
			}
		}
		for _, sample := range kept.GetStored() {
			made.recordStored(sample)
		}
	}
	return made
}

// open adds a step and returns it. If the step is already open, it is returned unchanged.
func (d *delivery) open(open *wire.StepOpen) *deliveryStep {
	position, exists := slices.BinarySearchFunc(d.steps, open.GetStep(), compareDeliveryStep)
	if exists {
		return d.steps[position]
	}
	step := &deliveryStep{open: open, slots: map[string]*deliverySlot{}}
	for _, prompt := range open.GetPrompts() {
		for index := range open.GetSamplesPerPrompt() {
			id := ledger.SlotID{Trainer: open.GetTrainer(), Step: open.GetStep(), Prompt: prompt.GetId(), Index: index}
			text := id.String()
			step.ids = append(step.ids, text)
			step.slots[text] = &deliverySlot{id: id, prompt: prompt}
		}
	}
	d.steps = slices.Insert(d.steps, position, step)
	return step
}

func compareDeliveryStep(step *deliveryStep, number uint64) int {
	switch {
	case step.open.GetStep() < number:
		return -1
	case step.open.GetStep() > number:
		return 1
	}
	return 0
}

// step returns an open step, or nil.
func (d *delivery) step(number uint64) *deliveryStep {
	position, exists := slices.BinarySearchFunc(d.steps, number, compareDeliveryStep)
	if !exists {
		return nil
	}
	return d.steps[position]
}

// slot returns a slot of an open step, or nil.
func (d *delivery) slot(id ledger.SlotID) *deliverySlot {
	step := d.step(id.Step)
	if step == nil {
		return nil
	}
	return step.slots[id.String()]
}

// recordStored records that the ledger holds a sample.
func (d *delivery) recordStored(sample *wire.Sample) {
	step := d.step(sample.GetStep())
	if step == nil {
		return
	}
	slot := step.slots[sample.GetId()]
	if slot == nil || slot.delivered || sample.GetEdition() != slot.edition {
		return
	}
	if slot.sample == nil {
		step.filled++
	}
	slot.sample = sample
}

// isSealed reports whether a sample is in the sealed batch, which the trainer may already have.
func (d *delivery) isSealed(id string) bool { return slices.Contains(d.sealedIDs, id) }

// recordDiscarded records that the ledger discarded a slot's sample.
func (d *delivery) recordDiscarded(id ledger.SlotID) {
	slot := d.slot(id)
	if slot == nil || slot.delivered {
		return
	}
	slot.edition++
	if slot.sample != nil {
		slot.sample = nil
		step := d.step(id.Step)
		step.filled--
		step.handedOver = false
	}
	text := id.String()
	d.sealedIDs = slices.DeleteFunc(d.sealedIDs, func(sealed string) bool { return sealed == text })
	if len(d.sealedIDs) == 0 {
		d.sealed, d.sealedStep, d.sealedIDs = d.acknowledged, 0, nil
	}
}

// recordSeal records the batch sealed at a cursor.
func (d *delivery) recordSeal(cursor, step uint64, ids []string) {
	d.sealed, d.sealedStep, d.sealedIDs = cursor, step, ids
}

// holdsSamples reports whether the step's slots hold exactly these samples and none is being discarded.
func (s *deliveryStep) holdsSamples(samples []*wire.Sample) bool {
	for _, sample := range samples {
		if slot := s.slots[sample.GetId()]; slot == nil || slot.sample != sample || slot.discarding {
			return false
		}
	}
	return true
}

// batch returns the samples of the sealed batch, and false if some are not known here.
func (d *delivery) batch() ([]*wire.Sample, bool) {
	step := d.step(d.sealedStep)
	samples := make([]*wire.Sample, 0, len(d.sealedIDs))
	for _, id := range d.sealedIDs {
		if step == nil || step.slots[id] == nil || step.slots[id].sample == nil {
			return nil, false
		}
		samples = append(samples, step.slots[id].sample)
	}
	return samples, true
}

// recordAcknowledged records that the trainer has the batch at the cursor, and removes the step once all of it is
// delivered.
func (d *delivery) recordAcknowledged(cursor uint64) {
	if cursor <= d.acknowledged || cursor != d.sealed {
		return
	}
	step := d.step(d.sealedStep)
	for _, id := range d.sealedIDs {
		if slot := step.slots[id]; slot != nil && !slot.delivered {
			slot.delivered, slot.sample = true, nil
			step.delivered++
		}
	}
	d.acknowledged, d.sealedIDs, d.sealedStep = cursor, nil, 0
	if step.delivered == len(step.ids) {
		d.steps = slices.DeleteFunc(d.steps, func(one *deliveryStep) bool { return one == step })
	}
}

// isFilled reports whether every slot holds a sample or is delivered.
func (s *deliveryStep) isFilled() bool { return s.filled == len(s.ids) }

// ready returns the lowest open step and its samples that can be handed over. With wholeStep it returns no samples
// until all of them can be. Call it only while no batch is sealed.
func (d *delivery) ready(wholeStep bool) (*deliveryStep, []*wire.Sample) {
	if len(d.steps) == 0 {
		return nil, nil
	}
	step := d.steps[0]
	if wholeStep && !step.isFilled() {
		return step, nil
	}
	var samples []*wire.Sample
	for _, id := range step.ids {
		slot := step.slots[id]
		if slot.discarding && wholeStep {
			return step, nil
		}
		if slot.sample != nil && !slot.discarding {
			samples = append(samples, slot.sample)
		}
	}
	return step, samples
}

// limitBatch cuts samples to at most count, or to ledger.MaximumSlots if count is 0, and to the given number of bytes
// of text. It keeps at least one sample.
func limitBatch(samples []*wire.Sample, count, bytes int) []*wire.Sample {
	count = min(max(count, 0), ledger.MaximumSlots)
	if count == 0 {
		count = ledger.MaximumSlots
	}
	total := 0
	for position, sample := range samples {
		total += len(sample.GetText())
		if position >= count || (position > 0 && total > bytes) {
			return samples[:position]
		}
	}
	return samples
}

// sampleAge returns how many versions a sample's oldest token is behind the trainer.
func sampleAge(sample *wire.Sample, trainerVersion uint64) uint64 {
	age := uint64(0)
	for _, segment := range sample.GetSegments() {
		if segment.GetVersionNumber() < trainerVersion {
			age = max(age, trainerVersion-segment.GetVersionNumber())
		}
	}
	return age
}

// staleSamples returns the samples whose age exceeds the bound.
func staleSamples(samples []*wire.Sample, trainerVersion, bound uint64) []*wire.Sample {
	var old []*wire.Sample
	for _, sample := range samples {
		if sampleAge(sample, trainerVersion) > bound {
			old = append(old, sample)
		}
	}
	return old
}

// sampleTokens returns the number of a sample's tokens and the number of the oldest version that generated any.
func sampleTokens(sample *wire.Sample) (tokens int, oldest uint64) {
	for position, segment := range sample.GetSegments() {
		tokens += int(segment.GetTokenCount())
		if position == 0 || segment.GetVersionNumber() < oldest {
			oldest = segment.GetVersionNumber()
		}
	}
	return tokens, oldest
}

package coordinator

import (
	"slices"

	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// delivery is what the owner of a trainer knows of the trainer's ledger: its open steps, the samples stored
// for them, and the batch that is out. It follows accepted commands and has no clock or I/O. Not safe for
// concurrent use.
type delivery struct {
	acknowledged uint64
	sealed       uint64 // equal to acknowledged, or one above while a batch is out
	sealedStep   uint64
	sealedIDs    []string
	steps        []*deliveryStep // by number, lowest first
}

type deliveryStep struct {
	open      *wire.StepOpen
	ids       []string // of all slots, by prompt, then index
	slots     map[string]*deliverySlot
	filled    int // slots that hold a sample or are delivered
	delivered int
	scheduled bool // the scheduler has the step
	handed    bool // the last of its samples were handed over
}

type deliverySlot struct {
	id        ledger.SlotID
	prompt    *wire.Prompt
	edition   uint32
	sample    *wire.Sample
	delivered bool
	leaving   bool // being discarded as too old
}

// newDelivery takes over what the ledger tells of a trainer, with samples.
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
			made.stored(sample)
		}
	}
	return made
}

// open adds a step; one that is open already is returned as it is.
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

// stored notes that the ledger holds a sample.
func (d *delivery) stored(sample *wire.Sample) {
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

// isSealed tells whether a sample is in the batch that is out: the trainer may have it already.
func (d *delivery) isSealed(id string) bool { return slices.Contains(d.sealedIDs, id) }

// discarded notes that the ledger threw a slot's sample away.
func (d *delivery) discarded(id ledger.SlotID) {
	slot := d.slot(id)
	if slot == nil || slot.delivered {
		return
	}
	slot.edition++
	if slot.sample != nil {
		slot.sample = nil
		step := d.step(id.Step)
		step.filled--
		step.handed = false
	}
	text := id.String()
	d.sealedIDs = slices.DeleteFunc(d.sealedIDs, func(sealed string) bool { return sealed == text })
	if len(d.sealedIDs) == 0 {
		d.sealed, d.sealedStep, d.sealedIDs = d.acknowledged, 0, nil
	}
}

// seal notes the batch at a cursor.
func (d *delivery) seal(cursor, step uint64, ids []string) {
	d.sealed, d.sealedStep, d.sealedIDs = cursor, step, ids
}

// holds tells whether the step's slots hold exactly these samples, none of them being discarded.
func (s *deliveryStep) holds(samples []*wire.Sample) bool {
	for _, sample := range samples {
		if slot := s.slots[sample.GetId()]; slot == nil || slot.sample != sample || slot.leaving {
			return false
		}
	}
	return true
}

// batch returns the samples of the batch that is out; false when some are not known here.
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

// acknowledge notes that the trainer has the batch at the cursor.
func (d *delivery) acknowledge(cursor uint64) {
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

// whole tells whether every slot is filled.
func (s *deliveryStep) whole() bool { return s.filled == len(s.ids) }

// ready returns the lowest open step and its samples that can be handed over: any, or only all of them. It is
// meant for a time when no batch is out.
func (d *delivery) ready(wholeStep bool) (*deliveryStep, []*wire.Sample) {
	if len(d.steps) == 0 {
		return nil, nil
	}
	step := d.steps[0]
	if wholeStep && !step.whole() {
		return step, nil
	}
	var samples []*wire.Sample
	for _, id := range step.ids {
		slot := step.slots[id]
		if slot.leaving && wholeStep {
			return step, nil
		}
		if slot.sample != nil && !slot.leaving {
			samples = append(samples, slot.sample)
		}
	}
	return step, samples
}

// limit cuts samples to a batch of at most count, 0 for no bound, and about bytes of text.
func limit(samples []*wire.Sample, count, bytes int) []*wire.Sample {
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

// sampleAge is how many versions a sample's oldest token is behind the trainer.
func sampleAge(sample *wire.Sample, trainerVersion uint64) uint64 {
	age := uint64(0)
	for _, segment := range sample.GetSegments() {
		if segment.GetVersionNumber() < trainerVersion {
			age = max(age, trainerVersion-segment.GetVersionNumber())
		}
	}
	return age
}

// tooOld returns the samples whose age is above the bound.
func tooOld(samples []*wire.Sample, trainerVersion, bound uint64) []*wire.Sample {
	var old []*wire.Sample
	for _, sample := range samples {
		if sampleAge(sample, trainerVersion) > bound {
			old = append(old, sample)
		}
	}
	return old
}

// sampleTokens counts a sample's tokens and names its oldest version.
func sampleTokens(sample *wire.Sample) (tokens int, oldest uint64) {
	for position, segment := range sample.GetSegments() {
		tokens += int(segment.GetTokenCount())
		if position == 0 || segment.GetVersionNumber() < oldest {
			oldest = segment.GetVersionNumber()
		}
	}
	return tokens, oldest
}

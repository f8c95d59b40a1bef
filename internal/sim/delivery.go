package sim

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// fetchPoll is how often a waiting fetch looks whether there is something new.
const fetchPoll = 50 * time.Millisecond

// delivering is one fetch of a trainer at a coordinator.
type delivering struct {
	coordinator *coordinator
	owned       *ownedTrainer
	request     fetchRequest
	turn        uint64
	until       time.Duration
	reply       func(fetchReply)
}

// fetch acknowledges the batch before and hands over the one at the cursor.
func (c *coordinator) fetch(name string, request fetchRequest, answer func(fetchReply)) {
	if c.leaving {
		answer(fetchReply{})
		return
	}
	c.fetches++
	reply := func(r fetchReply) {
		c.fetches--
		answer(r)
	}
	c.adopt(name, func(t *ownedTrainer) {
		if t == nil {
			reply(fetchReply{})
			return
		}
		t.turn++
		d := &delivering{coordinator: c, owned: t, request: request, turn: t.turn, until: c.clock() + fetchWait, reply: reply}
		d.acknowledge()
	})
}

// current tells whether neither a newer fetch nor another coordinator has taken over.
func (d *delivering) current() bool {
	return d.coordinator.owned[d.owned.name] == d.owned && d.owned.turn == d.turn
}

func (d *delivering) fail() { d.reply(fetchReply{}) }

// acknowledge notes durably that the trainer has everything before its cursor.
func (d *delivering) acknowledge() {
	c, t, cursor := d.coordinator, d.owned, d.request.cursor-1
	if cursor == t.view.GetAcknowledgedCursor() {
		d.look()
		return
	}
	if cursor < t.view.GetAcknowledgedCursor() {
		d.fail()
		return
	}
	command := &wire.Command{Kind: &wire.Command_BatchAcknowledge{BatchAcknowledge: &wire.BatchAcknowledge{Trainer: t.name, Cursor: cursor}}}
	c.execute(t, command, func(result *wire.SampleResult) {
		if result != nil && !result.GetAccepted() {
			c.depose(t, result.GetReason())
		}
		if !result.GetAccepted() || !d.current() {
			d.fail()
			return
		}
		if cursor != t.view.GetSealedCursor() {
			c.depose(t, "its ledger is ahead of what is known here")
			d.fail()
			return
		}
		t.acknowledged = cursor
		d.again()
	})
}

// again reads the ledger and looks once more.
func (d *delivering) again() {
	d.coordinator.reread(d.owned, func(ok bool) {
		if !ok || !d.current() {
			d.fail()
			return
		}
		d.look()
	})
}

// look finds the batch at the cursor: the sealed one, or what is stored of the lowest open step.
func (d *delivering) look() {
	view, c := d.owned.view, d.coordinator
	if !d.current() || d.request.cursor != view.GetAcknowledgedCursor()+1 {
		d.fail()
		return
	}
	sealed := view.GetSealedCursor() == d.request.cursor
	step, samples := batchOf(view, sealed)
	if len(samples) == 0 {
		c.scheduler.Wanted(c.clock(), d.owned.name, d.request.version)
		if c.clock() >= d.until {
			d.reply(fetchReply{ok: true})
			return
		}
		c.after(fetchPoll, d.again)
		return
	}
	bound, leased := c.bound()
	if !leased {
		d.fail()
		return
	}
	if c.world.mutated(BoundFromSeal) {
		if !sealed || d.owned.sealedBound == 0 {
			d.owned.sealedBound = bound
		}
		bound = d.owned.sealedBound
	}
	old := tooOld(samples, d.request.version, bound)
	switch {
	case len(old) > 0 && !c.world.mutated(HandOverStale):
		d.discard(old)
	case !sealed || d.owned.served != d.request:
		d.seal(step, samples)
	default:
		d.handOver(step, samples, bound)
	}
}

// batchOf is the sealed batch, or the next one to seal.
func batchOf(view *wire.TrainerView, sealed bool) (*wire.Step, []*wire.Sample) {
	if len(view.GetSteps()) == 0 {
		return nil, nil
	}
	step := view.GetSteps()[0]
	if !sealed {
		stored := step.GetStored()
		return step, stored[:min(len(stored), batchSamples)]
	}
	var samples []*wire.Sample
	for _, candidate := range view.GetSteps() {
		for _, sample := range candidate.GetStored() {
			if slices.Contains(view.GetSealedIds(), sample.GetId()) {
				step, samples = candidate, append(samples, sample)
			}
		}
	}
	return step, samples
}

func tooOld(samples []*wire.Sample, version, bound uint64) []*wire.Sample {
	var old []*wire.Sample
	for _, sample := range samples {
		if _, oldest := sampleTokens(sample); oldest+bound < version {
			old = append(old, sample)
		}
	}
	return old
}

func (d *delivering) seal(step *wire.Step, samples []*wire.Sample) {
	c, t := d.coordinator, d.owned
	seal := &wire.BatchSeal{Trainer: t.name, Cursor: d.request.cursor, Step: step.GetOpen().GetStep(), Fence: t.fence, Fetch: d.request.fetch}
	for _, sample := range samples {
		seal.SampleIds = append(seal.SampleIds, sample.GetId())
	}
	if c.world.mutated(HandOverUnsealed) {
		if bound, leased := c.bound(); leased {
			d.handOver(step, samples, bound)
		}
	}
	c.execute(t, &wire.Command{Kind: &wire.Command_BatchSeal{BatchSeal: seal}}, func(result *wire.SampleResult) {
		if result != nil && (!result.GetAccepted() || !slices.Equal(result.GetSampleIds(), seal.SampleIds)) {
			c.depose(t, "the ledger did not seal as asked: "+result.GetReason())
		}
		if result == nil || !d.current() {
			d.fail()
			return
		}
		t.served = d.request
		d.again()
	})
}

// discard throws samples away that are too old, durably, and has them generated anew.
func (d *delivering) discard(old []*wire.Sample) {
	c, t := d.coordinator, d.owned
	command := &wire.BatchDiscard{Trainer: t.name, Fence: t.fence, Fetch: d.request.fetch}
	for _, sample := range old {
		command.SampleIds = append(command.SampleIds, sample.GetId())
		command.Editions = append(command.Editions, sample.GetEdition())
	}
	c.execute(t, &wire.Command{Kind: &wire.Command_BatchDiscard{BatchDiscard: command}}, func(result *wire.SampleResult) {
		if result != nil && !result.GetAccepted() {
			c.depose(t, result.GetReason())
		}
		if !result.GetAccepted() || !d.current() {
			d.fail()
			return
		}
		c.tracef("discards %d samples of %s", len(old), t.name)
		if t.handed == old[0].GetStep() {
			t.handed-- // a step handed over wholly is not with the scheduler any more
			c.reschedule(t)
		}
		for _, sample := range old {
			delete(t.known, sample.GetId())
			c.scheduler.Discarded(c.clock(), mustSample(sample.GetId()), sample.GetEdition()+1)
		}
		d.again()
	})
}

// handOver answers with the batch; the caller has looked at the bound just now.
func (d *delivering) handOver(step *wire.Step, samples []*wire.Sample, bound uint64) {
	number := step.GetOpen().GetStep()
	total := len(step.GetOpen().GetPrompts()) * int(step.GetOpen().GetSamplesPerPrompt())
	complete := len(step.GetDeliveredIds())+len(samples) == total
	if complete && d.owned.handed < number {
		d.owned.handed = number
		d.coordinator.scheduler.Delivered(d.coordinator.clock(), d.owned.name, number)
	}
	d.coordinator.world.truth.handedOver(d.coordinator, bound)
	d.reply(fetchReply{ok: true, cursor: d.request.cursor, step: number, complete: complete, bound: bound, samples: samples})
}

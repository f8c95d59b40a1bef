package sim

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// fetchPollInterval is how often a waiting fetch checks for new samples.
const fetchPollInterval = 50 * time.Millisecond

// delivery is one fetch of a trainer at a coordinator.
type delivery struct {
	coordinator *coordinator
	owned       *ownedTrainer
	request     fetchRequest
	number      uint64 // compared with ownedTrainer.newestFetch
	deadline    time.Duration
	reply       func(fetchReply)
}

// fetch acknowledges the batch before the cursor and hands over the one at the cursor.
func (c *coordinator) fetch(name string, request fetchRequest, answer func(fetchReply)) {
	if c.leaving {
		answer(fetchReply{})
		return
	}
	c.activeFetches++
	reply := func(r fetchReply) {
		c.activeFetches--
		answer(r)
	}
	c.takeOver(name, func(t *ownedTrainer) {
		if t == nil {
			reply(fetchReply{})
			return
		}
		t.newestFetch++
		d := &delivery{coordinator: c, owned: t, request: request, number: t.newestFetch, deadline: c.clock() + fetchWaitLimit, reply: reply}
		d.acknowledge()
	})
}

// isCurrent reports whether neither a newer fetch nor another coordinator has superseded this fetch.
func (d *delivery) isCurrent() bool {
	return d.coordinator.ownedTrainers[d.owned.name] == d.owned && d.owned.newestFetch == d.number
}

func (d *delivery) fail() { d.reply(fetchReply{}) }

// acknowledge records in the ledger that the trainer has everything before its cursor.
func (d *delivery) acknowledge() {
	c, t, cursor := d.coordinator, d.owned, d.request.cursor-1
	if cursor == t.view.GetAcknowledgedCursor() {
		d.proceed()
		return
	}
	if cursor < t.view.GetAcknowledgedCursor() {
		d.fail()
		return
	}
	command := &wire.Command{Kind: &wire.Command_BatchAcknowledge{BatchAcknowledge: &wire.BatchAcknowledge{Trainer: t.name, Cursor: cursor}}}
	c.execute(t, command, func(result *wire.SampleResult) {
		if result != nil && !result.GetAccepted() {
			c.releaseTrainer(t, result.GetReason())
		}
		if !result.GetAccepted() || !d.isCurrent() {
			d.fail()
			return
		}
		if cursor != t.view.GetSealedCursor() {
			c.releaseTrainer(t, "its ledger is ahead of this coordinator's view")
			d.fail()
			return
		}
		t.acknowledged = cursor
		d.refresh()
	})
}

// refresh reads the ledger and then proceeds.
func (d *delivery) refresh() {
	d.coordinator.refreshView(d.owned, func(ok bool) {
		if !ok || !d.isCurrent() {
			d.fail()
			return
		}
		d.proceed()
	})
}

// proceed finds the batch at the cursor, which is the sealed one or else the stored samples of the lowest open step,
// and discards, seals or hands it over. Without samples it waits and tries again until the fetch times out.
func (d *delivery) proceed() {
	view, c := d.owned.view, d.coordinator
	if !d.isCurrent() || d.request.cursor != view.GetAcknowledgedCursor()+1 {
		d.fail()
		return
	}
	sealed := view.GetSealedCursor() == d.request.cursor
	step, samples := selectBatch(view, sealed)
	if len(samples) == 0 {
		c.scheduler.FetchStarted(c.clock(), d.owned.name, d.request.version)
		if c.clock() >= d.deadline {
			d.reply(fetchReply{ok: true})
			return
		}
		c.after(fetchPollInterval, d.refresh)
		return
	}
	bound, leased := c.currentBound()
	if !leased {
		d.fail()
		return
	}
	if c.world.hasMutation(BoundFromSeal) {
		if !sealed || d.owned.sealedBound == 0 {
			d.owned.sealedBound = bound
		}
		bound = d.owned.sealedBound
	}
	old := selectStale(samples, d.request.version, bound)
	switch {
	case len(old) > 0 && !c.world.hasMutation(HandOverStale):
		d.discard(old)
	case !sealed || d.owned.sealedFetch != d.request:
		d.seal(step, samples)
	default:
		d.handOver(step, samples, bound)
	}
}

// selectBatch returns the sealed batch, or the next one to seal, with its step.
func selectBatch(view *wire.TrainerView, sealed bool) (*wire.Step, []*wire.Sample) {
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

func selectStale(samples []*wire.Sample, version, bound uint64) []*wire.Sample {
	var old []*wire.Sample
	for _, sample := range samples {
		if _, oldest := summarizeSegments(sample); oldest+bound < version {
			old = append(old, sample)
		}
	}
	return old
}

func (d *delivery) seal(step *wire.Step, samples []*wire.Sample) {
	c, t := d.coordinator, d.owned
	seal := &wire.BatchSeal{Trainer: t.name, Cursor: d.request.cursor, Step: step.GetOpen().GetStep(), Fence: t.fence, Fetch: d.request.number}
	for _, sample := range samples {
		seal.SampleIds = append(seal.SampleIds, sample.GetId())
	}
	if c.world.hasMutation(HandOverUnsealed) {
		if bound, leased := c.currentBound(); leased {
			d.handOver(step, samples, bound)
		}
	}
	c.execute(t, &wire.Command{Kind: &wire.Command_BatchSeal{BatchSeal: seal}}, func(result *wire.SampleResult) {
		if result != nil && (!result.GetAccepted() || !slices.Equal(result.GetSampleIds(), seal.SampleIds)) {
			c.releaseTrainer(t, "the ledger did not seal as asked: "+result.GetReason())
		}
		if result == nil || !d.isCurrent() {
			d.fail()
			return
		}
		t.sealedFetch = d.request
		d.refresh()
	})
}

// discard removes samples that are too old from the ledger and has them generated again.
func (d *delivery) discard(old []*wire.Sample) {
	c, t := d.coordinator, d.owned
	command := &wire.BatchDiscard{Trainer: t.name, Fence: t.fence, Fetch: d.request.number}
	for _, sample := range old {
		command.SampleIds = append(command.SampleIds, sample.GetId())
		command.Editions = append(command.Editions, sample.GetEdition())
	}
	c.execute(t, &wire.Command{Kind: &wire.Command_BatchDiscard{BatchDiscard: command}}, func(result *wire.SampleResult) {
		if result != nil && !result.GetAccepted() {
			c.releaseTrainer(t, result.GetReason())
		}
		if !result.GetAccepted() || !d.isCurrent() {
			d.fail()
			return
		}
		c.tracef("discards %d samples of %s", len(old), t.name)
		if t.handedOverStep == old[0].GetStep() {
			t.handedOverStep-- // the scheduler no longer has a step that was fully handed over
			c.reschedule(t)
		}
		for _, sample := range old {
			delete(t.ledgerEditions, sample.GetId())
			c.scheduler.Discarded(c.clock(), mustParseSampleID(sample.GetId()), sample.GetEdition()+1)
		}
		d.refresh()
	})
}

// handOver answers with the batch. The caller has just checked its samples against the bound.
func (d *delivery) handOver(step *wire.Step, samples []*wire.Sample, bound uint64) {
	number := step.GetOpen().GetStep()
	total := len(step.GetOpen().GetPrompts()) * int(step.GetOpen().GetSamplesPerPrompt())
	complete := len(step.GetDeliveredIds())+len(samples) == total
	if complete && d.owned.handedOverStep < number {
		d.owned.handedOverStep = number
		d.coordinator.scheduler.Delivered(d.coordinator.clock(), d.owned.name, number)
	}
	d.coordinator.world.truth.checkHandOver(d.coordinator, bound)
	d.reply(fetchReply{ok: true, cursor: d.request.cursor, step: number, complete: complete, bound: bound, samples: samples})
}

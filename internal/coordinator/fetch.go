package coordinator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// handleFetch serves POST /v1/trainers/{trainer}/fetch.
func (s *Server) handleFetch(writer http.ResponseWriter, request *http.Request, name string) *refusal {
	var body fetchBody
	if refused := decode(writer, request, s.config.MaxBodyBytes, &body); refused != nil {
		return refused
	}
	if body.Cursor != body.Acknowledge+1 || body.MaxSamples < 0 || body.WaitMillis < 0 {
		return badRequest("cursor must be one above acknowledge; max_samples and wait_millis must not be negative")
	}
	if refused := s.checkTrainerKnown(request.Context(), name); refused != nil {
		return refused
	}
	t, refused := s.ownedTrainer(request, name)
	if refused != nil {
		return refused
	}
	encoded, refused := s.serveFetch(request.Context(), t, &body)
	if refused != nil {
		return refused
	}
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(encoded)
	return nil
}

// serveFetch computes the reply to a fetch while it holds the trainer's turn. The reply is written after the turn is
// released, because a trainer that fetches again no longer reads this one.
func (s *Server) serveFetch(ctx context.Context, t *trainerState, body *fetchBody) ([]byte, *refusal) {
	ctx, release := s.takeTurn(ctx, t)
	defer release()
	s.mutex.Lock()
	t.account.beginFetch(s.now())
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		t.account.endFetch(s.now())
	}()
	if refused := s.acknowledge(t, body.Acknowledge); refused != nil {
		return nil, refused
	}
	return s.deliverBatch(ctx, t, body)
}

// checkTrainerKnown rejects the fetch of a trainer that never opened a step, so that arbitrary names do not allocate
// fencing tokens.
func (s *Server) checkTrainerKnown(ctx context.Context, name string) *refusal {
	s.mutex.Lock()
	owned := s.trainers[name] != nil
	s.mutex.Unlock()
	if owned {
		return nil
	}
	view, err := s.readTrainer(ctx, name)
	if err != nil {
		return refusalFromError(err)
	}
	if len(view.GetSteps()) == 0 && view.GetAcknowledgedCursor() == 0 {
		return &refusal{status: http.StatusNotFound, code: CodeNotFound, message: "this trainer has opened no step"}
	}
	return nil
}

// acknowledge records durably that the trainer has everything up to the cursor. It uses the server's context, so that
// it completes and counts the samples even if the fetch is superseded.
func (s *Server) acknowledge(t *trainerState, cursor uint64) *refusal {
	s.mutex.Lock()
	known := t.delivery.acknowledged
	s.mutex.Unlock()
	if cursor == known {
		return nil
	}
	if cursor < known {
		return conflict("the batch at this cursor was acknowledged")
	}
	result, err := s.execute(s.context, t, &wire.Command{Kind: &wire.Command_BatchAcknowledge{
		BatchAcknowledge: &wire.BatchAcknowledge{Trainer: t.name, Cursor: cursor}}})
	if err != nil {
		return refusalFromError(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !result.GetAccepted() {
		s.dropTrainer(t, result.GetReason())
		return conflict("no batch was handed over at this cursor: " + result.GetReason())
	}
	if cursor != t.delivery.sealed {
		s.dropTrainer(t, "its ledger is ahead of the local state")
		return unavailable(CodeUnavailable, "send the same call again")
	}
	s.stats.HandedOver += uint64(len(t.delivery.sealedIDs))
	t.account.recordAcknowledged()
	step := t.delivery.step(t.delivery.sealedStep)
	t.delivery.recordAcknowledged(cursor)
	if step.scheduled && step.delivered == len(step.ids) {
		// The previous owner handed the last batch over.
		step.scheduled = false
		s.pool(step.open.GetPool()).scheduler.StepClosed(t.name, step.open.GetStep())
	}
	return nil
}

// deliverBatch returns the reply with the batch at the cursor as soon as there is one, or an empty reply when the wait
// time has passed.
func (s *Server) deliverBatch(ctx context.Context, t *trainerState, body *fetchBody) ([]byte, *refusal) {
	wait := min(time.Duration(body.WaitMillis)*time.Millisecond, s.config.MaxFetchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if ctx.Err() != nil {
			return nil, unavailable(CodeSuperseded, "a newer fetch or another coordinator took over")
		}
		next, refused := s.nextBatch(t, body)
		if refused != nil {
			return nil, refused
		}
		if next.changed == nil {
			if encoded, refused := s.advance(ctx, t, body, next); encoded != nil || refused != nil {
				return encoded, refused
			}
			continue
		}
		select {
		case <-next.changed:
		case <-timer.C:
			return encodeReply(&fetchReply{Samples: []sampleReply{}})
		case <-ctx.Done():
			return nil, unavailable(CodeSuperseded, "a newer fetch or another coordinator took over")
		}
		if s.leaving.Load() {
			return nil, unavailable(CodeDraining, "this coordinator is leaving; ask another")
		}
	}
}

func encodeReply(reply *fetchReply) ([]byte, *refusal) {
	encoded, err := json.Marshal(reply)
	if err != nil {
		return nil, unavailable(CodeUnavailable, err.Error())
	}
	return encoded, nil
}

// candidateBatch is a batch that may be handed over at a cursor, or the channel to wait on for one.
type candidateBatch struct {
	step    *deliveryStep
	samples []*wire.Sample
	sealed  bool            // the ledger has sealed the batch
	changed <-chan struct{} // closed when the state changes; set only if there is no batch yet
}

// nextBatch returns the sealed batch at the cursor, or else the samples that could form it.
func (s *Server) nextBatch(t *trainerState, body *fetchBody) (candidateBatch, *refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.trainers[t.name] != t {
		return candidateBatch{}, unavailable(CodeUnavailable, "another coordinator takes this trainer over; send the same call again")
	}
	t.version = max(t.version, body.TrainerVersion)
	d := t.delivery
	if d.sealed == body.Cursor {
		samples, known := d.batch()
		if !known {
			s.dropTrainer(t, "samples of its sealed batch are missing locally")
			return candidateBatch{}, unavailable(CodeUnavailable, "send the same call again")
		}
		return candidateBatch{step: d.step(d.sealedStep), samples: samples, sealed: true}, nil
	}
	if d.acknowledged+1 != body.Cursor {
		return candidateBatch{}, conflict("the batch at this cursor was acknowledged")
	}
	step, samples := d.ready(body.WholeStep)
	if len(samples) > 0 {
		return candidateBatch{step: step, samples: limitBatch(samples, body.MaxSamples, s.config.MaxBatchBytes)}, nil
	}
	if step != nil {
		s.pool(step.open.GetPool()).scheduler.FetchStarted(s.now(), t.name, body.TrainerVersion)
		s.wake()
	}
	return candidateBatch{changed: t.changed}, nil
}

// advance moves a batch one stage further: it discards samples that are too stale, then seals the batch, then returns
// the reply that hands it over. It returns no reply and no refusal if the caller has to call nextBatch again.
func (s *Server) advance(ctx context.Context, t *trainerState, body *fetchBody, next candidateBatch) ([]byte, *refusal) {
	bound, refused := s.currentStalenessBound(next.step)
	if refused != nil {
		return nil, refused
	}
	// For a fetch without a number, the seal must record that there is none before anything is discarded.
	unguarded := body.Fetch == 0 && next.sealed && !s.isFetchConfirmed(t, body)
	if old := staleSamples(next.samples, body.TrainerVersion, bound); len(old) > 0 && !unguarded {
		return nil, s.discard(ctx, t, old, body.Fetch)
	}
	if !next.sealed || !s.isFetchConfirmed(t, body) {
		return nil, s.seal(ctx, t, body, next)
	}
	reply := &fetchReply{Cursor: body.Cursor, Step: next.step.open.GetStep(), StalenessBound: &bound}
	for _, sample := range next.samples {
		reply.Samples = append(reply.Samples, newSampleReply(sample, body.TrainerVersion))
	}
	reply.StepComplete = s.completesStep(t, next.step)
	encoded, refused := encodeReply(reply)
	if refused != nil {
		return nil, refused
	}
	// The bound may have changed meanwhile, so it is checked again after all slow operations.
	latest, refused := s.currentStalenessBound(next.step)
	if refused != nil || latest != bound {
		return nil, refused
	}
	s.recordHandedOver(t, next.step, reply)
	return encoded, nil
}

// currentStalenessBound returns the staleness bound of the step's pool in the table in force, in versions. It rejects
// the fetch if this coordinator holds no lease or the table lacks the pool.
func (s *Server) currentStalenessBound(step *deliveryStep) (uint64, *refusal) {
	view, ok := s.session.AdmitView()
	if !ok {
		return 0, unavailable(CodeNoLease, "this coordinator holds no lease; ask another")
	}
	row := view.Pool(step.open.GetPool())
	if row == nil {
		return 0, unavailable(CodeUnavailable, "the table has no pool "+step.open.GetPool()+" any more")
	}
	return uint64(row.StalenessBound), nil
}

// fetchID identifies one fetch of a trainer.
type fetchID struct{ cursor, fetch uint64 }

// isFetchConfirmed reports whether the ledger has recorded that the batch at the fetch's cursor may be handed over for
// this fetch. Without that record, another coordinator that the trainer asked earlier could discard samples of the
// batch and regenerate them while this one hands them over. A fetch without a number is not guarded, but the ledger has
// to record that too, or it would guard the batch forever with the number of an earlier fetch.
func (s *Server) isFetchConfirmed(t *trainerState, body *fetchBody) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return t.confirmedFetch == fetchID{body.Cursor, body.Fetch}
}

// seal fixes the batch at the cursor in the ledger, or records a newer fetch of a sealed batch. The ledger's answer is
// authoritative.
func (s *Server) seal(ctx context.Context, t *trainerState, body *fetchBody, next candidateBatch) *refusal {
	s.mutex.Lock()
	unchanged := next.step.holdsSamples(next.samples)
	t.sealing = unchanged
	s.mutex.Unlock()
	if !unchanged {
		return nil // some were discarded meanwhile; the caller calls nextBatch again
	}
	ids := make([]string, 0, len(next.samples))
	for _, sample := range next.samples {
		ids = append(ids, sample.GetId())
	}
	number := next.step.open.GetStep()
	result, err := s.execute(ctx, t, &wire.Command{Kind: &wire.Command_BatchSeal{BatchSeal: &wire.BatchSeal{
		Trainer: t.name, Cursor: body.Cursor, SampleIds: ids, Step: number, Fence: t.fence, Fetch: body.Fetch}}})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t.sealing = false
	if err != nil {
		return refusalFromError(err)
	}
	if result.GetReason() == ledger.ReasonStaleFetch {
		return supersededFetch(result.GetFetch())
	}
	if !result.GetAccepted() || !slices.Equal(result.GetSampleIds(), ids) {
		s.dropTrainer(t, "the ledger did not seal the requested batch: "+result.GetReason())
		return unavailable(CodeUnavailable, "send the same call again")
	}
	t.delivery.recordSeal(body.Cursor, number, slices.Clone(ids))
	t.confirmedFetch = fetchID{body.Cursor, body.Fetch}
	return nil
}

// completesStep reports whether the trainer has all of the step once it has the sealed batch.
func (s *Server) completesStep(t *trainerState, step *deliveryStep) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return step.delivered+len(t.delivery.sealedIDs) == len(step.ids)
}

func (s *Server) recordHandedOver(t *trainerState, step *deliveryStep, reply *fetchReply) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ages := make([]uint64, 0, len(reply.Samples))
	for _, sample := range reply.Samples {
		ages = append(ages, sample.Age)
	}
	t.account.recordHandedOver(ages)
	if !reply.StepComplete || step.handedOver {
		return
	}
	step.handedOver, step.scheduled = true, false
	s.stats.StepsCompleted++
	s.pool(step.open.GetPool()).scheduler.Delivered(s.now(), t.name, step.open.GetStep())
}

// discard durably discards stored samples that are too stale and schedules their regeneration.
func (s *Server) discard(ctx context.Context, t *trainerState, old []*wire.Sample, fetch uint64) *refusal {
	command := &wire.BatchDiscard{Trainer: t.name, Fence: t.fence, Fetch: fetch}
	slots := make([]ledger.SlotID, 0, len(old))
	for _, sample := range old {
		tokens, _ := sampleTokens(sample)
		command.DiscardedTokens += uint64(tokens)
		command.SampleIds = append(command.SampleIds, sample.GetId())
		command.Editions = append(command.Editions, sample.GetEdition())
		slots = append(slots, ledger.SlotID{Trainer: t.name, Step: sample.GetStep(), Prompt: sample.GetPromptId(), Index: sample.GetIndex()})
	}
	result, err := s.execute(ctx, t, &wire.Command{Kind: &wire.Command_BatchDiscard{BatchDiscard: command}})
	if err != nil {
		return refusalFromError(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if result.GetReason() == ledger.ReasonStaleFetch {
		return supersededFetch(result.GetFetch())
	}
	if !result.GetAccepted() {
		s.dropTrainer(t, result.GetReason())
		return unavailable(CodeUnavailable, "send the same call again")
	}
	s.stats.DiscardedStale += uint64(len(old))
	s.stats.DiscardedTokens += command.GetDiscardedTokens()
	for _, id := range slots {
		s.regenerate(t, id)
	}
	s.config.Log.Debugf("discarded %d samples of trainer %s that exceeded the staleness bound", len(slots), t.name)
	s.wake()
	return nil
}

// supersededFetch rejects a fetch after which the trainer made a newer one.
func supersededFetch(newest uint64) *refusal {
	refused := unavailable(CodeSuperseded, "the trainer has made a newer fetch of this batch, or this one was served already")
	refused.fetch = newest
	return refused
}

// regenerate schedules a discarded slot again. The caller holds the mutex.
func (s *Server) regenerate(t *trainerState, id ledger.SlotID) {
	step := t.delivery.step(id.Step)
	if step == nil {
		return
	}
	s.scheduleStep(t, step) // the scheduler has dropped a step that was handed over completely
	t.delivery.recordDiscarded(id)
	slot := step.slots[id.String()]
	s.pool(step.open.GetPool()).scheduler.Discarded(s.now(), rolloutID(id), slot.edition)
}

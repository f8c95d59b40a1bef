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
	if refused := s.knownTrainer(request.Context(), name); refused != nil {
		return refused
	}
	t, refused := s.owned(request, name)
	if refused != nil {
		return refused
	}
	encoded, refused := s.serveTurn(request.Context(), t, &body)
	if refused != nil {
		return refused
	}
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(encoded)
	return nil
}

// serveTurn decides under the trainer's turn what a fetch gets. The reply is written after the turn: a trainer
// that fetches again does not read it any more.
func (s *Server) serveTurn(ctx context.Context, t *trainerState, body *fetchBody) ([]byte, *refusal) {
	ctx, release := s.takeTurn(ctx, t)
	defer release()
	s.mutex.Lock()
	t.account.begin(s.now())
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		t.account.end(s.now())
	}()
	if refused := s.acknowledge(t, body.Acknowledge); refused != nil {
		return nil, refused
	}
	return s.handOver(ctx, t, body)
}

// knownTrainer refuses the fetch of a trainer that never opened a step: names that anyone makes up take no
// fence.
func (s *Server) knownTrainer(ctx context.Context, name string) *refusal {
	s.mutex.Lock()
	owned := s.trainers[name] != nil
	s.mutex.Unlock()
	if owned {
		return nil
	}
	view, err := s.readTrainer(ctx, name)
	if err != nil {
		return unanswered(err)
	}
	if len(view.GetSteps()) == 0 && view.GetAcknowledgedCursor() == 0 {
		return &refusal{status: http.StatusNotFound, code: CodeNotFound, message: "this trainer has opened no step"}
	}
	return nil
}

// acknowledge notes durably that the trainer has everything up to the cursor. Once begun it is seen through,
// also when the fetch is superseded, so that the samples are counted.
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
		return unanswered(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !result.GetAccepted() {
		s.depose(t, result.GetReason())
		return conflict("no batch was handed over at this cursor: " + result.GetReason())
	}
	if cursor != t.delivery.sealed {
		s.depose(t, "its ledger is ahead of what is known here")
		return unavailable(CodeUnavailable, "send the same call again")
	}
	s.stats.HandedOver += uint64(len(t.delivery.sealedIDs))
	t.account.acknowledged()
	step := t.delivery.step(t.delivery.sealedStep)
	t.delivery.acknowledge(cursor)
	if step.scheduled && step.delivered == len(step.ids) {
		// The owner before handed the last batch over.
		step.scheduled = false
		s.pool(step.open.GetPool()).scheduler.Closed(t.name, step.open.GetStep())
	}
	return nil
}

// handOver returns the reply with the batch at the cursor as soon as there is one, or with none when the wait
// is over.
func (s *Server) handOver(ctx context.Context, t *trainerState, body *fetchBody) ([]byte, *refusal) {
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

// candidateBatch is what may be handed over at a cursor.
type candidateBatch struct {
	step    *deliveryStep
	samples []*wire.Sample
	sealed  bool            // the ledger has the batch
	changed <-chan struct{} // set when there is nothing yet
}

// nextBatch finds the batch at a cursor.
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
			s.depose(t, "its sealed batch is not known here")
			return candidateBatch{}, unavailable(CodeUnavailable, "send the same call again")
		}
		return candidateBatch{step: d.step(d.sealedStep), samples: samples, sealed: true}, nil
	}
	if d.acknowledged+1 != body.Cursor {
		return candidateBatch{}, conflict("the batch at this cursor was acknowledged")
	}
	step, samples := d.ready(body.WholeStep)
	if len(samples) > 0 {
		return candidateBatch{step: step, samples: limit(samples, body.MaxSamples, s.config.MaxBatchBytes)}, nil
	}
	if step != nil {
		s.pool(step.open.GetPool()).scheduler.Wanted(s.now(), t.name, body.TrainerVersion)
		s.wake()
	}
	return candidateBatch{changed: t.changed}, nil
}

// advance takes a batch one step further: too old samples out, then sealed, then handed over, when it returns
// the reply.
func (s *Server) advance(ctx context.Context, t *trainerState, body *fetchBody, next candidateBatch) ([]byte, *refusal) {
	bound, refused := s.boundInForce(next.step)
	if refused != nil {
		return nil, refused
	}
	unguarded := body.Fetch == 0 && next.sealed && !s.mayServe(t, body) // the seal says so before anything is discarded
	if old := tooOld(next.samples, body.TrainerVersion, bound); len(old) > 0 && !unguarded {
		return nil, s.discard(ctx, t, old, body.Fetch)
	}
	if !next.sealed || !s.mayServe(t, body) {
		return nil, s.seal(ctx, t, body, next)
	}
	reply := &fetchReply{Cursor: body.Cursor, Step: next.step.open.GetStep(), StalenessBound: &bound}
	for _, sample := range next.samples {
		reply.Samples = append(reply.Samples, newSampleReply(sample, body.TrainerVersion))
	}
	reply.StepComplete = s.completes(t, next.step)
	encoded, refused := encodeReply(reply)
	if refused != nil {
		return nil, refused
	}
	// The last look at the bound comes after everything that takes time.
	now, refused := s.boundInForce(next.step)
	if refused != nil || now != bound {
		return nil, refused
	}
	s.noteHandedOver(t, next.step, reply)
	return encoded, nil
}

// boundInForce is the staleness bound in the table that is in force now, under the lease.
func (s *Server) boundInForce(step *deliveryStep) (uint64, *refusal) {
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

// fetchMark names one fetch of a trainer.
type fetchMark struct{ cursor, fetch uint64 }

// mayServe tells whether the ledger knows that the batch at the fetch's cursor may be handed over for it. Without
// that another coordinator, to which the trainer turned earlier, could throw samples of the batch away and have
// them made again while this one hands them over. A fetch without a number is not guarded, but the ledger has to know
// that, or it would guard the batch against a fetch with one for ever.
func (s *Server) mayServe(t *trainerState, body *fetchBody) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return t.served == fetchMark{body.Cursor, body.Fetch}
}

// seal fixes the batch at the cursor in the ledger, or notes a newer fetch of it. What the ledger answers counts.
func (s *Server) seal(ctx context.Context, t *trainerState, body *fetchBody, next candidateBatch) *refusal {
	s.mutex.Lock()
	whole := next.step.holds(next.samples)
	t.sealing = whole
	s.mutex.Unlock()
	if !whole {
		return nil // some were discarded meanwhile: look again
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
		return unanswered(err)
	}
	if result.GetReason() == ledger.ReasonStaleFetch {
		return abandonedFetch(result.GetFetch())
	}
	if !result.GetAccepted() || !slices.Equal(result.GetSampleIds(), ids) {
		s.depose(t, "the ledger did not seal as asked: "+result.GetReason())
		return unavailable(CodeUnavailable, "send the same call again")
	}
	t.delivery.seal(body.Cursor, number, slices.Clone(ids))
	t.served = fetchMark{body.Cursor, body.Fetch}
	return nil
}

// completes tells whether the trainer has all of the step once it has the batch that is out.
func (s *Server) completes(t *trainerState, step *deliveryStep) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return step.delivered+len(t.delivery.sealedIDs) == len(step.ids)
}

func (s *Server) noteHandedOver(t *trainerState, step *deliveryStep, reply *fetchReply) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ages := make([]uint64, 0, len(reply.Samples))
	for _, sample := range reply.Samples {
		ages = append(ages, sample.Age)
	}
	t.account.handedOver(ages)
	if !reply.StepComplete || step.handed {
		return
	}
	step.handed, step.scheduled = true, false
	s.stats.StepsCompleted++
	s.pool(step.open.GetPool()).scheduler.Delivered(s.now(), t.name, step.open.GetStep())
}

// discard throws stored samples away that are too old, durably, and has them generated anew.
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
		return unanswered(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if result.GetReason() == ledger.ReasonStaleFetch {
		return abandonedFetch(result.GetFetch())
	}
	if !result.GetAccepted() {
		s.depose(t, result.GetReason())
		return unavailable(CodeUnavailable, "send the same call again")
	}
	s.stats.DiscardedStale += uint64(len(old))
	s.stats.DiscardedTokens += command.GetDiscardedTokens()
	for _, id := range slots {
		s.regenerate(t, id)
	}
	s.config.Log.Debugf("discarded %d samples of trainer %s that were too old", len(slots), t.name)
	s.wake()
	return nil
}

// abandonedFetch refuses a fetch after which the trainer made another.
func abandonedFetch(newest uint64) *refusal {
	refused := unavailable(CodeSuperseded, "the trainer has made a newer fetch of this batch, or this one was served already")
	refused.fetch = newest
	return refused
}

// regenerate puts a discarded slot back to work. The caller holds the mutex.
func (s *Server) regenerate(t *trainerState, id ledger.SlotID) {
	step := t.delivery.step(id.Step)
	if step == nil {
		return
	}
	s.scheduleStep(t, step) // a step handed over wholly is not with the scheduler any more
	t.delivery.discarded(id)
	slot := step.slots[id.String()]
	s.pool(step.open.GetPool()).scheduler.Discarded(s.now(), rolloutID(id), slot.edition)
}

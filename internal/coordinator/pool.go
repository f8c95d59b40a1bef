package coordinator

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Parameters of the estimate of the capacity that gateways give a pool's rollouts. A rejection shrinks the estimate,
// and it grows back over time.
const (
	capacityShrinkFactor   = 0.8
	capacityShrinkInterval = 500 * time.Millisecond
	capacityGrowthRate     = 0.1 // fraction of the granted slots, per second
	finishingPerSlot       = 4   // samples in scoring or storing per slot that do not count against the capacity
	maxRejectPause         = time.Second
)

// pool is the state of one model pool at this coordinator. Guarded by the server's mutex.
type pool struct {
	name              string
	scheduler         *rollout.Scheduler
	running           map[rollout.SampleID]*run
	finishing         int     // running samples whose text is complete, in scoring or storing
	capacity          float64 // estimated number of slots that the gateways give; 0 when not known yet
	capacityUpdatedAt time.Duration
	shrunkAt          time.Duration // time of the last shrink of the capacity
	pausedUntil       time.Duration // no sample starts before this time
	replicas          map[string]*replicaState
	available         uint64          // newest version that the pool's replicas serve
	collectorStatus   collectorStatus // from the coordinator that polls the replicas, if that is another one
	wave              *waveState
}

// pool returns the pool with the given name and creates it if necessary. The caller holds the mutex.
func (s *Server) pool(name string) *pool {
	known := s.pools[name]
	if known == nil {
		known = &pool{
			name: name, scheduler: rollout.New(rollout.Config{Policy: s.config.Policy}),
			running: map[rollout.SampleID]*run{}, replicas: map[string]*replicaState{},
		}
		s.pools[name] = known
	}
	return known
}

// schedule starts samples until ctx ends.
func (s *Server) schedule(ctx context.Context) error {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.mutex.Lock()
			s.dropReassignedTrainers()
			s.expireReceivedPartials()
			s.mutex.Unlock()
		case <-s.wakeup:
		}
		s.startSamples()
	}
}

func (s *Server) startSamples() {
	view, ok := s.session.AdmitView()
	if !ok {
		return // without the lease the table may be out of date, so nothing starts; running samples continue
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.pools {
		row := view.Pool(p.name)
		if row == nil {
			continue
		}
		now := s.now()
		for _, t := range s.trainers {
			p.scheduler.Released(now, t.name, p.availableVersion(t))
		}
		s.migrateSamples(p, view)
		s.expire(p, uint64(row.StalenessBound))
		if s.draining.Load() || now < p.pausedUntil {
			continue
		}
		slots := p.effectiveSlots(now, grantedSlots(view, p.name))
		slots += min(p.finishing, finishingPerSlot*slots)
		for _, start := range p.scheduler.Next(now, rollout.Capacity{Slots: slots, StalenessBound: uint64(row.StalenessBound)}) {
			s.startSample(p, start)
		}
	}
}

// availableVersion returns the newest version that the pool's replicas serve. While no replica reports what it serves,
// the trainer's own version is assumed to be available; the hand-over checks the versions that generated each sample.
func (p *pool) availableVersion(t *trainerState) uint64 {
	if p.hasReports() {
		return p.available
	}
	return max(p.available, t.version)
}

// hasReports reports whether any replica's weight version is known.
func (p *pool) hasReports() bool {
	for _, replica := range p.replicas {
		if replica.hasReport {
			return true
		}
	}
	return p.collectorStatus.Reporting
}

// grantedSlots returns the number of slots that the table grants to rollouts in a pool.
func grantedSlots(view *table.View, pool string) int {
	total := 0
	for _, backend := range view.Backends(pool) {
		if backend.Serving() {
			limit := int(backend.MaxInFlight)
			total += max(0, min(limit-int(backend.LiveReserve), limit*int(backend.RolloutShare)/100))
		}
	}
	return total
}

// effectiveSlots updates the capacity estimate and returns the number of slots to use, at least 1 unless none is
// granted.
func (p *pool) effectiveSlots(now time.Duration, granted int) int {
	if p.capacity == 0 {
		p.capacity = float64(granted)
	}
	p.capacity = min(p.capacity+capacityGrowthRate*float64(granted)*(now-p.capacityUpdatedAt).Seconds(), float64(granted))
	p.capacityUpdatedAt = now
	if granted == 0 {
		return 0
	}
	return max(1, int(p.capacity))
}

// recordRejection shrinks the capacity estimate because a gateway rejected a request, at most once per
// capacityShrinkInterval, and briefly pauses new samples.
func (p *pool) recordRejection(now, retryAfter time.Duration) {
	p.pausedUntil = max(p.pausedUntil, now+min(retryAfter, maxRejectPause)/10)
	if now < p.shrunkAt+capacityShrinkInterval {
		return
	}
	p.shrunkAt = now
	p.capacity = max(1, min(p.capacity, float64(len(p.running)-p.finishing))*capacityShrinkFactor)
}

// expire discards samples that will be too stale when their trainer uses them. Samples in the sealed batch are left to
// the trainer's next fetch, since the trainer may already have them. The caller holds the mutex.
func (s *Server) expire(p *pool, bound uint64) {
	stale := map[*trainerState][]*wire.Sample{}
	for _, id := range p.scheduler.Expired(bound) {
		t := s.trainers[id.Trainer]
		if t == nil || t.sealing {
			continue
		}
		slot := t.delivery.slot(ledgerID(id))
		if slot == nil || slot.delivered || slot.discarding || t.delivery.isSealed(id.String()) {
			continue
		}
		if slot.sample != nil {
			slot.discarding = true
			stale[t] = append(stale[t], slot.sample)
			continue
		}
		s.discardTokens(p, t, id)
		p.scheduler.Discarded(s.now(), id, slot.edition)
	}
	for t, samples := range stale {
		s.start(func() { s.discardExpired(t, samples) })
	}
}

// discardTokens drops a sample that is not stored and the tokens generated for it. The caller holds the mutex.
func (s *Server) discardTokens(p *pool, t *trainerState, id rollout.SampleID) {
	tokens := 0
	if r := p.running[id]; r != nil {
		r.cancel()
		delete(p.running, id)
		if r.generated {
			p.finishing--
		}
		tokens = r.partial.tokens
	} else if kept := t.partials[id.String()]; kept != nil {
		tokens = kept.tokens
	}
	delete(t.partials, id.String())
	s.stats.DiscardedStale++
	s.stats.DiscardedTokens += uint64(tokens)
}

// discardExpired discards stored samples that are in no batch. Their slots are marked as discarding, so that no batch
// includes them meanwhile: a sample that the trainer may have is discarded only by the trainer's own next fetch.
func (s *Server) discardExpired(t *trainerState, samples []*wire.Sample) {
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for _, sample := range samples {
			if slot := t.delivery.slot(slotOf(sample)); slot != nil {
				slot.discarding = false
			}
		}
		t.notify()
	}()
	_ = s.discard(t.context, t, samples, 0)
}

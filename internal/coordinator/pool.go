package coordinator

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Parameters of the room that a pool's gateways give to rollouts. A refusal shrinks it, time and finished
// samples bring it back.
const (
	roomShrink       = 0.8
	roomShrinkPause  = 500 * time.Millisecond
	roomGrowth       = 0.1 // of the table's room, per second
	waitingPerSlot   = 4   // samples in scoring or storing for each slot that go beside the room
	refusedPauseMost = time.Second
)

// pool is one model pool as this coordinator sees it. Guarded by the server's mutex.
type pool struct {
	name      string
	scheduler *rollout.Scheduler
	running   map[rollout.SampleID]*run
	after     int     // running samples that are generated and wait for their score or the ledger
	room      float64 // slots that the gateways seem to give; 0 when not known yet
	roomAt    time.Duration
	shrunk    time.Duration // time of the last shrink
	paused    time.Duration // nothing starts before
	replicas  map[string]*replicaState
	available uint64        // newest version that the pool's replicas serve
	news      collectorNews // from the coordinator that polls the replicas, where that is another
	wave      *waveState
}

// pool returns the pool of a name. The caller holds the mutex.
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
			s.deposeMoved()
			s.forgetBegun()
			s.mutex.Unlock()
		case <-s.kick:
		}
		s.startSamples()
	}
}

func (s *Server) startSamples() {
	view, ok := s.session.AdmitView()
	if !ok {
		return // without the lease the table may be old: what runs goes on, nothing starts
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
			p.scheduler.Released(now, t.name, p.availableTo(t))
		}
		s.moveAway(p, view)
		s.expire(p, uint64(row.StalenessBound))
		if s.draining.Load() || now < p.paused {
			continue
		}
		slots := p.slots(now, tableRoom(view, p.name))
		slots += min(p.after, waitingPerSlot*slots)
		for _, start := range p.scheduler.Next(now, rollout.Room{Slots: slots, StalenessBound: uint64(row.StalenessBound)}) {
			s.startSample(p, start)
		}
	}
}

// availableTo is the newest version that the pool's replicas serve. Where none of them reports what it serves,
// nothing speaks against the trainer's own; the hand-over looks at what really came.
func (p *pool) availableTo(t *trainerState) uint64 {
	if p.reporting() {
		return p.available
	}
	return max(p.available, t.version)
}

// reporting tells whether any replica says what it serves.
func (p *pool) reporting() bool {
	for _, replica := range p.replicas {
		if replica.known {
			return true
		}
	}
	return p.news.Reporting
}

// tableRoom is how many slots the table grants to rollouts in a pool.
func tableRoom(view *table.View, pool string) int {
	total := 0
	for _, backend := range view.Backends(pool) {
		if backend.Serving() {
			most := int(backend.MaxInFlight)
			total += max(0, min(most-int(backend.LiveRoom), most*int(backend.RolloutShare)/100))
		}
	}
	return total
}

// slots follows the room that the gateways give.
func (p *pool) slots(now time.Duration, granted int) int {
	if p.room == 0 {
		p.room = float64(granted)
	}
	p.room = min(p.room+roomGrowth*float64(granted)*(now-p.roomAt).Seconds(), float64(granted))
	p.roomAt = now
	if granted == 0 {
		return 0
	}
	return max(1, int(p.room))
}

// refused notes that a gateway had no room.
func (p *pool) refused(now, retryAfter time.Duration) {
	p.paused = max(p.paused, now+min(retryAfter, refusedPauseMost)/10)
	if now < p.shrunk+roomShrinkPause {
		return
	}
	p.shrunk = now
	p.room = max(1, min(p.room, float64(len(p.running)-p.after))*roomShrink)
}

// expire drops what will be too old when its trainer uses it. What the trainer may have already is left to
// the hand-over. The caller holds the mutex.
func (s *Server) expire(p *pool, bound uint64) {
	old := map[*trainerState][]*wire.Sample{}
	for _, id := range p.scheduler.Expired(bound) {
		t := s.trainers[id.Trainer]
		if t == nil || t.sealing {
			continue
		}
		slot := t.delivery.slot(ledgerID(id))
		if slot == nil || slot.delivered || slot.leaving || t.delivery.isSealed(id.String()) {
			continue
		}
		if slot.sample != nil {
			slot.leaving = true
			old[t] = append(old[t], slot.sample)
			continue
		}
		s.dropTokens(p, t, id)
		p.scheduler.Discarded(s.now(), id, slot.edition)
	}
	for t, samples := range old {
		s.start(func() { s.discardExpired(t, samples) })
	}
}

// dropTokens throws away what is generated of a sample that is not stored. The caller holds the mutex.
func (s *Server) dropTokens(p *pool, t *trainerState, id rollout.SampleID) {
	tokens := 0
	if one := p.running[id]; one != nil {
		one.cancel()
		delete(p.running, id)
		if one.generated {
			p.after--
		}
		tokens = one.partial.tokens
	} else if kept := t.partials[id.String()]; kept != nil {
		tokens = kept.tokens
	}
	delete(t.partials, id.String())
	s.stats.DiscardedStale++
	s.stats.DiscardedTokens += uint64(tokens)
}

// discardExpired discards stored samples that no batch holds. They are marked as leaving, so that no batch
// takes them meanwhile: what the trainer may have is never discarded except by its own next fetch.
func (s *Server) discardExpired(t *trainerState, samples []*wire.Sample) {
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for _, sample := range samples {
			if slot := t.delivery.slot(slotOf(sample)); slot != nil {
				slot.leaving = false
			}
		}
		t.notify()
	}()
	_ = s.discard(t.context, t, samples, 0)
}

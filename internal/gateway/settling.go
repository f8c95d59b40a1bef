package gateway

import (
	"context"
	"sync"

	"github.com/tamarindring/tamarindring/internal/dispatch"
)

// settlementLimiter limits the concurrent ledger commands of requests that were already answered.
type settlementLimiter struct {
	limit   int // concurrent commands per ledger group
	mutex   sync.Mutex
	groups  map[uint32]*dispatch.SettlementLimiter
	waiters map[uint64]chan struct{} // by ID of the waiting exchange
}

func newSettlementLimiter(limit int) *settlementLimiter {
	return &settlementLimiter{limit: limit, groups: map[uint32]*dispatch.SettlementLimiter{}, waiters: map[uint64]chan struct{}{}}
}

// acquire waits until the exchange may send its command. It returns false if ctx ends first. The waiting entry is
// not removed in that case, because ctx ends only with the gateway.
func (s *settlementLimiter) acquire(ctx context.Context, group uint32, id uint64, kind dispatch.ClaimKind) bool {
	s.mutex.Lock()
	settlements := s.groups[group]
	if settlements == nil {
		settlements = dispatch.NewSettlementLimiter(s.limit)
		s.groups[group] = settlements
	}
	if settlements.TryAcquire(id, kind) {
		s.mutex.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.waiters[id] = turn
	s.mutex.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return false
	}
}

// release ends a command that was admitted by acquire. answered reports whether the ledger responded.
func (s *settlementLimiter) release(group uint32, answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, id := range s.groups[group].Release(answered) {
		close(s.waiters[id])
		delete(s.waiters, id)
	}
}

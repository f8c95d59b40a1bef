package gateway

import (
	"context"
	"sync"

	"github.com/tamarindring/tamarindring/internal/dispatch"
)

// settling lets the answered requests speak to the ledger a few at a time.
type settling struct {
	limit  int // per ledger group
	mutex  sync.Mutex
	groups map[uint32]*dispatch.Settlements
	turns  map[uint64]chan struct{} // by exchange that waits
}

func newSettling(limit int) *settling {
	return &settling{limit: limit, groups: map[uint32]*dispatch.Settlements{}, turns: map[uint64]chan struct{}{}}
}

// enter waits until the exchange may send its command; it is false when ctx ends first. Nothing is taken back then:
// ctx ends with the gateway.
func (s *settling) enter(ctx context.Context, group uint32, id uint64, kind dispatch.ClaimKind) bool {
	s.mutex.Lock()
	waiting := s.groups[group]
	if waiting == nil {
		waiting = dispatch.NewSettlements(s.limit)
		s.groups[group] = waiting
	}
	if waiting.Ask(id, kind) {
		s.mutex.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.turns[id] = turn
	s.mutex.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return false
	}
}

// leave ends a command that entered.
func (s *settling) leave(group uint32, answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, id := range s.groups[group].Done(answered) {
		close(s.turns[id])
		delete(s.turns, id)
	}
}

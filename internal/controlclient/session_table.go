package controlclient

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// extendLease extends the lease from the time its renewal was sent.
func (s *Session) extendLease(sentAt, duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaving != nil {
		return
	}
	now := s.client.config.Clock()
	_, held := s.holder.Admit(now)
	s.logLeaseChange(now, held) // logs a lease that expired without anyone asking
	s.holder.RecordRenewal(sentAt, duration)
	_, held = s.holder.Admit(now)
	s.logLeaseChange(now, held)
	if !s.everHeld {
		s.everHeld = true
		close(s.firstGrant)
	}
}

// applyUpdate replaces the view. From then on nothing is admitted on an older version, so the next renewal may
// acknowledge the new one.
func (s *Session) applyUpdate(update *wire.TableUpdate) error {
	current := s.view.Load()
	if update.ToVersion <= current.Version() && update.FromVersion != 0 {
		return nil
	}
	next, err := current.Apply(update)
	if err != nil {
		return trace.Wrap(err, "the table update can't be applied")
	}
	if next.Version() < current.Version() {
		return trace.BadParameter("the control node sent table version %d after %d", next.Version(), current.Version())
	}
	s.mutex.Lock()
	s.view.Store(next)
	s.holder.ActOn(next.Version())
	listeners := s.listeners
	s.mutex.Unlock()
	notifyListeners(listeners, next)
	return nil
}

// notifyListeners calls the listeners in the order in which they were registered.
func notifyListeners(listeners []func(*table.View), view *table.View) {
	for _, listener := range listeners {
		listener(view)
	}
}

package controlclient

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// logControlLost logs that a control node stopped serving this session. err is nil after an orderly end.
func (s *Session) logControlLost(address string, err error) {
	s.loggedNode = ""
	s.mutex.Lock()
	now := s.client.config.Clock()
	_, held := s.holder.Admit(now)
	s.logLeaseChange(now, held)
	left := s.holder.Remaining(now)
	s.mutex.Unlock()
	logging.Emit(s.client.config.Log, &events.ControlLost{Address: address, Cause: events.ErrorText(err), LeaseLeftMs: events.Millis(left)})
}

// recordRenewer stores the address of the control node that granted the lease, and logs it if it has changed.
func (s *Session) recordRenewer(address string, lease time.Duration) {
	s.renewer.Store(&address)
	if s.loggedNode == address {
		return
	}
	s.loggedNode = address
	logging.Emit(s.client.config.Log, &events.ControlFound{Address: address, TableVersion: s.view.Load().Version(), LeaseMs: events.Millis(lease)})
}

// recordLevel raises the level in force and logs the rise. A lower level is ignored, because a new leader may not
// know yet of a rise that its predecessor announced.
func (s *Session) recordLevel(level uint32) {
	if before := s.level.Load(); level > before {
		s.level.Store(level)
		logging.Emit(s.client.config.Log, &events.LevelKnown{Agreed: level, Before: before})
	}
}

// logLeaseChange logs when the lease has expired without renewal, and when it is held again. The caller holds the
// mutex.
func (s *Session) logLeaseChange(now time.Duration, holds bool) {
	if holds == s.loggedHeld || s.leaving != nil {
		return
	}
	s.loggedHeld = holds
	version := s.holder.Version()
	if holds {
		logging.Emit(s.client.config.Log, &events.LeaseRegained{TableVersion: version, WithoutMs: events.Millis(now - s.leaseEndedAt)})
		return
	}
	s.leaseEndedAt = min(s.holder.Expires(), now)
	logging.Emit(s.client.config.Log, &events.LeaseLost{TableVersion: version, SinceMs: events.Millis(now - s.leaseEndedAt)})
}

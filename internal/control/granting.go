package control

import (
	"context"
	"sync/atomic"
	"time"
)

// nodeListMaxAge is the maximum age of the list of control nodes that a grant carries.
const nodeListMaxAge = time.Second

// nodeList caches the addresses of the control group's nodes. Grants carry them, so that a process that outlives all
// nodes named in its settings still finds the group.
type nodeList struct {
	addresses atomic.Pointer[[]string]
	readAt    atomic.Int64 // on the server's clock
}

// refresh reads the list again if it is older than nodeListMaxAge. On errors the old list is kept.
func (l *nodeList) refresh(ctx context.Context, s *Server) {
	now := s.config.Clock()
	if l.addresses.Load() != nil && now-time.Duration(l.readAt.Load()) < nodeListMaxAge {
		return
	}
	addresses, err := s.replicas.Addresses(ctx, controlGroup)
	if err != nil {
		return
	}
	l.addresses.Store(&addresses)
	l.readAt.Store(int64(now))
}

func (l *nodeList) get() []string {
	if known := l.addresses.Load(); known != nil {
		return *known
	}
	return nil
}

// grantLoop handles queued renewals until ctx ends. All renewals that are queued at the same time share one read round.
func (s *Server) grantLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.renewals:
			s.grantRound(ctx, s.collectRenewals(first))
		}
	}
}

// collectRenewals returns first and all other renewals that are queued.
func (s *Server) collectRenewals(first renewal) []renewal {
	batch := []renewal{first}
	for {
		select {
		case next := <-s.renewals:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// grantRound confirms the leadership after the renewals have arrived, then handles them. If the leadership cannot be
// confirmed, nothing is granted. Holders are told the leader that redirect knows of; those without an answer turn to
// another node on their own.
func (s *Server) grantRound(ctx context.Context, batch []renewal) {
	term, leading := s.confirmLeadership(ctx)
	if !leading {
		s.redirect(ctx, batch)
		return
	}
	for _, pending := range batch {
		s.handleRenewal(term, pending)
	}
}

// confirmLeadership runs a read round of the control group and returns the term in which the leadership was confirmed.
// It returns false if this node does not lead or the round failed.
func (s *Server) confirmLeadership(ctx context.Context) (uint64, bool) {
	before := s.states[controlGroup].leader()
	if !before.Leading {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Lease/2)
	defer cancel()
	if err := s.replicas.Read(ctx, controlGroup); err != nil {
		return 0, false
	}
	after := s.states[controlGroup].leader()
	if !after.Leading || after.Term != before.Term {
		return 0, false
	}
	s.nodes.refresh(ctx, s)
	if !s.leases.leads(after.Term) && !s.beginTerm(after.Term) {
		return 0, false
	}
	return after.Term, true
}

// beginTerm prepares the first grant of a term whose leadership was confirmed. It returns false if part of the applied
// state could not be read.
func (s *Server) beginTerm(term uint64) bool {
	if _, err := s.publisher.refresh(); err != nil {
		return false
	}
	if !s.levels.beginLeading(s.leases.version() == 0) {
		return false
	}
	s.beginGranting(term)
	s.detector.beginLeading()
	s.levels.requestCheck()
	return true
}

// beginGranting starts granting leases in a term. Shares are started first, since a grant without shares tells its
// holder that no resource is divided.
func (s *Server) beginGranting(term uint64) {
	s.shares.beginLeading(term)
	s.leases.beginLeading(term)
}

// stopGranting stops granting leases. Shares are stopped first: the next term can begin as soon as the leases are gone,
// and must not lose the shares that it already has.
func (s *Server) stopGranting() {
	s.shares.stopLeading()
	s.leases.stopLeading()
}

// redirect tells holders which other node leads, or that no leader is known. In the latter case they find the next
// leader sooner by asking other nodes than by waiting here, since this node may never learn of it.
func (s *Server) redirect(ctx context.Context, batch []renewal) {
	address := s.otherLeader(ctx, controlGroup)
	if address == "" && s.leadsControlGroup() {
		return
	}
	for _, pending := range batch {
		if address == "" {
			pending.session.notifyLeaderUnknown()
		} else {
			pending.session.redirectTo(address)
		}
	}
}

// handleRenewal answers one renewal in the term in which the leadership was confirmed.
func (s *Server) handleRenewal(term uint64, pending renewal) {
	holder, request := pending.session.holder, pending.request
	if request.Leaving {
		s.leases.release(holder)
		s.shares.release(holder)
		s.detector.handleLeaving(pending)
		return // answered once the departure is recorded
	}
	if !s.detector.ensureRegistered(pending) {
		return // answered once the member is registered
	}
	if !s.leases.renew(term, holder, s.leases.coveredVersion(pending.session.scope(), request.ActedVersion)) {
		pending.session.answerRenewal(request.Sequence, false, nil)
		return
	}
	pending.session.answerRenewal(request.Sequence, true, s.shares.renew(term, s.leases.version(), pending.session, request))
}

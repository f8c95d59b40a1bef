package control

import (
	"context"
	"sync/atomic"
	"time"
)

// nodesLife is how old the list of control nodes in a grant may be.
const nodesLife = time.Second

// nodeList is where the control group's nodes listen. Grants name it, so that a process that lives longer
// than every node in its settings still finds the group.
type nodeList struct {
	addresses atomic.Pointer[[]string]
	readAt    atomic.Int64 // on the server's clock
}

// refresh reads the list again when it is old. What cannot be read stays as it was.
func (l *nodeList) refresh(ctx context.Context, s *Server) {
	now := s.config.Clock()
	if l.addresses.Load() != nil && now-time.Duration(l.readAt.Load()) < nodesLife {
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

// grantLoop judges waiting renewals, all that wait in one read round, until ctx ends.
func (s *Server) grantLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.renewals:
			s.grantRound(ctx, s.waiting(first))
		}
	}
}

// waiting takes all renewals that have arrived.
func (s *Server) waiting(first renewal) []renewal {
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

// grantRound confirms the leadership after the arrival of the renewals, then grants them. When the
// leadership can't be confirmed nobody is answered: holders turn to another node by themselves.
func (s *Server) grantRound(ctx context.Context, batch []renewal) {
	term, leading := s.confirmLeadership(ctx)
	if !leading {
		s.redirect(ctx, batch)
		return
	}
	for _, waiting := range batch {
		s.judge(term, waiting)
	}
}

// confirmLeadership runs a read round of the control group and returns the term that it confirmed.
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

// beginTerm prepares the first grant of a term whose leadership was confirmed; false: not all that is applied here could be read.
func (s *Server) beginTerm(term uint64) bool {
	if _, err := s.publisher.refresh(); err != nil {
		return false
	}
	if !s.levels.beginLeading(s.leases.version() == 0) {
		return false
	}
	s.beginGranting(term)
	s.detector.lead()
	s.levels.lookSoon()
	return true
}

// beginGranting begins to grant leases in a term. The shares come first: a grant without them would tell its holder that nothing is divided.
func (s *Server) beginGranting(term uint64) {
	s.shares.beginLeading(term)
	s.leases.lead(term)
}

// stopGranting ends that. The shares go first: a next term may begin once the leases are gone, and must not lose the shares that it has.
func (s *Server) stopGranting() {
	s.shares.stopLeading()
	s.leases.follow()
}

// redirect tells holders which other node leads, or that none is known: they find the next leader sooner by
// asking around than by waiting here, where it may never be heard of.
func (s *Server) redirect(ctx context.Context, batch []renewal) {
	address := s.otherLeader(ctx, controlGroup)
	if address == "" && s.leading() {
		return
	}
	for _, waiting := range batch {
		if address == "" {
			waiting.session.turnAway()
		} else {
			waiting.session.redirectTo(address)
		}
	}
}

// judge answers one renewal whose leadership was confirmed in term.
func (s *Server) judge(term uint64, waiting renewal) {
	holder, request := waiting.session.holder, waiting.request
	if request.Leaving {
		s.leases.release(holder)
		s.shares.release(holder)
		s.detector.leave(waiting)
		return // answered once that is recorded
	}
	if !s.detector.registered(waiting) {
		return // answered once the member is registered
	}
	if !s.leases.renew(term, holder, request.ActedVersion) {
		waiting.session.answerRenewal(request.Sequence, false, nil)
		return
	}
	waiting.session.answerRenewal(request.Sequence, true, s.shares.renew(term, s.leases.version(), waiting.session, request))
}

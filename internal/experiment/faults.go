package experiment

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/routing"
)

// leaveNotice is the time from a replica's word that it leaves to its end: live calls finish meanwhile.
const leaveNotice = 30 * time.Second

// leaveReplica has a replica announce that it leaves. The coordinator moves its samples, as in production.
func (s *simulation) leaveReplica(r *replica, away time.Duration) {
	if r.down || r.leaving {
		return
	}
	r.leaving = true
	s.setLeaving(r, true)
	s.after(s.reportLag, func() {
		s.advance(r)
		for _, one := range sortedAttempts(r) {
			if moved, is := one.receiver.(*sample); is && moved.current == one {
				moved.moveAway()
			}
		}
	})
	s.after(leaveNotice, func() { s.crash(r, away) })
	s.after(leaveNotice+away, func() {
		r.leaving = false
		s.setLeaving(r, false)
	})
}

func (s *simulation) setLeaving(r *replica, leaving bool) {
	for _, g := range s.gateways {
		g.pool.SetLeaving(r.name, routing.SourcePlatform, leaving)
	}
}

// scheduleFaults sets the first strike of every fault.
func (s *simulation) scheduleFaults() {
	random := newRandom(s.seed, streamFaults)
	for index := range s.scenario.Faults {
		fault := &s.scenario.Faults[index]
		var strike func()
		strike = func() {
			s.strike(fault, random.Perm(len(s.replicas)))
			if fault.Every > 0 {
				s.after(time.Duration(random.ExpFloat64()*float64(fault.Every)), strike)
			}
		}
		s.at(fault.First, strike)
	}
}

// strike applies a fault once; order is the replicas in the order in which they are hit.
func (s *simulation) strike(fault *Fault, order []int) {
	hit := order[:min(fault.Replicas, len(order))]
	switch fault.Kind {
	case FaultCrash:
		for _, index := range hit {
			s.crash(s.replicas[index], fault.Duration)
		}
	case FaultSwap:
		for _, index := range hit {
			s.replicas[index].engine.FailNextSwap(swapFailures[fault.Swap])
		}
	case FaultLateReports:
		s.reportLag = fault.Lag
		s.after(fault.Duration, func() { s.reportLag = s.scenario.Fleet.ReportLag })
	case FaultLeave:
		for _, index := range hit {
			s.leaveReplica(s.replicas[index], fault.Duration)
		}
	case FaultScorer:
		s.scorerUntil = max(s.scorerUntil, s.now+fault.Duration)
	}
}

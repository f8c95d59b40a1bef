package experiment

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/routing"
)

// leaveNotice is the time between a replica's announcement that it leaves and its shutdown. Live calls finish in this
// time.
const leaveNotice = 30 * time.Second

// startLeaving makes a replica announce that it leaves. The coordinator migrates the replica's samples, as in
// production. The replica shuts down after leaveNotice and returns after the downtime.
func (s *simulation) startLeaving(r *replica, downtime time.Duration) {
	if r.down || r.leaving {
		return
	}
	r.leaving = true
	s.setLeaving(r, true)
	s.after(s.reportLag, func() {
		s.advance(r)
		for _, one := range sortedAttempts(r) {
			if moved, isSample := one.receiver.(*sample); isSample && moved.current == one {
				moved.migrate()
			}
		}
	})
	s.after(leaveNotice, func() { s.crash(r, downtime) })
	s.after(leaveNotice+downtime, func() {
		r.leaving = false
		s.setLeaving(r, false)
	})
}

func (s *simulation) setLeaving(r *replica, leaving bool) {
	for _, g := range s.gateways {
		g.pool.SetLeaving(r.name, routing.SourcePlatform, leaving)
	}
}

// scheduleFaults schedules the first occurrence of every fault. Recurring faults reschedule themselves.
func (s *simulation) scheduleFaults() {
	random := newRandom(s.seed, streamFaults)
	for index := range s.scenario.Faults {
		fault := &s.scenario.Faults[index]
		var applyAndReschedule func()
		applyAndReschedule = func() {
			s.applyFault(fault, random.Perm(len(s.replicas)))
			if fault.Every > 0 {
				s.after(time.Duration(random.ExpFloat64()*float64(fault.Every)), applyAndReschedule)
			}
		}
		s.at(fault.First, applyAndReschedule)
	}
}

// applyFault applies one occurrence of a fault. It affects the first fault.Replicas replicas of order, which holds
// indexes of replicas in random order.
func (s *simulation) applyFault(fault *Fault, order []int) {
	targets := order[:min(fault.Replicas, len(order))]
	switch fault.Kind {
	case FaultCrash:
		for _, index := range targets {
			s.crash(s.replicas[index], fault.Duration)
		}
	case FaultSwap:
		for _, index := range targets {
			s.replicas[index].engine.FailNextSwap(swapFailures[fault.Swap])
		}
	case FaultLateReports:
		s.reportLag = fault.Lag
		s.after(fault.Duration, func() { s.reportLag = s.scenario.Fleet.ReportLag })
	case FaultLeave:
		for _, index := range targets {
			s.startLeaving(s.replicas[index], fault.Duration)
		}
	case FaultScorer:
		s.scorerStalledUntil = max(s.scorerStalledUntil, s.now+fault.Duration)
	}
}

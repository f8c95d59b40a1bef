package experiment

import (
	"time"
)

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
	case FaultScorer:
		s.scorerUntil = max(s.scorerUntil, s.now+fault.Duration)
	}
}

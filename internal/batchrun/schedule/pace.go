package schedule

import "math"

// Half-lives of moving averages, in events. A run's pace follows a replica that turns slow within a few events. The
// paces of replicas and pools are steady.
const (
	runPaceHalfLife     = 4
	replicaPaceHalfLife = 20
	poolPaceHalfLife    = 200
	// minimumPaceEvents is how many events the pace of a replica requires, because its first events may arrive
	// together.
	minimumPaceEvents = 5
)

// paceAverage is a moving average of the time between two events. It divides the time that the newest events took by
// their number, so that events that arrive late and together count with the time they took together. With averages of
// single pauses, one run in five left a replica on which it took the usual 50 ms per event (123 of 604 moves in a
// simulated day with few faults).
type paceAverage struct{ seconds, events float64 }

// add records events that took some seconds together. The weight of earlier events halves every halfLife events.
func (p *paceAverage) add(seconds float64, events int, halfLife float64) {
	decay := math.Exp2(-float64(events) / halfLife)
	p.seconds = p.seconds*decay + seconds
	p.events = p.events*decay + float64(events)
}

// value returns the seconds between two events; 0 while the weighted number of events is below minimumEvents.
func (p *paceAverage) value(minimumEvents float64) float64 {
	if p.events == 0 || p.events < minimumEvents {
		return 0
	}
	return p.seconds / p.events
}

// runPace is the pace of a run.
type runPace struct {
	average                paceAverage
	lastPace, previousPace float64 // seconds per event in the last two reports that contained events
}

// add records events that took some seconds together.
func (p *runPace) add(seconds float64, events int) {
	p.average.add(seconds, events, runPaceHalfLife)
	p.previousPace, p.lastPace = p.lastPace, seconds/float64(events)
}

// isSlow reports whether the run's events have taken more than ratio times the usual time for a while and still do. A
// single pause, such as for loading weights, is followed by events at the normal pace and does not count.
func (p *runPace) isSlow(usual, ratio float64) bool {
	stillSlow := (1 + ratio) / 2
	return p.average.value(0) > ratio*usual && min(p.lastPace, p.previousPace) > stillSlow*usual
}

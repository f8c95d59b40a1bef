package schedule

import "math"

// The events after which a pace counts half: that of a run follows a replica that turns slow within some events, those of a
// replica and of a pool are steady.
const (
	runPaceLife     = 4
	replicaPaceLife = 20
	poolPaceLife    = 200
	// paceEvents is how many events the pace of a replica needs: its first ones may come together.
	paceEvents = 5
)

// paceAverage is a moving average of the time between two events: the time that the newest ones took by their number, so that events
// which arrive late and then together count with the time that they took together. Averages of single pauses made one run in
// five leave a replica on which it took the usual 50 ms an event (123 of 604 moves on a played day with few faults).
type paceAverage struct{ seconds, events float64 }

// add notes events that took some seconds together.
func (p *paceAverage) add(seconds float64, events int, life float64) {
	kept := math.Exp2(-float64(events) / life)
	p.seconds = p.seconds*kept + seconds
	p.events = p.events*kept + float64(events)
}

// value is the seconds between two events; 0 while there are fewer than least.
func (p *paceAverage) value(least float64) float64 {
	if p.events == 0 || p.events < least {
		return 0
	}
	return p.seconds / p.events
}

// runPace is the pace of a run.
type runPace struct {
	average        paceAverage
	latest, before float64 // of the events between the last two looks that found some, and between the two before
}

func (p *runPace) add(seconds float64, events int) {
	p.average.add(seconds, events, runPaceLife)
	p.before, p.latest = p.latest, seconds/float64(events)
}

// isSlow reports whether the run's events have taken more than ratio times a usual pause for a while and still do: after a pause,
// such as a load of weights makes, it goes on as before.
func (p *runPace) isSlow(usual, ratio float64) bool {
	still := (1 + ratio) / 2
	return p.average.value(0) > ratio*usual && min(p.latest, p.before) > still*usual
}

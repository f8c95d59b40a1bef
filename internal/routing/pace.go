package routing

import "time"

// RecordPace records a replica's own report of how long work takes there at the moment, as a multiple of the usual
// time. seen is when the report arrived. A slowdown of 0 or less means that the replica reported none and is ignored.
func (p *Pool) RecordPace(name string, slowdown float64, seen time.Duration) {
	i := p.Index(name)
	if i < 0 || slowdown <= 0 {
		return
	}
	p.replicas[i].reportedPace.Note(slowdown, seen, &p.slowdownDuration)
}

// expectedSlowdown returns the expected duration of a request that is sent now, as a multiple of the usual duration.
// Replicas that report no pace count as 1. A request ends within a fraction of a second, so a passing slowdown counts
// as much as a lasting one, unless its report is old.
func (p *Pool) expectedSlowdown(r *replica, now time.Duration) float64 {
	reportedPace := r.reportedPace.Pace()
	if reportedPace.Passing == 0 {
		return 1
	}
	return reportedPace.Expected(now, p.slowdownDuration.Expected())
}

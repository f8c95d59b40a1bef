// Package pace estimates how fast a replica works, in two parts: a lasting one, such as its hardware, and a passing
// one, such as the load of other processes on its machine.
//
// The parts are separate because replicas differ permanently and also slow down for moments. A scheduler that takes a
// passing slowdown for a lasting one moves the work away, processes its prompts again elsewhere, and may arrive there
// just as that replica slows down.
//
// The package is pure: times are durations since an arbitrary start.
package pace

import (
	"math"
	"time"
)

// Pace is how long work takes at a replica, as multiples of the usual time: 1 is the usual time, 2 twice as long.
type Pace struct {
	Lasting float64 // learned slowly, from runs alone or with known other runs beside them; 0: unknown
	Passing float64 // additional factor, from the replica's latest report; 0: unknown
	// ReportedAt is when Passing was reported. Its influence decays with its age, at the rate at which slowdowns
	// usually end.
	ReportedAt time.Duration
}

// Bounds of the passing part. No report makes a replica look idle or dead.
const (
	minPassing = 0.25
	maxPassing = 8
)

// Expected returns how long work that begins now is expected to take, as a multiple of the usual time. The passing
// part decays towards 1 with slowdownDuration, the expected duration of a slowdown, as the time constant.
func (p Pace) Expected(now, slowdownDuration time.Duration) float64 {
	lasting := p.Lasting
	if lasting == 0 {
		lasting = 1
	}
	return lasting * (1 + (p.boundedPassing()-1)*p.freshness(now, slowdownDuration))
}

// boundedPassing returns the passing part within its bounds, or 1 if it is unknown.
func (p Pace) boundedPassing() float64 {
	if p.Passing == 0 {
		return 1
	}
	return min(max(p.Passing, minPassing), maxPassing)
}

// freshness returns the weight of the passing part: 1 when it was just reported, decreasing to 0 with its age.
func (p Pace) freshness(now, slowdownDuration time.Duration) float64 {
	if slowdownDuration <= 0 {
		return 0
	}
	return math.Exp(-float64(max(now-p.ReportedAt, 0)) / float64(slowdownDuration))
}

// Slowed reports whether the passing part made work notably longer when it was reported, and the report is still
// fresh enough to act on.
func (p Pace) Slowed(now, slowdownDuration time.Duration) bool {
	return p.boundedPassing() >= slowdownThreshold && p.freshness(now, slowdownDuration) >= minFreshness
}

const (
	// slowdownThreshold is the passing part from which on work counts as slowed down. Smaller values are lost in the
	// uneven arrival of events.
	slowdownThreshold = 1.25
	// minFreshness is the least freshness of a report that is acted on: about that of a report as old as a slowdown
	// usually lasts.
	minFreshness = 0.37
)

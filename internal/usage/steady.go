package usage

import "time"

const (
	// followed is the largest deviation of the wall clock from the monotonic one that is taken at once: clocks are slewed
	// by less, and windows are judged to some percent of their requests.
	followed = 200 * time.Millisecond
	// steppedFor is how long a larger one must last until it is taken: a clock that is stepped by mistake is mostly put right
	// again within seconds.
	steppedFor = time.Minute
)

// Steady tells true time from a wall clock that may be stepped and a monotonic one that is not. It is not safe for concurrent
// use.
type Steady struct {
	started bool
	origin  time.Time // wall clock at monotonic time 0, as it is believed
	stepped bool
	since   time.Duration // from when on the wall clock has deviated by more than followed
}

// At returns the time of an instant, as it is believed, from both clocks' readings at that instant.
func (s *Steady) At(wall time.Time, monotonic time.Duration) time.Time {
	origin := wall.Round(0).Add(-monotonic)
	deviation := origin.Sub(s.origin).Abs()
	switch {
	case !s.started || deviation <= followed:
		s.started, s.origin, s.stepped = true, origin, false
	case !s.stepped:
		s.stepped, s.since = true, monotonic
	case monotonic-s.since >= steppedFor:
		s.origin, s.stepped = origin, false
	}
	return s.origin.Add(monotonic)
}

package usage

import "time"

const (
	// maximumSlew is the largest deviation of the wall clock from the monotonic clock that is adopted at once. Clocks
	// are slewed by less, and the figures of windows need to be accurate to some percent of their requests only.
	maximumSlew = 200 * time.Millisecond
	// stepConfirmTime is how long a larger deviation must last until it is adopted. A clock that was stepped by
	// mistake is usually corrected within seconds.
	stepConfirmTime = time.Minute
)

// SteadyClock derives true time from a wall clock that may be stepped and a monotonic clock that is not. It is not safe
// for concurrent use.
type SteadyClock struct {
	started        bool
	origin         time.Time // estimated true time at monotonic time 0
	deviating      bool
	deviatingSince time.Duration // since when the wall clock has deviated by more than maximumSlew
}

// At returns the estimated true time of an instant, from the readings of both clocks at that instant.
func (s *SteadyClock) At(wall time.Time, monotonic time.Duration) time.Time {
	origin := wall.Round(0).Add(-monotonic)
	deviation := origin.Sub(s.origin).Abs()
	switch {
	case !s.started || deviation <= maximumSlew:
		s.started, s.origin, s.deviating = true, origin, false
	case !s.deviating:
		s.deviating, s.deviatingSince = true, monotonic
	case monotonic-s.deviatingSince >= stepConfirmTime:
		s.origin, s.deviating = origin, false
	}
	return s.origin.Add(monotonic)
}

package poison

import "time"

// The numbers of crashes from which on a suspect is treated differently.
const (
	// TrialCrashes is from how many crashes on a suspect runs one at a time in the whole deployment. One crash may be any back end's
	// own fault; a second one under the same request is reason enough to risk one back end at a time.
	TrialCrashes = 2
	// CondemnedCrashes is from how many crashes on a suspect counts as the cause and rests for long.
	CondemnedCrashes = 3
)

// Defaults of Settings.
const (
	// DefaultTrialRest lets the back ends of the first two crashes come back, which takes 3.2 s to 3.4 s for a process that starts
	// again, so that a third crash leaves a service of three with two. A batch item that was beside two crashes waits no longer than
	// that for nothing.
	DefaultTrialRest = 4 * time.Second
	// DefaultCondemnedRest is the rest after the third crash. A caller that comes again without end costs one more back end after it,
	// and the next one ten times as late.
	DefaultCondemnedRest = 10 * time.Minute
	// DefaultMaximum bounds the suspects on record, which all processes hold: a fortieth of the table's rows.
	DefaultMaximum = 512
)

// Settings say how long suspects rest. Zero fields take the defaults.
type Settings struct {
	TrialRest     time.Duration // after the second crash
	CondemnedRest time.Duration // after the third; ten times as long after each further one
	Maximum       int           // suspects on record; beyond it those with one crash make room
}

// WithDefaults fills unset fields.
func (s Settings) WithDefaults() Settings {
	if s.TrialRest == 0 {
		s.TrialRest = DefaultTrialRest
	}
	if s.CondemnedRest == 0 {
		s.CondemnedRest = DefaultCondemnedRest
	}
	if s.Maximum == 0 {
		s.Maximum = DefaultMaximum
	}
	return s
}

// restGrowth is how many times as long as the last one the rest after a further crash is.
const restGrowth = 10

// maximumRest bounds a suspect's rest.
const maximumRest = 7 * 24 * time.Hour

// rest is how long nothing runs of a suspect after so many crashes.
func (s *Settings) rest(crashes uint32) time.Duration {
	switch {
	case crashes < TrialCrashes:
		return 0
	case crashes < CondemnedCrashes:
		return s.TrialRest
	}
	rest := s.CondemnedRest
	for range crashes - CondemnedCrashes {
		if rest >= maximumRest/restGrowth {
			return maximumRest
		}
		rest *= restGrowth
	}
	return rest
}

// keptRests is for how many of its rests a suspect stays on record without another crash.
const keptRests = 2

// retention is how long a suspect stays on record.
func (s *Settings) retention(crashes uint32) time.Duration {
	return keptRests * max(s.rest(crashes), s.CondemnedRest/keptRests)
}

package poison

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/defaults"
)

// The numbers of crashes at which the restrictions of a suspect become stricter.
const (
	// TrialCrashes is the number of crashes from which on a suspect runs one at a time in the whole deployment. A
	// single crash may be the back end's own fault. A second one under the same request justifies risking only one back
	// end at a time.
	TrialCrashes = 2
)

// Defaults of Settings.
const (
	// DefaultTrialRest gives the back ends of the first two crashes time to restart, which takes 3.2 s to 3.4 s. A
	// third crash then leaves a service of three replicas with two.
	DefaultTrialRest = 4 * time.Second
	// DefaultOwedRest gives them that time as well. It is shorter than DefaultTrialRest, so that an owed request and a
	// caller's request under which the same back ends crashed are not tried at the same moment.
	DefaultOwedRest = 3500 * time.Millisecond
	// DefaultCondemnedRest is the rest after the first proven crash. A caller that retries without end crashes one more back
	// end after this rest, and the next one after a rest that is ten times as long.
	DefaultCondemnedRest = 10 * time.Minute
	// DefaultMaximum bounds the suspects on record, all of which every process holds. It is 1/40 of the table's rows.
	DefaultMaximum = 512
)

// Settings holds the rests of suspects and the size of the record. Zero fields stand for the defaults.
type Settings struct {
	TrialRest     time.Duration // rest before a trial
	OwedRest      time.Duration // rest before a trial of an owed request
	CondemnedRest time.Duration // rest after the first proven crash; ten times as long after each further one
	Maximum       int           // suspects on record; further ones replace suspects with a single crash
}

// WithDefaults returns a copy in which unset fields have their default values.
func (s Settings) WithDefaults() Settings {
	defaults.Set(&s.TrialRest, DefaultTrialRest)
	defaults.Set(&s.OwedRest, DefaultOwedRest)
	defaults.Set(&s.CondemnedRest, DefaultCondemnedRest)
	defaults.Set(&s.Maximum, DefaultMaximum)
	return s
}

// restGrowth is the factor by which each crash after the third one lengthens the rest.
const restGrowth = 10

// maximumRest bounds a suspect's rest.
const maximumRest = 7 * 24 * time.Hour

// restAfter returns how long a suspect must not run after the given numbers of crashes and of proven ones.
func (s *Settings) restAfter(crashes, proven uint32, owed bool) time.Duration {
	switch {
	case crashes < TrialCrashes:
		return 0
	case proven == 0 && owed:
		return s.OwedRest
	case proven == 0:
		return s.TrialRest
	}
	rest := s.CondemnedRest
	for range proven - 1 {
		if rest >= maximumRest/restGrowth {
			return maximumRest
		}
		rest *= restGrowth
	}
	return rest
}

// retainedRests is the retention of a suspect without another crash, as a multiple of its rest.
const retainedRests = 2

// retentionAfter returns how long a suspect stays on record after its last crash. It is at least CondemnedRest.
func (s *Settings) retentionAfter(crashes, proven uint32) time.Duration {
	return retainedRests * max(s.restAfter(crashes, proven, false), s.CondemnedRest/retainedRests)
}

package pace

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of a replica's latest samples that are kept. The lasting part is their median. A
	// replica that is slow for moments therefore does not count as slow, and one that becomes slow permanently does
	// after half of the samples.
	maxSamples = 15
	// minSamples is the number of samples from which on the lasting part is known.
	minSamples = 3
	// sampleInterval is the least time between two samples. Replicas report with each answer, and the reports of many
	// answers that begin together count as one sample.
	sampleInterval = 100 * time.Millisecond
	// minReported and maxReported bound a reported pace, so that no report makes a replica look idle or dead.
	minReported = 0.1
	maxReported = 10
)

// ReportEstimator estimates a replica's pace from its own reports, which contain the lasting and the passing part in
// one number. The zero value has no reports. It is not safe for concurrent use.
type ReportEstimator struct {
	samples    []float64 // oldest first
	sampledAt  time.Duration
	latest     float64
	latestSeen time.Duration
	lasting    float64
	state      slowdownState
}

// Note adds a report: how long work takes, as a multiple of the usual time. seen is when it arrived. It also updates
// slowdowns. Reports of 0 or less, and those that arrived before the latest one, are ignored.
func (s *ReportEstimator) Note(reported float64, seen time.Duration, slowdowns *SlowdownEstimator) {
	if reported <= 0 || s.latest > 0 && seen < s.latestSeen {
		return
	}
	reported = min(max(reported, minReported), maxReported)
	if s.latest == 0 || seen >= s.sampledAt+sampleInterval {
		s.addSample(reported, seen)
	}
	s.latest, s.latestSeen = reported, seen
	if s.lasting > 0 {
		slowdowns.observe(&s.state, reported/s.lasting, seen)
	}
}

func (s *ReportEstimator) addSample(reported float64, seen time.Duration) {
	if len(s.samples) == maxSamples {
		s.samples = append(s.samples[:0], s.samples[1:]...)
	}
	s.samples, s.sampledAt = append(s.samples, reported), seen
	if len(s.samples) < minSamples {
		return
	}
	sorted := slices.Clone(s.samples)
	slices.Sort(sorted)
	s.lasting = sorted[(len(sorted)-1)/2]
}

// Pace returns the reported pace, split into its two parts. Until minSamples samples were taken, all of it counts as
// the passing part.
func (s *ReportEstimator) Pace() Pace {
	if s.lasting == 0 {
		return Pace{Passing: s.latest, ReportedAt: s.latestSeen}
	}
	return Pace{Lasting: s.lasting, Passing: s.latest / s.lasting, ReportedAt: s.latestSeen}
}

package rollout

import "time"

// StepView is the information on a step by which a Policy decides whether its samples may start.
type StepView struct {
	// Rank is the number of open steps of the trainer before this one.
	Rank int
	// Staleness is the number of versions by which the newest available weights will be behind when the step is used.
	Staleness uint64
	// TrainerWaiting is set while the trainer waits for samples.
	TrainerWaiting bool
	// HasEstimates is set once the training time, the time per token and the sample lengths have been learned. The
	// fields below are valid only then.
	HasEstimates bool
	// ExpectedFetch is the expected time of the trainer's first fetch of this step.
	ExpectedFetch time.Duration
	// Margin is how long before ExpectedFetch the step is to be complete. Waits of the trainer are added to it, and it
	// shrinks while the trainer does not wait.
	Margin time.Duration
	// NextVersionAt is the time at which newer weights than the current ones are expected to be available.
	NextVersionAt time.Duration
	// RemainingWork is the time that a single running sample would need for all remaining tokens of this step and the
	// steps before it.
	RemainingWork time.Duration
	// Running is the number of the trainer's samples in generation.
	Running int
	// MeanConcurrency is the mean number of the trainer's samples that must run concurrently for its steps to complete
	// in time.
	MeanConcurrency int
	// FairShare is the trainer's share of the slots.
	FairShare int
	// LongestSampleTime is the time that the longest sample of the step may take.
	LongestSampleTime time.Duration
}

// SampleView is the information on a waiting sample by which a Policy decides whether and in which order to start it.
type SampleView struct {
	Index            uint32 // position within its group
	Generated        int    // number of tokens kept from earlier attempts
	GroupHasFinished bool   // a sample of the group has finished
	// MaxRemainingTokens is a number of further tokens that the sample is unlikely to exceed. It is based on the group
	// once one of its samples has finished, and on the longest sample of the step until then. The first sample of an
	// unknown group gets an allowance on top, because it is started early to tell a long group from a short one.
	MaxRemainingTokens int
	// MaxRemainingTime is the time needed for MaxRemainingTokens; 0 if unknown.
	MaxRemainingTime time.Duration
}

// Policy decides when the samples of a step may start and in which order. The Scheduler itself enforces the staleness
// bound, fair shares and the capacity, so a policy can't violate them. Implementations are stateless.
type Policy interface {
	// Name returns the name of the policy for reports.
	Name() string
	// IsEligible reports whether a sample of the step may start now.
	IsEligible(now time.Duration, step StepView, sample SampleView) bool
	// StartsBefore reports whether first is to start before second. Both belong to the same step.
	StartsBefore(first, second SampleView) bool
	// KeepsPrefix reports whether an interrupted sample continues from its tokens instead of starting again.
	KeepsPrefix() bool
}

// Synchronous is a baseline policy that generates a step only once its trainer waits for it. Samples start in the
// given order, and interrupted ones start again.
type Synchronous struct{}

// Name implements Policy.
func (Synchronous) Name() string { return "synchronous" }

// IsEligible implements Policy. Only samples of the first step are eligible, and only on the version that the trainer
// uses.
func (Synchronous) IsEligible(_ time.Duration, step StepView, _ SampleView) bool {
	return step.Rank == 0 && step.Staleness == 0
}

// StartsBefore implements Policy. Samples keep the given order.
func (Synchronous) StartsBefore(_, _ SampleView) bool { return false }

// KeepsPrefix implements Policy.
func (Synchronous) KeepsPrefix() bool { return false }

// Asynchronous is a baseline policy that generates as far ahead as the staleness bound permits. Samples start in the
// given order.
type Asynchronous struct{}

// Name implements Policy.
func (Asynchronous) Name() string { return "asynchronous" }

// IsEligible implements Policy. All samples are eligible.
func (Asynchronous) IsEligible(time.Duration, StepView, SampleView) bool { return true }

// StartsBefore implements Policy. Samples keep the given order.
func (Asynchronous) StartsBefore(_, _ SampleView) bool { return false }

// KeepsPrefix implements Policy.
func (Asynchronous) KeepsPrefix() bool { return true }

// Paced starts each sample on the newest weights with which it still completes in time. One probe of each group and
// samples that are likely to be long start first, and no more samples run concurrently than the step needs. Each
// mechanism can be disabled for ablation. The zero value enables all of them.
type Paced struct {
	// NoFreshness starts samples on the oldest weights that the staleness bound permits.
	NoFreshness bool
	// NoPrediction assumes that every sample is as long as the longest one.
	NoPrediction bool
	// NoSmoothing starts as many samples concurrently as the capacity permits.
	NoSmoothing bool
	// NoLongestFirst starts samples in the order given.
	NoLongestFirst bool
	// NoContinuation restarts interrupted samples from the prompt.
	NoContinuation bool
	// NoSteadiness lets the number of running samples fall below its mean also when that mean takes up much of the
	// capacity.
	NoSteadiness bool
	// NoMargin aims to complete a step exactly when its trainer fetches it.
	NoMargin bool
}

// Name implements Policy.
func (p Paced) Name() string {
	name := "paced"
	for _, part := range []struct {
		off  bool
		name string
	}{
		{p.NoFreshness, "freshness"}, {p.NoPrediction, "prediction"}, {p.NoSmoothing, "smoothing"},
		{p.NoLongestFirst, "longest-first"}, {p.NoContinuation, "continuation"}, {p.NoMargin, "margin"}, {p.NoSteadiness, "steadiness"},
	} {
		if part.off {
			name += "-no-" + part.name
		}
	}
	return name
}

// IsEligible implements Policy.
func (p Paced) IsEligible(now time.Duration, step StepView, sample SampleView) bool {
	if !step.HasEstimates || (step.Rank == 0 && step.TrainerWaiting) {
		return true
	}
	remaining, due := sample.MaxRemainingTime, step.ExpectedFetch-step.Margin
	if p.NoPrediction {
		remaining = step.LongestSampleTime
	}
	if p.NoMargin {
		due = step.ExpectedFetch
	}
	if now+remaining >= due {
		return true
	}
	if !p.NoSteadiness && step.isCrowded() && step.Running < step.MeanConcurrency {
		return true
	}
	if !p.NoFreshness && step.NextVersionAt+freshnessFactor*remaining <= due {
		return false
	}
	return p.NoSmoothing || time.Duration(step.Running)*(due-now) < step.RemainingWork
}

// freshnessFactor decides whether a sample waits for the next version: it does if the time between that version and the
// step's due time is at least freshnessFactor times the sample's remaining time. The factor is above 1 because the rest
// of the step needs that period too and its work is spread over it.
const freshnessFactor = 5

// crowdedShare is the share of the trainer's capacity from which its mean concurrency is held steady. Otherwise the
// peaks that follow each lull would take up replicas left to live traffic.
const crowdedShare = 0.25

// isCrowded reports whether the trainer's mean concurrency takes up much of its share of the capacity.
func (s *StepView) isCrowded() bool {
	return float64(s.MeanConcurrency) > crowdedShare*float64(s.FairShare)
}

// StartsBefore implements Policy. Samples with kept tokens come first because these tokens age, then one probe of
// each unknown group, then the samples with the most remaining tokens.
func (p Paced) StartsBefore(first, second SampleView) bool {
	if p.NoLongestFirst {
		return false
	}
	if (first.Generated > 0) != (second.Generated > 0) {
		return first.Generated > 0
	}
	firstProbe, secondProbe := first.isProbe(), second.isProbe()
	if firstProbe != secondProbe {
		return firstProbe
	}
	return first.MaxRemainingTokens > second.MaxRemainingTokens
}

// isProbe reports whether the sample is the first of a group whose length is unknown.
func (s SampleView) isProbe() bool { return s.Index == 0 && !s.GroupHasFinished }

// KeepsPrefix implements Policy.
func (p Paced) KeepsPrefix() bool { return !p.NoContinuation }

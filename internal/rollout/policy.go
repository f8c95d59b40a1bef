package rollout

import "time"

// StepView is what a Policy may know about a step when it decides whether its samples may start.
type StepView struct {
	// Rank is the number of the trainer's open steps before this one.
	Rank int
	// Lag is how many versions the newest released weights will be behind when the step is used.
	Lag uint64
	// TrainerWaiting says that a fetch waits for samples now.
	TrainerWaiting bool
	// Due is the expected time of the trainer's first fetch of this step; valid if DueKnown.
	Due      time.Duration
	DueKnown bool
	// Lead is the learned time that all tokens of the step and of those before it still need on the granted
	// room.
	Lead time.Duration
	// LeadKnown says that step time and length history exist; it holds for SampleView.Lead too.
	LeadKnown bool
	// LongestLead is the time that the longest sample of the step may need.
	LongestLead time.Duration
	// Safety is the trainer's learned factor on Lead, at least 1.
	Safety float64
}

// SampleView is what a Policy may know about a waiting sample when it decides on the order.
type SampleView struct {
	Index      uint32 // in its group
	Predicted  int    // whole length in tokens
	Generated  int    // kept tokens
	GroupKnown bool   // some sample of the group has finished
	// Lead is the time that the sample may still need: for the first of an unknown group the time that the
	// longest sample of the whole step may need, and some to tell a long group from a short one.
	Lead time.Duration
}

// Policy decides when a step's samples may start and in which order. The staleness bound, fair shares and
// the room are the Scheduler's own matter: a policy cannot break them. Implementations hold no state.
type Policy interface {
	// Name is used in reports.
	Name() string
	// Eligible says whether a sample of the step may start now.
	Eligible(now time.Duration, step StepView, sample SampleView) bool
	// Before says whether first is to start before second; both are of the same step.
	Before(first, second SampleView) bool
	// KeepsPrefix says whether an interrupted sample goes on from its tokens or starts again.
	KeepsPrefix() bool
}

// Synchronous is the baseline that generates a step only once its trainer waits for it, in the order
// given, and starts interrupted samples again.
type Synchronous struct{}

// Name implements Policy.
func (Synchronous) Name() string { return "synchronous" }

// Eligible implements Policy: the first step, and only with the weights that the trainer uses.
func (Synchronous) Eligible(_ time.Duration, step StepView, _ SampleView) bool {
	return step.Rank == 0 && step.Lag == 0
}

// Before implements Policy: order given.
func (Synchronous) Before(_, _ SampleView) bool { return false }

// KeepsPrefix implements Policy.
func (Synchronous) KeepsPrefix() bool { return false }

// Asynchronous is the baseline that generates as far ahead as the bound permits, in the order given.
type Asynchronous struct{}

// Name implements Policy.
func (Asynchronous) Name() string { return "asynchronous" }

// Eligible implements Policy: always.
func (Asynchronous) Eligible(time.Duration, StepView, SampleView) bool { return true }

// Before implements Policy: order given.
func (Asynchronous) Before(_, _ SampleView) bool { return false }

// KeepsPrefix implements Policy.
func (Asynchronous) KeepsPrefix() bool { return true }

// Paced starts each sample as late as its likely length and the step's work permit without making the
// trainer wait, one probe of each group and likely long samples first; each mechanism can be switched off
// for ablation. The zero value has all of them on.
type Paced struct {
	// NoPacing starts samples as early as the bound permits.
	NoPacing bool
	// NoPrediction starts all samples of a step as early as the longest may need.
	NoPrediction bool
	// NoLongestFirst starts samples in the order given.
	NoLongestFirst bool
	// NoContinuation starts interrupted samples again from the prompt.
	NoContinuation bool
}

// Name implements Policy.
func (p Paced) Name() string {
	name := "paced"
	if p.NoPacing {
		name += "-no-pacing"
	}
	if p.NoPrediction {
		name += "-no-prediction"
	}
	if p.NoLongestFirst {
		name += "-no-longest-first"
	}
	if p.NoContinuation {
		name += "-no-continuation"
	}
	return name
}

// Eligible implements Policy: when the time left until the trainer wants the step is no longer than the
// time that the sample, or the step's work and all before it, still need.
func (p Paced) Eligible(now time.Duration, step StepView, sample SampleView) bool {
	if p.NoPacing || !step.DueKnown || !step.LeadKnown {
		return true
	}
	if step.Rank == 0 && step.TrainerWaiting {
		return true
	}
	lead := max(step.Lead, sample.Lead)
	if p.NoPrediction {
		lead = max(step.Lead, step.LongestLead)
	}
	return now+time.Duration(float64(lead)*step.Safety) >= step.Due
}

// Before implements Policy: kept tokens first (they age), then one probe of each unknown group, then the
// longest prediction.
func (p Paced) Before(first, second SampleView) bool {
	if p.NoLongestFirst {
		return false
	}
	if (first.Generated > 0) != (second.Generated > 0) {
		return first.Generated > 0
	}
	firstProbe, secondProbe := first.probe(), second.probe()
	if firstProbe != secondProbe {
		return firstProbe
	}
	return first.Predicted > second.Predicted
}

// probe says that the sample would be the first to tell its group's length.
func (s SampleView) probe() bool { return s.Index == 0 && !s.GroupKnown }

// KeepsPrefix implements Policy.
func (p Paced) KeepsPrefix() bool { return !p.NoContinuation }

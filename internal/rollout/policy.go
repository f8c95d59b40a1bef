package rollout

import "time"

// StepView is what a Policy may know about a step when it decides whether its samples may start.
type StepView struct {
	// Rank is the number of the trainer's open steps before this one.
	Rank int
	// Lag is how many versions the newest available weights will be behind when the step is used.
	Lag uint64
	// TrainerWaiting says that a fetch waits for samples now.
	TrainerWaiting bool
	// Known says that training time, token time and lengths have been learned; the fields below hold only
	// then.
	Known bool
	// Due is the expected time of the trainer's first fetch of this step.
	Due time.Duration
	// Margin is how much earlier than Due the step is to be whole: what trainers had to wait is added to it,
	// and it shrinks while they need not wait.
	Margin time.Duration
	// NextVersion is when newer weights than now are expected to be available.
	NextVersion time.Duration
	// Work is the time that one running sample would need for all tokens that the step and those before it
	// still need.
	Work time.Duration
	// Running is the number of the trainer's samples in generation.
	Running int
	// Level is how many of the trainer's samples must run at once, on average, for its steps to come in time.
	Level int
	// Room is the trainer's fair part of the room.
	Room int
	// LongestLead is the time that the longest sample of the step may need.
	LongestLead time.Duration
}

// SampleView is what a Policy may know about a waiting sample when it decides on the order.
type SampleView struct {
	Index      uint32 // in its group
	Generated  int    // kept tokens
	GroupKnown bool   // some sample of the group has finished
	// MayNeed is the number of further tokens that the sample hardly surpasses: by its group once one of that
	// has finished, by the step's longest until then. The first of an unknown group has some more, to tell a
	// long group from a short one.
	MayNeed int
	// Lead is the time for them; 0 if it is not known.
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

// Paced starts each sample on the newest weights that still bring it in time, one probe of each group and
// likely long samples first, and no more at once than the step needs; each mechanism can be switched off
// for ablation. The zero value has all of them on.
type Paced struct {
	// NoFreshness starts samples on the oldest weights that the bound permits.
	NoFreshness bool
	// NoPrediction takes every sample for as long as the longest.
	NoPrediction bool
	// NoSmoothing starts as many samples at once as there is room for.
	NoSmoothing bool
	// NoLongestFirst starts samples in the order given.
	NoLongestFirst bool
	// NoContinuation starts interrupted samples again from the prompt.
	NoContinuation bool
	// NoSteadiness lets the number of running samples fall below their mean where they take much of the room.
	NoSteadiness bool
	// NoMargin aims at the very moment of the trainer's fetch.
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

// Eligible implements Policy.
func (p Paced) Eligible(now time.Duration, step StepView, sample SampleView) bool {
	if !step.Known || (step.Rank == 0 && step.TrainerWaiting) {
		return true
	}
	lead, due := sample.Lead, step.Due-step.Margin
	if p.NoPrediction {
		lead = step.LongestLead
	}
	if p.NoMargin {
		due = step.Due
	}
	if now+lead >= due {
		return true
	}
	if !p.NoSteadiness && step.crowded() && step.Running < step.Level {
		return true
	}
	if !p.NoFreshness && step.NextVersion+freshnessFactor*lead <= due {
		return false
	}
	return p.NoSmoothing || time.Duration(step.Running)*(due-now) < step.Work
}

// freshnessFactor is how many times the lead must fit between newer weights and the step's due time for a
// sample to wait for them: the rest of the step wants that time too, and its work is spread over it.
const freshnessFactor = 5

// crowdedPart is the part of the room from which on a trainer's mean need is held steadily: the peaks that follow
// any lull would reach the replicas that live traffic is left with.
const crowdedPart = 0.25

// crowded says that the trainer's mean need takes much of its room.
func (s *StepView) crowded() bool { return float64(s.Level) > crowdedPart*float64(s.Room) }

// Before implements Policy: kept tokens first (they age), then one probe of each unknown group, then the
// longest.
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
	return first.MayNeed > second.MayNeed
}

// probe says that the sample would be the first to tell its group's length.
func (s SampleView) probe() bool { return s.Index == 0 && !s.GroupKnown }

// KeepsPrefix implements Policy.
func (p Paced) KeepsPrefix() bool { return !p.NoContinuation }

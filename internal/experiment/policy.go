package experiment

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/strictyaml"
)

// Scheduling names a scheduling policy for rollouts.
type Scheduling string

// The scheduling policies.
const (
	SchedulingPaced        Scheduling = "paced"        // rollout.Paced
	SchedulingAsynchronous Scheduling = "asynchronous" // rollout.Asynchronous, as a baseline
	SchedulingSynchronous  Scheduling = "synchronous"  // rollout.Synchronous, as a baseline
	SchedulingNone         Scheduling = "none"         // no rollouts, as the reference for live latency
)

// Routing names a routing policy.
type Routing string

// The routing policies.
const (
	RoutingBalanced      Routing = "balanced"       // routing.Balanced
	RoutingRandom        Routing = "random"         // routing.UniformRandom, as a baseline
	RoutingRoundRobin    Routing = "round-robin"    // routing.RoundRobin, as a baseline
	RoutingLeastRequests Routing = "least-requests" // routing.LeastRequests, as a baseline
)

// Mechanism names a part of the paced scheduling or of the balanced routing that a policy can disable.
type Mechanism string

// The mechanisms.
const (
	MechanismFreshness    Mechanism = "freshness"
	MechanismPrediction   Mechanism = "prediction"
	MechanismSmoothing    Mechanism = "smoothing"
	MechanismLongestFirst Mechanism = "longest-first"
	MechanismContinuation Mechanism = "continuation"
	MechanismMargin       Mechanism = "margin"
	MechanismSteadiness   Mechanism = "steadiness"
	MechanismTransfer     Mechanism = "transfer" // of KV caches from leaving replicas
	MechanismPacking      Mechanism = "packing"  // part of the balanced routing, can be disabled with any scheduling
)

var mechanisms = []Mechanism{MechanismFreshness, MechanismPrediction, MechanismSmoothing, MechanismLongestFirst,
	MechanismContinuation, MechanismMargin, MechanismSteadiness, MechanismTransfer,
	MechanismPacking}

// Policy is one combination of scheduling and routing to evaluate.
type Policy struct {
	// Name appears in the report. Required, unique.
	Name string `yaml:"name"`
	// Scheduling is paced, asynchronous, synchronous or none. Default paced.
	Scheduling Scheduling `yaml:"scheduling"`
	// Routing is balanced, random, round-robin or least-requests. Default balanced.
	Routing Routing `yaml:"routing"`
	// Disable lists the disabled mechanisms. Paced scheduling has freshness, prediction, smoothing, longest-first,
	// continuation, margin, steadiness and transfer. Balanced routing has packing. Default none.
	Disable []Mechanism `yaml:"disable"`
}

func (p *Policy) setDefaults() {
	defaults.Set(&p.Scheduling, SchedulingPaced)
	defaults.Set(&p.Routing, RoutingBalanced)
}

func (p *Policy) validate(names map[string]bool) error {
	if p.Name == "" || names[p.Name] {
		return strictyaml.Fieldf("name", "%q is empty or used twice", p.Name)
	}
	names[p.Name] = true
	schedulings := []Scheduling{SchedulingPaced, SchedulingAsynchronous, SchedulingSynchronous, SchedulingNone}
	if !slices.Contains(schedulings, p.Scheduling) {
		return strictyaml.Fieldf("scheduling", "%q is none of %v", p.Scheduling, schedulings)
	}
	routings := []Routing{RoutingBalanced, RoutingRandom, RoutingRoundRobin, RoutingLeastRequests}
	if !slices.Contains(routings, p.Routing) {
		return strictyaml.Fieldf("routing", "%q is none of %v", p.Routing, routings)
	}
	for _, mechanism := range p.Disable {
		if !slices.Contains(mechanisms, mechanism) {
			return strictyaml.Fieldf("disable", "%q is none of %v", mechanism, mechanisms)
		}
	}
	for _, mechanism := range p.Disable {
		if mechanism != MechanismPacking && p.Scheduling != SchedulingPaced {
			return strictyaml.Fieldf("disable", "only the paced policy has the mechanism %s", mechanism)
		}
	}
	return nil
}

func (p *Policy) isDisabled(mechanism Mechanism) bool { return slices.Contains(p.Disable, mechanism) }

func (p *Policy) rolloutPolicy() rollout.Policy {
	switch p.Scheduling {
	case SchedulingAsynchronous:
		return rollout.Asynchronous{}
	case SchedulingSynchronous:
		return rollout.Synchronous{}
	}
	return rollout.Paced{
		NoFreshness: p.isDisabled(MechanismFreshness), NoPrediction: p.isDisabled(MechanismPrediction),
		NoSmoothing: p.isDisabled(MechanismSmoothing), NoLongestFirst: p.isDisabled(MechanismLongestFirst),
		NoContinuation: p.isDisabled(MechanismContinuation), NoMargin: p.isDisabled(MechanismMargin),
		NoSteadiness: p.isDisabled(MechanismSteadiness),
	}
}

func (p *Policy) routingPolicy() routing.Policy {
	switch p.Routing {
	case RoutingRandom:
		return routing.UniformRandom{}
	case RoutingRoundRobin:
		return &routing.RoundRobin{}
	case RoutingLeastRequests:
		return routing.LeastRequests{}
	}
	return routing.Balanced{}
}

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	FaultCrash       FaultKind = "replica-crash" // replicas lose all requests and are down for the duration
	FaultSwap        FaultKind = "swap-failure"  // the next weight swap of the replicas fails
	FaultLateReports FaultKind = "late-reports"  // load reports arrive with the age lag for the duration
	FaultScorer      FaultKind = "scorer-stall"  // samples are not scored for the duration
	FaultLeave       FaultKind = "replica-leave" // replicas announce it, shut down and return after the duration
)

// Fault describes a fault that is injected once or repeatedly.
type Fault struct {
	// Kind is replica-crash, replica-leave, swap-failure, late-reports or scorer-stall. Required.
	Kind FaultKind `yaml:"kind"`
	// First is the virtual time of the first occurrence. Default 5m.
	First time.Duration `yaml:"first"`
	// Every is the mean of the exponentially distributed time between occurrences. Default 0, a single occurrence.
	Every time.Duration `yaml:"every"`
	// Duration is the length of each occurrence. Ignored by swap-failure. Default 30s.
	Duration time.Duration `yaml:"duration"`
	// Replicas is the number of replicas affected by each occurrence. Ignored by late-reports and scorer-stall.
	// Default 1.
	Replicas int `yaml:"replicas"`
	// Lag is the age of load reports during late-reports. Default 5s.
	Lag time.Duration `yaml:"lag"`
	// Swap is the failure mode of swap-failure: keeps-old, refuses or silent. Default keeps-old.
	Swap string `yaml:"swap"`
}

var swapFailures = map[string]engine.SwapFailure{
	"keeps-old": engine.SwapKeepsOld, "refuses": engine.SwapLosesWeights, "silent": engine.SwapReportsFalseSuccess,
}

func (f *Fault) setDefaults() {
	defaults.Set(&f.First, 5*time.Minute)
	defaults.Set(&f.Duration, 30*time.Second)
	defaults.Set(&f.Replicas, 1)
	defaults.Set(&f.Lag, 5*time.Second)
	defaults.Set(&f.Swap, "keeps-old")
}

func (f *Fault) validate() error {
	kinds := []FaultKind{FaultCrash, FaultSwap, FaultLateReports, FaultScorer, FaultLeave}
	if !slices.Contains(kinds, f.Kind) {
		return strictyaml.Fieldf("kind", "%q is none of %v", f.Kind, kinds)
	}
	if _, known := swapFailures[f.Swap]; !known {
		return strictyaml.Fieldf("swap", "%q is not keeps-old, refuses or silent", f.Swap)
	}
	if f.Every < 0 {
		return strictyaml.Fieldf("every", "%v must not be negative", f.Every)
	}
	if f.Replicas < 1 {
		return strictyaml.Fieldf("replicas", "%d must be at least 1", f.Replicas)
	}
	return validateDurations([]namedDuration{{"first", f.First}, {"duration", f.Duration}, {"lag", f.Lag}})
}

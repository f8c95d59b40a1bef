package sim

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/invariant"
)

// faultRate is the mean interval between injections of one kind of fault.
type faultRate struct {
	kind FaultKind
	mean time.Duration
}

// Scenario describes the load and the schedule of faults of a run.
type Scenario struct {
	Name           string
	Help           string        // one-line description
	Length         time.Duration // duration of load and faults, after which the fleet gets time to recover
	rates          []faultRate
	noExpiry       bool          // claims are never expired, because the linearizability models have no retention
	plannedOnly    bool          // only planned stops are injected and no call may end as "may have run"
	changeInterval time.Duration // mean time between the changes of one operator; 0 for defaultChangeMean
}

func (s *Scenario) meanChangeInterval() time.Duration {
	if s.changeInterval == 0 {
		return defaultChangeInterval
	}
	return s.changeInterval
}

const (
	defaultChangeInterval = 3 * time.Second
	mixedLength           = 5 * time.Minute
	shortLength           = 2 * time.Minute
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "mixed", Help: "every fault, for five minutes", Length: mixedLength, rates: mixedRates()},
		{Name: "operators-race", Help: "operators change the same cells while control machines fail", Length: shortLength,
			changeInterval: 300 * time.Millisecond, rates: []faultRate{{KillControl, 12 * time.Second}, {PowerLoss, 40 * time.Second},
				{CutBothWays, 15 * time.Second}, {MessageLoss, 20 * time.Second}, {LongPause, 20 * time.Second}, {DieAtStep, 10 * time.Second}}},
		{Name: "second-loss-after-repair", Help: "a machine is replaced and a second one lost at once", Length: shortLength,
			rates: []faultRate{{SecondLoss, 20 * time.Second}, {EmptyDisk, 30 * time.Second}, {KillControl, 20 * time.Second},
				{CutOneWay, 15 * time.Second}, {MessageLoss, 30 * time.Second}}},
		{Name: "long-cut", Help: "processes are cut off for minutes and come back", Length: mixedLength,
			rates: []faultRate{{LongCut, 50 * time.Second}, {CutOneWay, 10 * time.Second}, {KillControl, 60 * time.Second}}},
		{Name: "restart-after-hundreds-of-changes", Help: "processes miss hundreds of changes", Length: shortLength,
			changeInterval: 200 * time.Millisecond, rates: []faultRate{{LongCut, 60 * time.Second}, {KillGateway, 15 * time.Second},
				{KillControl, 15 * time.Second}, {LongPause, 20 * time.Second}, {PowerLoss, time.Minute}}},
		{Name: "pause-beyond-lease", Help: "processes stop for longer than a lease and go on", Length: shortLength,
			changeInterval: 700 * time.Millisecond, rates: []faultRate{{LongPause, 4 * time.Second}, {Pause, 4 * time.Second}, {KillControl, 30 * time.Second}}},
		{Name: "disk", Help: "disks lose, fill up, fail and are replaced", Length: shortLength,
			rates: []faultRate{{PowerLoss, 25 * time.Second}, {DiskFull, 20 * time.Second}, {SyncFails, 15 * time.Second},
				{SlowDisk, 10 * time.Second}, {EmptyDisk, 25 * time.Second}, {ReplaceMachine, 40 * time.Second}, {KillControl, 20 * time.Second}}},
		{Name: "torn-writes", Help: "machines lose power in the middle of writes", Length: shortLength,
			rates: []faultRate{{TornRecord, 2 * time.Second}, {MessageLoss, 15 * time.Second}, {CutOneWay, 10 * time.Second}}},
		{Name: "weights-swap", Help: "weights change while engines, coordinators and trainers fail", Length: shortLength,
			rates: []faultRate{{SwapFails, 6 * time.Second}, {SwapLies, 15 * time.Second}, {KillEngine, 8 * time.Second},
				{KillCoordinator, 12 * time.Second}, {KillTrainer, 15 * time.Second}, {LongPause, 10 * time.Second},
				{CutOneWay, 8 * time.Second}, {Reordering, 20 * time.Second}}},
		{Name: "takeover", Help: "coordinators take each other's trainers over while both live", Length: shortLength,
			rates: []faultRate{{CutOneWay, 2 * time.Second}, {LongPause, 8 * time.Second}, {Reordering, 10 * time.Second},
				{KillCoordinator, 15 * time.Second}, {MessageLoss, 10 * time.Second}}},
		{Name: "rolling-stop", Help: "every process is stopped by plan, again and again, and no call may fail", Length: shortLength, plannedOnly: true,
			rates: []faultRate{{PlannedStop, 4 * time.Second}, {BackendLeaves, 12 * time.Second}, {LeaderMoves, 10 * time.Second}}},
		{Name: "leader-moves", Help: "the control group's leader changes at once while gateways are cut off", Length: shortLength,
			changeInterval: 300 * time.Millisecond, rates: []faultRate{{LeaderMoves, time.Second}, {CutBothWays, 4 * time.Second}, {BackendLeaves, 15 * time.Second}}},
		{Name: "empty-disks", Help: "machines come back with empty disks while leaders die or are cut off", Length: shortLength,
			rates: []faultRate{{EmptyDisk, 4 * time.Second}, {KillControl, 4 * time.Second}, {CutBothWays, 4 * time.Second}}},
		{Name: "slow-restart", Help: "all control machines lose power and start again on slow disks", Length: mixedLength,
			rates: []faultRate{{SlowRestart, 10 * time.Second}, {EmptyDisk, 10 * time.Second}, {KillControl, 20 * time.Second}}},
		{Name: "regions-apart", Help: "two regions lose each other for minutes", Length: mixedLength,
			rates: []faultRate{{RegionsApart, 100 * time.Second}, {KillControl, 40 * time.Second}, {MessageLoss, 40 * time.Second}}},
	}
}

func mixedRates() []faultRate {
	rates := make([]faultRate, 0, int(faultKinds))
	for kind := range faultKinds {
		mean := 50 * time.Second
		switch kind {
		case UnsyncedLost:
			continue // a consequence of crashes, not injected by itself
		case SlowRestart:
			continue // only in the scenario slow-restart
		case DieAtStep, KillGateway, KillBackend, KillEngine, KillCoordinator, SwapFails, CutOneWay, LongPause, Pause:
			mean = 25 * time.Second
		case LongCut, RegionsApart, ZoneLoss, EmptyDisk, ReplaceMachine, SecondLoss, PowerLoss:
			mean = 2 * time.Minute
		}
		rates = append(rates, faultRate{kind, mean})
	}
	return rates
}

// FindScenario returns the scenario with the given name, or a BadParameter error if there is none.
func FindScenario(name string) (*Scenario, error) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return &scenario, nil
		}
	}
	return nil, trace.BadParameter("there is no scenario %q", name)
}

// schedule injects one kind of fault repeatedly until the load ends.
func (f *fleet) schedule(r faultRate) {
	f.world.after(f.world.exponentialDuration(r.mean), func() {
		if f.world.now >= f.loadEnd {
			return
		}
		f.inject(r.kind)
		f.schedule(r)
	})
}

// expectedInvariants returns the invariants that every run of the scenario has to examine.
func (s *Scenario) expectedInvariants() []invariant.Name {
	names := []invariant.Name{invariant.WholeAnswer, invariant.NotRunIsFinal, invariant.RunAtMostOnce, invariant.TableInForce,
		invariant.TableNoReversal, invariant.SampleVersions, invariant.StalenessBound, invariant.SampleOnce, fenceOrder,
		replicasAgree, changeOnce, recovers}
	if slices.ContainsFunc(s.rates, func(r faultRate) bool { return r.kind == BackendLeaves }) {
		names = append(names, invariant.LeavingBackend)
	}
	if s.plannedOnly {
		names = append(names, invariant.PlannedStop)
	}
	return names
}

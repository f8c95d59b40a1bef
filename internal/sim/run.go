package sim

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Result is the outcome of a run of one seed.
type Result struct {
	Seed      int64
	Violation string // the first violation; empty when every invariant held
	Trace     string // only of traced runs
	Counts    []invariant.Result
	Faults    faultCounts
	Virtual   time.Duration // simulated time
	Completed uint64        // answers that reached a caller with the result of its call
	Refused   uint64        // answers that said "did not run"
	Unknown   uint64        // answers that said "may have run"
	Changes   uint64        // accepted table changes
	Samples   uint64        // samples that trainers received
}

// Time to settle after the faults have ended, and then to serve the recovery requests.
const (
	healTime     = 25 * time.Second
	recoveryTime = 25 * time.Second
)

// Run runs one seed of a scenario. The same arguments give the same result. A trace is recorded only if tracing is
// set.
func Run(scenario *Scenario, seed int64, mutation Mutation, tracing bool) Result {
	_, result := runWorld(scenario, seed, mutation, tracing)
	return result
}

func runWorld(scenario *Scenario, seed int64, mutation Mutation, tracing bool) (w *world, result Result) {
	w = newWorld(scenario, seed, mutation, tracing)
	defer func() {
		if failure := recover(); failure != nil {
			w.truth.reportFailure("the code panicked: %v\n%s", failure, debug.Stack())
			result = w.result(seed)
		}
	}()
	f := newFleet(w, scenario)
	w.fleet = f
	f.launchAll()
	w.after(setupTime, func() {
		for _, r := range scenario.rates {
			f.schedule(r)
		}
	})
	w.runUntil(scenario.Length)
	f.heal()
	w.runUntil(w.now + healTime)
	f.checkRecovery()
	w.runUntil(w.now + recoveryTime)
	if !w.truth.isStopped() {
		f.checkEndState()
	}
	return w, w.result(seed)
}

func (w *world) result(seed int64) Result {
	result := Result{Seed: seed, Violation: w.truth.problem, Counts: w.truth.registry.Results(), Faults: w.faults,
		Virtual: w.now, Completed: w.truth.completed, Refused: w.truth.refused, Unknown: w.truth.unknown, Changes: uint64(len(w.truth.accepted)), Samples: w.truth.samples}
	if w.tracing {
		result.Trace = w.traceText()
	}
	return result
}

// checkRecovery asks the healed fleet for a table change and for one call through each gateway. checkEndState
// examines the results.
func (f *fleet) checkRecovery() {
	if f.world.truth.isStopped() {
		return
	}
	f.world.tracef("fleet", "recovery check begins")
	for _, t := range f.trainers {
		f.stepsAtRecovery = append(f.stepsAtRecovery, t.step)
	}
	f.recovered = make([]bool, len(f.gateways)+1)
	o := f.operators[0]
	o.client = f.newClient(o.process)
	o.readTable(func(view *table.View) {
		if view == nil {
			return
		}
		cell := &wire.CellChange{Row: f.backends[0].name, Column: "weight", Value: "77"}
		change := &wire.TableChange{ChangeId: "recovery", BaseVersion: view.Version(), Cells: []*wire.CellChange{cell}, Operator: o.name}
		request := &wire.ExecuteRequest{WaitInForce: true, Command: &wire.Command{Kind: &wire.Command_TableChange{TableChange: change}}}
		o.client.execute(request, recoveryTime, func(reply *wire.ExecuteReply) {
			f.recovered[0] = reply != nil && reply.InForceVersion >= reply.GetResult().GetTable().GetVersion()
		})
	})
	for i, g := range f.gateways {
		made := &call{id: fmt.Sprintf("recovery/%d", i), key: fmt.Sprintf("push/recovery/%d", i), body: "recovery"}
		f.tryCall(g, made, func() { f.recovered[i+1] = true }, 1)
	}
}

// tryCall sends a call up to maxAttempts times, because a back end may refuse it at random.
func (f *fleet) tryCall(g *gateway, made *call, done func(), attempt int) {
	g.serve(made, callTimeout, func(outcome dispatch.Outcome) {
		switch {
		case outcome.Verdict == verdict.Ran:
			done()
		case attempt < maxAttempts:
			g.after(100*time.Millisecond, func() {
				made = &call{id: made.id + "+", key: made.key + "+", body: made.body}
				f.tryCall(g, made, done, attempt+1)
			})
		}
	})
}

func (f *fleet) checkEndState() {
	t := f.world.truth
	for i, recoveredPart := range f.recovered {
		failure := "a change of the table is not in force"
		if i > 0 {
			failure = "a call through " + f.gateways[i-1].name + " did not run"
		}
		t.examine(recovers, recoveredPart, "%v after all faults ended %s", healTime+recoveryTime, failure)
	}
	for i, trainer := range f.trainers {
		t.examine(recovers, trainer.step > f.stepsAtRecovery[i], "%s is still at step %d", trainer.name, trainer.step)
	}
	for _, h := range f.hosts {
		if h.replaced || h.identityRejected || !h.up || f.repairing {
			continue
		}
		version := h.groups[0].machine.TableVersion()
		t.examine(invariant.TableNoReversal, int(version) == len(t.accepted), "node %d ends at table version %d, accepted were %d", h.id, version, len(t.accepted))
	}
}

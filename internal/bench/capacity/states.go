package capacity

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/bench/slope"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// stateKind is what one series of state machines is filled with.
type stateKind struct {
	name  string
	sizes []int
	// fill applies commands until the machine holds size of them.
	fill func(machine *applier, size int)
}

// The kinds of state.
const (
	StateClaims  = "claim"
	StateRows    = "table row"
	StateSamples = "sample"
)

func stateKinds() []stateKind {
	return []stateKind{
		{StateClaims, []int{12_500, 25_000, 50_000, 100_000}, fillClaims},
		{StateRows, []int{75, 150, 300, 600}, fillRows},
		{StateSamples, []int{1024, 2048, 4096, 8192}, fillSamples},
	}
}

// StateMemory, StateSnapshot, StateCapture, StateEncode and StateRestore name the fitted quantities of a kind of state.
func StateMemory(kind string) string   { return "state: memory of one node for each " + kind }
func StateSnapshot(kind string) string { return "state: snapshot size for each " + kind }
func StateCapture(kind string) string  { return "state: pause to capture a snapshot for each " + kind }
func StateEncode(kind string) string {
	return "state: time to encode a captured snapshot for each " + kind
}
func StateRestore(kind string) string { return "state: time to restore a snapshot for each " + kind }

// applier applies commands in order and keeps the first refusal.
type applier struct {
	machine *state.Machine
	index   uint64
	err     error
}

func (a *applier) apply(command *wire.Command) {
	a.index++
	result := a.machine.Apply(a.index, command)
	if a.err == nil && result.GetInvalid() != "" {
		a.err = trace.BadParameter("%s", result.GetInvalid())
	}
	if sample := result.GetSample(); a.err == nil && sample != nil && !sample.Accepted {
		a.err = trace.BadParameter("%s", sample.Reason)
	}
	if table := result.GetTable(); a.err == nil && table != nil && table.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		a.err = trace.BadParameter("a table change was refused: %v", table)
	}
}

func fillClaims(machine *applier, size int) {
	for n := range size {
		begin, finish := claimCommands(fmt.Sprintf("key/%08d", n), int64(n))
		machine.apply(begin)
		machine.apply(finish)
	}
}

func fillRows(machine *applier, size int) {
	for n := range size {
		name := fmt.Sprintf("replica-%03d", n)
		cells := []*wire.CellChange{{Row: name, Column: "kind", Value: "backend"}, {Row: name, Column: "pool", Value: "pool"},
			{Row: name, Column: "address", Value: fmt.Sprintf("127.0.0.1:%d", 30000+n)},
			{Row: name, Column: "zone", Value: fmt.Sprintf("bench-%d", n%7)}, {Row: name, Column: "max_in_flight", Value: "64"}}
		if n == 0 {
			cells = append([]*wire.CellChange{{Row: "pool", Column: "kind", Value: "pool"}, {Row: "pool", Column: "service", Value: "engine"}}, cells...)
		}
		machine.apply(&wire.Command{Kind: &wire.Command_TableChange{TableChange: &wire.TableChange{
			ChangeId: name, Operator: "bench", BaseVersion: uint64(n), Cells: cells}}})
	}
}

func fillSamples(machine *applier, size int) {
	for trainer := range sampleTrainers {
		machine.apply(stepOpen(trainer, 1, size/sampleTrainers))
	}
	for n := range size {
		machine.apply(sampleStore(n%sampleTrainers, 1, n/sampleTrainers))
	}
}

// stateCost is what one state machine costs.
type stateCost struct {
	size                      int
	memory, snapshot          float64 // bytes
	captureSeconds            float64 // commands wait for it
	encodeSeconds, restoreSec float64
}

// states measures the state machines by themselves: one node's share, without consensus or storage.
func (r *run) states(ctx context.Context, _ string) error {
	for _, kind := range stateKinds() {
		var costs []stateCost
		for _, size := range kind.sizes {
			cost, err := measureState(kind, size)
			if err != nil {
				return trace.Wrap(err, "%d of %s", size, kind.name)
			}
			costs = append(costs, cost)
		}
		lines, err := fitStates(kind.name, costs)
		if err != nil {
			return err
		}
		r.report.States = append(r.report.States, lines...)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

// timings is the number of times that an encoding or a restore is measured; the shortest counts.
const timings = 3

func measureState(kind stateKind, size int) (stateCost, error) {
	before := rig.LiveBytes()
	filled := &applier{machine: state.New()}
	kind.fill(filled, size)
	if filled.err != nil {
		return stateCost{}, filled.err
	}
	cost := stateCost{size: size, memory: float64(rig.LiveBytes()) - float64(before), captureSeconds: math.Inf(1),
		encodeSeconds: math.Inf(1), restoreSec: math.Inf(1)}
	for range timings {
		began := time.Now()
		encode := filled.machine.Capture()
		captured := time.Now()
		snapshot, err := encode()
		if err != nil {
			return stateCost{}, err
		}
		encoded := time.Now()
		if err := state.New().Restore(snapshot); err != nil {
			return stateCost{}, err
		}
		cost.snapshot = float64(len(snapshot))
		cost.captureSeconds = min(cost.captureSeconds, captured.Sub(began).Seconds())
		cost.encodeSeconds = min(cost.encodeSeconds, encoded.Sub(captured).Seconds())
		cost.restoreSec = min(cost.restoreSec, time.Since(encoded).Seconds())
	}
	runtime.KeepAlive(filled)
	return cost, nil
}

func fitStates(kind string, costs []stateCost) ([]slope.Line, error) {
	var lines []slope.Line
	for _, quantity := range []struct {
		name, unit string
		value      func(stateCost) float64
	}{
		{StateMemory(kind), "bytes", func(c stateCost) float64 { return c.memory }},
		{StateSnapshot(kind), "bytes", func(c stateCost) float64 { return c.snapshot }},
		{StateCapture(kind), "s", func(c stateCost) float64 { return c.captureSeconds }},
		{StateEncode(kind), "s", func(c stateCost) float64 { return c.encodeSeconds }},
		{StateRestore(kind), "s", func(c stateCost) float64 { return c.restoreSec }},
	} {
		line, err := fitPoints(quantity.name, quantity.unit, kind, costs, func(c stateCost) float64 { return float64(c.size) }, quantity.value)
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, nil
}

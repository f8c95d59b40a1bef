package cli

import (
	"fmt"
	"io"
	"runtime"
	"strings"

	"github.com/tamarindring/tamarindring/internal/sim"
)

// simulateFaultsCommand runs whole fleets in virtual time under faults.
type simulateFaultsCommand struct {
	Seeds    int    `long:"seeds" default:"100" description:"Number of seeds to run"`
	SeedBase int64  `long:"seed-base" default:"0" description:"First seed"`
	Scenario string `long:"scenario" default:"mixed" description:"Schedule of faults; 'all' runs every one, 'list' names them"`
	Replay   *int64 `long:"replay" description:"Run this one seed and print its trace"`
	Parallel int    `long:"parallel" description:"Seeds at a time (default: the number of processors)"`
	Tail     int    `long:"trace-lines" default:"60" description:"Lines of the trace to print for the first violation"`
}

// Run runs the seeds of the scenarios and prints the results. It fails if an invariant was violated or never
// examined.
func (c *simulateFaultsCommand) Run(environment Environment, _ []string) error {
	scenarios := sim.Scenarios()
	switch c.Scenario {
	case "list":
		for _, scenario := range scenarios {
			fmt.Fprintf(environment.Stdout, "%-36s %s\n", scenario.Name, scenario.Help)
		}
		return nil
	case "all":
	default:
		scenario, err := sim.FindScenario(c.Scenario)
		if err != nil {
			return &ExitError{Code: ExitUsage, Message: err.Error()}
		}
		scenarios = []sim.Scenario{*scenario}
	}
	if c.Replay != nil {
		return c.replay(environment.Stdout, &scenarios[0])
	}
	if c.Parallel <= 0 {
		c.Parallel = runtime.GOMAXPROCS(0)
	}
	failed := 0
	for i := range scenarios {
		if !c.runScenario(environment, &scenarios[i]) {
			failed++
		}
	}
	if failed > 0 {
		return &ExitError{Code: ExitFailure, Message: fmt.Sprintf("simulate faults: %d of %d scenarios failed", failed, len(scenarios))}
	}
	return environment.Context.Err()
}

// runScenario runs one scenario with all seeds and reports whether it passed. After a violation it prints the end of
// the first violating seed's trace.
func (c *simulateFaultsCommand) runScenario(environment Environment, scenario *sim.Scenario) bool {
	report := sim.RunBatch(environment.Context, sim.Options{Scenario: scenario, Seeds: c.Seeds, SeedBase: c.SeedBase, Parallel: c.Parallel})
	report.Print(environment.Stdout)
	if len(report.Violations) > 0 {
		seed := report.Violations[0].Seed
		result := sim.Run(scenario, seed, sim.NoMutation, true)
		lines := strings.Split(strings.TrimRight(result.Trace, "\n"), "\n")
		fmt.Fprintf(environment.Stdout, "end of the trace of seed %d; all of it: tamarindring simulate faults --scenario %s --replay %d\n",
			seed, scenario.Name, seed)
		fmt.Fprintln(environment.Stdout, strings.Join(lines[max(0, len(lines)-c.Tail):], "\n"))
	}
	return report.Passed()
}

// replay runs one seed and prints its whole trace.
func (c *simulateFaultsCommand) replay(out io.Writer, scenario *sim.Scenario) error {
	result := sim.Run(scenario, *c.Replay, sim.NoMutation, true)
	if _, err := io.WriteString(out, result.Trace); err != nil {
		return err
	}
	if result.Violation != "" {
		return &ExitError{Code: ExitFailure, Message: fmt.Sprintf("simulate faults: seed %d violates %s", result.Seed, result.Violation)}
	}
	return nil
}

package cli

import (
	"fmt"
	"runtime"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/experiment"
)

// experimentCommand compares policies on a scenario in virtual time.
type experimentCommand struct {
	Scenario string `long:"scenario" required:"true" value-name:"FILE" description:"Scenario file; see docs/operations/experiments.md"`
	Out      string `long:"out" required:"true" value-name:"DIR" description:"Folder for report.json, report.md and the plots"`
	Parallel int    `long:"parallel" default:"4" description:"Runs side by side"`
}

// Run runs every policy with every seed, prints the progress, writes the report and prints its tables.
func (c *experimentCommand) Run(environment Environment, _ []string) error {
	scenario, err := experiment.Load(c.Scenario)
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	if c.Parallel < 1 {
		return &ExitError{Code: ExitUsage, Message: "parallel must be at least 1"}
	}
	report, err := experiment.Execute(environment.Context, scenario, experiment.Options{
		Parallel: min(c.Parallel, runtime.NumCPU()),
		Progress: func(progress experiment.Progress) {
			fmt.Fprintf(environment.Stderr, "%d of %d runs, %.0f%% of %v virtual time\n", progress.RunsDone, progress.Runs,
				100*float64(progress.Virtual)/float64(progress.Total), progress.Total)
		},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := report.Write(c.Out); err != nil {
		return err
	}
	fmt.Fprint(environment.Stdout, report.Markdown())
	for _, policy := range report.Policies {
		fmt.Fprintf(environment.Stderr, "%s: %.0f times real time\n", policy.Policy, policy.Speed)
	}
	return nil
}

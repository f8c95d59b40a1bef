package cli

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/processbench"
)

// benchProcessesCommand measures the cost of running processes.
type benchProcessesCommand struct {
	Duration  time.Duration `long:"duration" default:"20s" description:"How long to watch"`
	Arguments struct {
		PIDs []int `positional-arg-name:"PID" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Run observes the processes and prints the cost of each as JSON.
func (c *benchProcessesCommand) Run(environment Environment, _ []string) error {
	costs, err := processbench.Measure(environment.Context, c.Arguments.PIDs, c.Duration)
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	encoder := json.NewEncoder(environment.Stdout)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(costs))
}

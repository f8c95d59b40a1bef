package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/workload"
	"github.com/tamarindring/tamarindring/internal/workload/caller"
)

// loadProgressInterval is the time between two lines of progress.
const loadProgressInterval = 2 * time.Second

// loadCommand drives gateways with a workload.
type loadCommand struct {
	Gateways    []string      `long:"gateway" required:"true" value-name:"IP:PORT" description:"Gateways to call in turn; comma list or repeated"`
	Workload    string        `long:"workload" required:"true" value-name:"FILE" description:"Workload file; see docs/operations/load-testing.md"`
	Duration    time.Duration `long:"duration" default:"30s" description:"How long new calls are started"`
	Out         string        `long:"out" default:"out" value-name:"FOLDER" description:"Folder for report.json"`
	Seed        int64         `long:"seed" default:"1" description:"Seed of the workload"`
	RunName     string        `long:"run" description:"Name that makes this run's prompts and keys differ from other runs'; drawn from the clock if empty"`
	MaxInFlight int           `long:"max-in-flight" default:"4096" description:"Calls at once; one more is not sent and counted as unsent"`
	MaxAttempts int           `long:"max-attempts" default:"4" description:"How often a call whose answer was lost is sent"`
	tokenOption
	RetryRefused bool `long:"retry-refused" description:"Also repeat repeatable calls that were refused and told when to come back"`
}

// Run starts calls until the duration is over or the first SIGINT or SIGTERM, waits for the answers and writes the
// report. It fails if an answer was wrong or no call was answered.
func (c *loadCommand) Run(environment Environment, _ []string) error {
	load, err := workload.Load(c.Workload)
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	logger, err := logging.New(logging.Config{Output: environment.Stderr})
	if err != nil {
		return trace.Wrap(err)
	}
	addresses := splitList(c.Gateways)
	if len(addresses) == 0 || c.Duration <= 0 || c.MaxInFlight < 1 || c.MaxAttempts < 1 {
		return &ExitError{Code: ExitUsage, Message: "gateway, duration, max-in-flight and max-attempts must be set and above 0"}
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("folder %s cannot be made: %v", c.Out, err)}
	}
	if c.RunName == "" {
		c.RunName = fmt.Sprintf("run-%d", time.Now().UnixMilli())
	}
	authorization, err := c.authorization()
	if err != nil {
		return err
	}
	loadCaller, err := caller.New(caller.Config{
		Authorization: authorization,
		Gateways:      func() []string { return addresses }, Workload: load, Seed: c.Seed, Run: c.RunName, MaxInFlight: c.MaxInFlight,
		MaxAttempts: c.MaxAttempts, RetryRefused: c.RetryRefused, Log: logging.Part(logger, "load"),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.runCaller(environment, loadCaller); err != nil {
		return err
	}
	return c.report(environment, loadCaller)
}

// runCaller runs the caller and prints its progress.
func (c *loadCommand) runCaller(environment Environment, loadCaller *caller.Caller) error {
	ctx, cancel := context.WithTimeout(environment.Context, c.Duration)
	defer cancel()
	finished := make(chan error, 1)
	go func() { finished <- loadCaller.Run(ctx) }()
	ticker := time.NewTicker(loadProgressInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-finished:
			return trace.Wrap(err)
		case <-ticker.C:
			total := loadCaller.Stats().Total
			fmt.Fprintf(environment.Stdout, "%d requests, %d answered, %d refused, %d lost, %d wrong, p99 %.1f ms\n",
				total.Requests, total.Answered, total.Refused, total.Lost, total.Wrong, total.Latency.P99)
		}
	}
}

// report prints and writes the report.
func (c *loadCommand) report(environment Environment, loadCaller *caller.Caller) error {
	report := caller.NewReport(loadCaller.Stats())
	report.Print(environment.Stdout)
	if err := report.Write(c.Out); err != nil {
		return err
	}
	if !report.Passed() {
		return &ExitError{Code: ExitFailure, Message: fmt.Sprintf("%d wrong answers, %d right ones", report.Violations, report.Callers.Total.Answered)}
	}
	return nil
}

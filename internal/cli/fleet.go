package cli

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/fleet"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// fleetCommand runs a whole deployment on loopback and checks its invariants.
type fleetCommand struct {
	Deployment    string        `long:"deployment" default:"vltava" description:"vltava or dalanet"`
	Duration      time.Duration `long:"duration" default:"20s" description:"How long callers call; at least 10s"`
	Faults        bool          `long:"faults" description:"Also kill, cut off and restart parts"`
	Seed          int64         `long:"seed" default:"1" description:"Seed of the workload, the operator's changes and the faults"`
	Report        string        `long:"report" default:"out" value-name:"FOLDER" description:"Folder for report.json"`
	LiveRate      float64       `long:"live-rate" default:"40" description:"Live completions a second"`
	OperationRate float64       `long:"operation-rate" default:"60" description:"Pushes or joins a second"`
	LogLevel      string        `long:"log-level" default:"error" description:"Lowest level of the parts' own messages: debug, info, warning or error"`
}

// Run starts the fleet, prints its progress and a summary, and writes the report.
func (c *fleetCommand) Run(environment Environment, arguments []string) error {
	if len(arguments) > 0 {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("fleet takes no arguments, got %q", arguments[0])}
	}
	deployment, err := fleet.FindDeployment(strings.ToLower(c.Deployment))
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	logger, err := logging.New(logging.Config{Level: c.LogLevel, Output: environment.Stderr})
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	config := fleet.Config{Deployment: deployment, Duration: c.Duration, Faults: c.Faults, Seed: c.Seed, LiveRate: c.LiveRate,
		OperationRate: c.OperationRate, Progress: environment.Stdout, Log: logger}
	if err := config.Check(); err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return c.run(environment, config)
}

func (c *fleetCommand) run(environment Environment, config fleet.Config) error {
	if err := os.MkdirAll(c.Report, 0o755); err != nil {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("folder %s cannot be made: %v", c.Report, err)}
	}
	folder, err := os.MkdirTemp("", "tamarindring-fleet-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(folder)
	config.Folder = folder
	report, err := fleet.Run(environment.Context, config)
	if err != nil {
		return err
	}
	return c.printReport(environment, report)
}

// printReport prints and writes the report. It fails with ExitInvariant if an invariant was violated or never examined.
func (c *fleetCommand) printReport(environment Environment, report *fleet.Report) error {
	report.Print(environment.Stdout)
	if err := report.Write(c.Report); err != nil {
		return err
	}
	if !report.Passed() {
		return &ExitError{Code: ExitInvariant, Message: fmt.Sprintf("%d violations, %d invariants unexamined; see %s/report.json",
			report.Violations, len(report.Unexamined), c.Report)}
	}
	return nil
}

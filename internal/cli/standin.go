package cli

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/standin/application"
	standinengine "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/standin/platform"
	"github.com/tamarindring/tamarindring/internal/standin/scorer"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
	"github.com/tamarindring/tamarindring/internal/standin/weightstore"
)

// standinOptions are the flags of all stand-ins that serve HTTP.
type standinOptions struct {
	Listen       string        `long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"Address to serve on; port 0 takes a free one and logs it"`
	Seed         uint64        `long:"seed" default:"1" description:"Seed of injected faults and drawn times"`
	DrainTimeout time.Duration `long:"drain-timeout" default:"30s" description:"Longest time for requests in flight when stopped by SIGINT or SIGTERM"`
	LogLevel     string        `long:"log-level" default:"info" description:"debug, info, warning or error"`
	LogFormat    string        `long:"log-format" default:"text" description:"text or json"`
}

func (o standinOptions) log(environment Environment, part string) (*logrus.Entry, error) {
	logger, err := logging.New(logging.Config{Level: o.LogLevel, Format: o.LogFormat, Output: environment.Stderr})
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return logging.Part(logger, part), nil
}

// standinServer is the common interface of the stand-ins that serve HTTP.
type standinServer interface {
	Address() string
	Run(context.Context) error
	Drain(context.Context) error
}

// serve runs a stand-in until the first SIGINT or SIGTERM, then drains it.
func (o standinOptions) serve(environment Environment, server standinServer, log *logrus.Entry) error {
	log.Infof("Serving on %s.", server.Address())
	finished := make(chan error, 1)
	go func() { finished <- server.Run(context.Background()) }()
	select {
	case err := <-finished:
		return err
	case <-environment.Context.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.DrainTimeout)
	defer cancel()
	drainError := server.Drain(ctx)
	log.Info("Drained.")
	return trace.NewAggregate(drainError, <-finished)
}

type standinEngineCommand struct {
	standinOptions
	Name           string        `long:"name" default:"engine" description:"Name in load reports, answers and logs"`
	Zone           string        `long:"zone" description:"Zone in load reports"`
	Parameters     string        `long:"parameters" value-name:"FILE" description:"YAML file of the emulator's parameters; defaults if empty"`
	Version        string        `long:"version" default:"v1" description:"Weight version served at the start"`
	VersionNumber  uint64        `long:"version-number" default:"1" description:"Its number"`
	WeightStore    string        `long:"weight-store" value-name:"IP:PORT" description:"Weight store that versions are loaded from; none if empty"`
	LoadReportLag  time.Duration `long:"load-report-lag" description:"Age of a load report when it is handed out"`
	CacheEventLag  time.Duration `long:"cache-event-lag" description:"Age of a cache event when it is handed out"`
	CacheEventLoss float64       `long:"cache-event-loss" description:"Probability that a cache event is lost, 0 to 1"`
	TimeScale      float64       `long:"time-scale" default:"1" description:"Seconds of emulated time per second"`
}

// Run serves an engine stand-in.
func (c *standinEngineCommand) Run(environment Environment, _ []string) error {
	log, err := c.log(environment, "engine")
	if err != nil {
		return err
	}
	parameters := engine.DefaultParameters()
	if c.Parameters != "" {
		if parameters, err = loadEngineParameters(c.Parameters); err != nil {
			return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
		}
	}
	if c.TimeScale <= 0 || c.CacheEventLoss < 0 || c.CacheEventLoss > 1 {
		return &ExitError{Code: ExitUsage, Message: "time-scale must be above 0 and cache-event-loss between 0 and 1"}
	}
	server, err := standinengine.New(standinengine.Config{
		Name: c.Name, Listen: c.Listen, Zone: c.Zone, Parameters: parameters, InitialVersion: c.Version,
		InitialVersionNumber: c.VersionNumber, WeightStore: c.WeightStore, LoadReportLag: c.LoadReportLag,
		CacheEventLag: c.CacheEventLag, CacheEventLoss: c.CacheEventLoss, Seed: c.Seed, TimeScale: c.TimeScale, Log: log,
	})
	if err != nil {
		return err
	}
	return c.serve(environment, server, log)
}

type standinApplicationCommand struct {
	standinOptions
	Name          string        `long:"name" default:"application" description:"Name in load reports, answers and logs"`
	Zone          string        `long:"zone" description:"Zone in load reports"`
	ServiceTime   time.Duration `long:"service-time" default:"5ms" description:"Least time of an execution"`
	ServiceJitter time.Duration `long:"service-jitter" default:"2ms" description:"Mean of an exponential time added to it"`
	MaxConcurrent int           `long:"max-concurrent" default:"256" description:"Executions at once; one more is refused"`
	LoadReportLag time.Duration `long:"load-report-lag" description:"Age of a load report when it is handed out"`
}

// Run serves an application stand-in.
func (c *standinApplicationCommand) Run(environment Environment, _ []string) error {
	log, err := c.log(environment, "application")
	if err != nil {
		return err
	}
	server, err := application.New(application.Config{
		Name: c.Name, Listen: c.Listen, Zone: c.Zone, ServiceTime: c.ServiceTime, ServiceJitter: c.ServiceJitter,
		MaxConcurrent: c.MaxConcurrent, LoadReportLag: c.LoadReportLag, Seed: c.Seed, Log: log,
	})
	if err != nil {
		return err
	}
	return c.serve(environment, server, log)
}

type standinScorerCommand struct {
	standinOptions
	ServiceTime time.Duration `long:"service-time" default:"10ms" description:"Time that one call takes"`
	PerSample   time.Duration `long:"per-sample" default:"1ms" description:"Time added for each sample of a call"`
}

// Run serves a scorer stand-in.
func (c *standinScorerCommand) Run(environment Environment, _ []string) error {
	log, err := c.log(environment, "scorer")
	if err != nil {
		return err
	}
	server, err := scorer.New(scorer.Config{Listen: c.Listen, ServiceTime: c.ServiceTime, PerSample: c.PerSample, Log: log})
	if err != nil {
		return err
	}
	return c.serve(environment, server, log)
}

type standinWeightStoreCommand struct {
	standinOptions
	ReadsPerSecond float64       `long:"reads-per-second" default:"0" description:"Reads above it get 429 with Retry-After; 0 is unlimited"`
	Burst          int           `long:"burst" default:"1" description:"Reads that may come at once"`
	ReadTime       time.Duration `long:"read-time" description:"Time that one read takes"`
}

// Run serves a weight store stand-in.
func (c *standinWeightStoreCommand) Run(environment Environment, _ []string) error {
	log, err := c.log(environment, "weight-store")
	if err != nil {
		return err
	}
	server, err := weightstore.New(weightstore.Config{
		Listen: c.Listen, ReadsPerSecond: c.ReadsPerSecond, Burst: c.Burst, ReadTime: c.ReadTime, Log: log,
	})
	if err != nil {
		return err
	}
	return c.serve(environment, server, log)
}

type standinPlatformCommand struct {
	standinOptions
	Lag            time.Duration `long:"lag" default:"2s" description:"Age of the list when it is handed out"`
	Contradictions float64       `long:"contradictions" default:"0" description:"Probability that an answer contradicts itself or an earlier one, 0 to 1"`
}

// Run serves a platform stand-in; machines are set with PUT and DELETE /v1/machines/{name}.
func (c *standinPlatformCommand) Run(environment Environment, _ []string) error {
	log, err := c.log(environment, "platform")
	if err != nil {
		return err
	}
	server, err := platform.New(platform.Config{
		Listen: c.Listen, Lag: c.Lag, ContradictionProbability: c.Contradictions, Seed: c.Seed, Log: log,
	})
	if err != nil {
		return err
	}
	return c.serve(environment, server, log)
}

type standinTrainerCommand struct {
	Name             string        `long:"name" default:"trainer" description:"Name at the coordinators"`
	Coordinators     []string      `long:"coordinators" required:"true" value-name:"IP:PORT" description:"Coordinators; comma list or repeated"`
	Pool             string        `long:"pool" required:"true" description:"Model pool that generates the samples"`
	PromptsPerStep   int           `long:"prompts-per-step" default:"8" description:"Prompts of a step"`
	SamplesPerPrompt int           `long:"samples-per-prompt" default:"4" description:"Samples of a prompt"`
	MaxTokens        int           `long:"max-tokens" default:"2048" description:"Bound of each sample"`
	TrainTime        time.Duration `long:"train-time" default:"1s" description:"Time of training on one step"`
	StepsAhead       int           `long:"steps-ahead" default:"1" description:"Steps open beyond the one being collected"`
	MaxSteps         uint64        `long:"max-steps" default:"0" description:"Steps after which the trainer ends; 0 is never"`
	WholeStep        bool          `long:"whole-step" description:"Fetch a step at once instead of samples as they come"`
	InitialVersion   uint64        `long:"initial-version-number" default:"1" description:"Version number that the engines serve at the start"`
	WeightStore      string        `long:"weight-store" value-name:"IP:PORT" description:"Weight store to publish to; none if empty"`
	LoseReplies      float64       `long:"lose-replies" default:"0" description:"Probability that a fetch's reply is dropped and asked for again, 0 to 1"`
	Seed             uint64        `long:"seed" default:"1" description:"Seed of the lost replies"`
	LogLevel         string        `long:"log-level" default:"info" description:"debug, info, warning or error"`
	LogFormat        string        `long:"log-format" default:"text" description:"text or json"`
	tokenOption
}

// Run trains until SIGINT, SIGTERM or the last step. Then it prints the trainer's counters as JSON, and fails if the
// trainer has seen a guarantee violated.
func (c *standinTrainerCommand) Run(environment Environment, _ []string) error {
	logger, err := logging.New(logging.Config{Level: c.LogLevel, Format: c.LogFormat, Output: environment.Stderr})
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	authorization, err := c.authorization()
	if err != nil {
		return err
	}
	simulatedTrainer, err := trainer.New(trainer.Config{
		Authorization: authorization,
		Name:          c.Name, Coordinators: splitList(c.Coordinators), Pool: c.Pool, PromptsPerStep: c.PromptsPerStep,
		SamplesPerPrompt: c.SamplesPerPrompt, MaxTokens: c.MaxTokens, TrainTime: c.TrainTime, StepsAhead: c.StepsAhead,
		MaxSteps: c.MaxSteps, WholeStep: c.WholeStep, InitialVersionNumber: c.InitialVersion, WeightStore: c.WeightStore,
		LoseReplyProbability: c.LoseReplies, Seed: c.Seed, Log: logging.Part(logger, "trainer"),
	})
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	runError := simulatedTrainer.Run(environment.Context)
	stats := simulatedTrainer.Stats()
	encoder := json.NewEncoder(environment.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(stats); err != nil {
		return trace.Wrap(err)
	}
	if runError == nil && len(stats.Violations) > 0 {
		return &ExitError{Code: ExitFailure, Message: "the trainer saw broken promises"}
	}
	return runError
}

// loadEngineParameters reads the engine emulator's parameters from a YAML file.
func loadEngineParameters(path string) (engine.Parameters, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return engine.Parameters{}, trace.ConvertSystemError(err)
	}
	return engine.ParseParameters(path, content)
}

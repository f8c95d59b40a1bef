// Package trainer is the stand-in of a trainer. It opens steps at a coordinator, fetches samples, trains for a
// configured time, publishes a weight version and announces it. It keeps its own account of the samples it received,
// checks them against the coordinator's guarantees, and discards replies on purpose to exercise refetches.
package trainer

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/defaults"
)

// Defaults of Config.
const (
	defaultPromptsPerStep   = 8
	defaultSamplesPerPrompt = 4
	defaultTrainTime        = time.Second
	defaultFetchWait        = 2 * time.Second
	defaultMaxTokens        = 2048
)

// Config holds a trainer's settings.
type Config struct {
	// Name identifies the trainer at the coordinators. Required.
	Name string
	// Coordinators lists the addresses of the coordinators as IP:port. A failed call is sent to the next one. Required.
	Coordinators []string
	// Pool is the model pool that generates the samples. Required.
	Pool string
	// Authorization is the value of the Authorization header. If empty, the header is not sent.
	Authorization string
	// PromptsPerStep and SamplesPerPrompt set the size of a step. Defaults 8 and 4.
	PromptsPerStep   int
	SamplesPerPrompt int
	// MaxTokens limits the tokens of each sample. Default 2048.
	MaxTokens int
	// Prompt returns the text of a step's prompt. The default text contains trainer, step and index.
	Prompt func(step uint64, index int) string
	// TrainTime is the duration of the training on a whole step. Default 1s.
	TrainTime time.Duration
	// StepsAhead is the number of further steps opened before the training on a collected step begins. Default 0, which
	// makes training synchronous.
	StepsAhead int
	// MaxSteps is the number of steps after which the trainer ends. Default 0: it runs until its context ends.
	MaxSteps uint64
	// WholeStep fetches a step as a whole instead of samples as they become available.
	WholeStep bool
	// MaxSamples limits the samples of one fetch. Default 0, no limit.
	MaxSamples int
	// FetchWait is the time for which a fetch waits for samples at the coordinator (wait_millis). Default 2s.
	FetchWait time.Duration
	// InitialVersionNumber is the number of the weight version that the engines serve at the start.
	InitialVersionNumber uint64
	// WeightStore is the IP:port of the weight store. If empty, versions are announced but not stored.
	WeightStore string
	// LoseReplyProbability is the probability that the reply to a fetch is discarded and the fetch sent again.
	LoseReplyProbability float64
	// StalenessBound returns the staleness bound in force, in versions, or false if it is unknown. If nil, the bound in
	// each reply is used.
	StalenessBound func() (uint64, bool)
	// Checker compares samples with what the engines generated. If nil, they are not compared.
	Checker SampleChecker
	// Seed seeds the random choice of lost replies.
	Seed uint64
	// Log is required.
	Log *logrus.Entry
}

// SampleChecker checks samples against what the engines really generated.
type SampleChecker interface {
	// Check returns an error if the sample's text or segments differ from what was generated for the prompt.
	Check(prompt string, sample Sample) error
}

// withDefaults returns the configuration with defaults for fields that are zero, or an error if a required field is
// missing.
func (c Config) withDefaults() (Config, error) {
	if c.Name == "" || c.Pool == "" || len(c.Coordinators) == 0 || c.Log == nil {
		return c, trace.BadParameter("a trainer needs name, pool, coordinators and a log")
	}
	defaults.Set(&c.PromptsPerStep, defaultPromptsPerStep)
	defaults.Set(&c.SamplesPerPrompt, defaultSamplesPerPrompt)
	defaults.Set(&c.MaxTokens, defaultMaxTokens)
	defaults.Set(&c.TrainTime, defaultTrainTime)
	defaults.Set(&c.FetchWait, defaultFetchWait)
	if c.Prompt == nil {
		name := c.Name
		c.Prompt = func(step uint64, index int) string {
			return fmt.Sprintf("trainer %s step %d prompt %d: ", name, step, index)
		}
	}
	return c, nil
}

// Package trainer is the stand-in of a trainer: it opens steps at a coordinator, fetches samples, trains
// for a time, publishes a weight version and announces it. It keeps its own truth about what it was given,
// and loses replies on purpose.
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
	// Name is the trainer's name at the coordinators. Required.
	Name string
	// Coordinators are their addresses, IP:port; another is tried when one does not answer. Required.
	Coordinators []string
	// Pool is the model pool that generates the samples. Required.
	Pool string
	// Authorization is the value of the header of that name; none if empty.
	Authorization string
	// PromptsPerStep and SamplesPerPrompt are a step's size. Defaults 8 and 4.
	PromptsPerStep   int
	SamplesPerPrompt int
	// MaxTokens bounds each sample. Default 2048.
	MaxTokens int
	// Prompt returns the text of a step's prompt. Default: a text that names trainer, step and index.
	Prompt func(step uint64, index int) string
	// TrainTime is how long training on a whole step takes. Default 1s.
	TrainTime time.Duration
	// StepsAhead is how many steps are open beyond the one being collected. Default 0, synchronous.
	StepsAhead int
	// MaxSteps ends the trainer after that many steps. Default 0, until the context ends.
	MaxSteps uint64
	// WholeStep fetches a step at once instead of samples as they come.
	WholeStep bool
	// MaxSamples bounds one fetch. Default 0, no bound.
	MaxSamples int
	// FetchWait is wait_millis of a fetch. Default 2s.
	FetchWait time.Duration
	// InitialVersionNumber is the version that the engines serve at the start.
	InitialVersionNumber uint64
	// WeightStore is the IP:port of the weight store; empty publishes nothing there.
	WeightStore string
	// LoseReplyProbability is how often a fetch's reply is dropped and asked for again.
	LoseReplyProbability float64
	// StalenessBound returns the bound in force now, in versions; false when unknown. Default: the bound
	// that the reply names.
	StalenessBound func() (uint64, bool)
	// Truth compares samples with what the engines really did. Default: not compared.
	Truth Truth
	// Seed draws the lost replies.
	Seed uint64
	// Log is required.
	Log *logrus.Entry
}

// Truth knows what the engines really generated.
type Truth interface {
	// Check returns an error when the sample's text or segments are not what was generated.
	Check(prompt string, sample Sample) error
}

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

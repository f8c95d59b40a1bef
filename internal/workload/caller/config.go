// Package caller drives gateways with a workload, open-loop: calls start when the workload says, whether
// or not earlier ones have been answered, and latency counts from the intended start. It checks each
// answer's content and checksum and keeps what was told about each non-repeatable call.
package caller

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// Defaults of Config.
const (
	defaultMaxInFlight = 4096
	defaultMaxAttempts = 4
	defaultRetryPause  = 50 * time.Millisecond
	defaultRunName     = "run"
)

// Config holds a caller's settings.
type Config struct {
	// Gateways returns the addresses, IP:port, to call now; each attempt goes to another one in turn.
	// Required.
	Gateways func() []string
	// Workload is what to call. It must be valid.
	Workload workload.Workload
	// Seed draws the workload and the faults.
	Seed int64
	// Run makes prompts and keys of different runs differ. Default "run".
	Run string
	// MaxInFlight bounds the calls at once; one more is not sent and counted as unsent. Default 4096.
	MaxInFlight int
	// MaxAttempts bounds how often a call whose answer was lost is sent. Default 4.
	MaxAttempts int
	// RetryPause is the mean pause before an attempt is repeated; it doubles. Default 50ms.
	RetryPause time.Duration
	// RetryRefused also repeats calls that were refused as "did not run" and told when to come back,
	// within their deadline. Default false. A non-repeatable call is repeated after a refusal only when a
	// gateway that stops sends it elsewhere, which repeats any call whatever this setting.
	RetryRefused bool
	// DoubleProbability sends a non-repeatable call through two gateways at once, under one key.
	DoubleProbability float64
	// KeepCalls bounds the remembered non-repeatable calls. Default 0, none.
	KeepCalls int
	// Authorization is the value of the header of that name; none if empty.
	Authorization string
	// Log is required.
	Log *logrus.Entry
}

func (c Config) withDefaults() (Config, error) {
	if c.Gateways == nil || c.Log == nil {
		return c, trace.BadParameter("a caller needs gateways and a log")
	}
	if err := c.Workload.Validate(); err != nil {
		return c, trace.Wrap(err)
	}
	defaults.Set(&c.MaxInFlight, defaultMaxInFlight)
	defaults.Set(&c.MaxAttempts, defaultMaxAttempts)
	defaults.Set(&c.RetryPause, defaultRetryPause)
	defaults.Set(&c.Run, defaultRunName)
	return c, nil
}

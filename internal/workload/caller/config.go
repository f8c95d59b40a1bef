// Package caller generates open-loop load for gateways from a workload. Calls start at the times that the workload
// defines, whether or not earlier calls have been answered, and latency is measured from the intended start. The caller
// checks the content and checksum of each answer and records the outcome of non-repeatable calls.
package caller

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// Default values of Config.
const (
	defaultMaxInFlight = 4096
	defaultMaxAttempts = 4
	defaultRetryPause  = 50 * time.Millisecond
	defaultRunName     = "run"
)

// Config holds the settings of a Caller.
type Config struct {
	// Gateways returns the current gateway addresses as IP:port. Attempts use them round-robin. Required.
	Gateways func() []string
	// Workload describes the calls. It must be valid.
	Workload workload.Workload
	// Seed seeds the workload, the retry pauses and the choice of the calls that are sent twice.
	Seed int64
	// Run names the run. It is part of prompts and idempotency keys, so that those of different runs differ.
	// Default "run".
	Run string
	// MaxInFlight is the maximum number of concurrent calls. Calls beyond it are not sent and count as unsent.
	// Default 4096.
	MaxInFlight int
	// MaxAttempts is the maximum number of attempts per call. Default 4.
	MaxAttempts int
	// RetryPause is the mean pause before the first retry. It doubles with each retry. Default 50ms.
	RetryPause time.Duration
	// RetryRefused also retries repeatable calls that were rejected with the verdict "did not run" and a retry delay,
	// within their deadline. Default false. Regardless of this setting, any call is retried if a rejection asks for
	// another gateway, for example because the gateway is draining. Non-repeatable calls are retried after a
	// rejection only in that case.
	RetryRefused bool
	// DoubleProbability is the probability that a non-repeatable call is sent through two gateways concurrently with
	// the same idempotency key, 0 to 1. Default 0.
	DoubleProbability float64
	// KeepCalls is the maximum number of non-repeatable calls that Caller.Calls returns. Default 0.
	KeepCalls int
	// Authorization is the value of the Authorization header. The header is omitted if it is empty.
	Authorization string
	// Log receives log messages. Required.
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

// Package fleet runs a whole deployment in one process: control nodes, gateways, coordinators, stand-ins of
// back ends, scorer, weight store and trainers, callers and an operator, over real TCP on loopback and real
// files in a temporary folder. It examines every promised invariant while it runs and reports the result.
package fleet

import (
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// Defaults of Config.
const (
	DefaultDuration      = 20 * time.Second
	DefaultLiveRate      = 40
	DefaultOperationRate = 60
	// MinimumDuration leaves room for the planned stops and for the bounds to pass behind them.
	MinimumDuration = 10 * time.Second
)

// Config says what to run and for how long.
type Config struct {
	// Deployment is one of Deployments. Required.
	Deployment Deployment
	// Duration is how long callers call; start and end come on top. Default DefaultDuration, at least
	// MinimumDuration.
	Duration time.Duration
	// Faults kills, cuts off and restarts parts while callers call.
	Faults bool
	// Seed draws workload, operator's changes and faults.
	Seed int64
	// Folder holds the nodes' data and the operator's pending changes. Required.
	Folder string
	// LiveRate is the calls a second to the model pool. Default DefaultLiveRate.
	LiveRate float64
	// OperationRate is the calls a second to the application pool. Default DefaultOperationRate.
	OperationRate float64
	// Progress receives a line every two seconds. Default: nothing is shown.
	Progress io.Writer
	// Log is for the parts' own messages. Default: nothing.
	Log *logrus.Logger
}

// Check refuses values that cannot work, before anything is written.
func (c Config) Check() error { return c.setDefaults() }

func (c *Config) setDefaults() error {
	if c.Deployment.Name == "" {
		return trace.BadParameter("a fleet needs a deployment")
	}
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if c.Duration < MinimumDuration {
		return trace.BadParameter("duration of %s is too short: the planned stops need at least %s", c.Duration, MinimumDuration)
	}
	if c.LiveRate == 0 {
		c.LiveRate = DefaultLiveRate
	}
	if c.OperationRate == 0 {
		c.OperationRate = DefaultOperationRate
	}
	if c.LiveRate < 0 || c.OperationRate < 0 {
		return trace.BadParameter("rates must be above 0")
	}
	if c.Progress == nil {
		c.Progress = io.Discard
	}
	if c.Log == nil {
		c.Log = logging.Discard().Logger
	}
	return nil
}

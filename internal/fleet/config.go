// Package fleet runs a whole deployment in one process: control nodes, gateways, coordinators, simulated back ends,
// scorer, weight store and trainers, callers and an operator. They communicate over TCP on loopback and store their
// data in a folder. It checks every promised invariant during the run and reports the result.
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
	// MinimumDuration leaves time for the planned stops and for the time limits that start at them.
	MinimumDuration = 10 * time.Second
)

// Config sets what to run and for how long.
type Config struct {
	// Deployment is one of Deployments. Required.
	Deployment Deployment
	// Duration is how long callers send requests, without start and shutdown. Default DefaultDuration, at least
	// MinimumDuration.
	Duration time.Duration
	// Faults kills, disconnects and restarts parts while callers send requests.
	Faults bool
	// Seed seeds the workload, the operator's changes and the faults.
	Seed int64
	// Folder stores the nodes' data and the operator's pending changes. Required.
	Folder string
	// LiveRate is the number of calls per second to the model pool. Default DefaultLiveRate.
	LiveRate float64
	// OperationRate is the number of calls per second to the application pool. Default DefaultOperationRate.
	OperationRate float64
	// Progress receives a line every two seconds. Default: no output.
	Progress io.Writer
	// Log receives the log messages of the parts. Default: no output.
	Log *logrus.Logger
}

// Check returns an error for values that cannot work. It has no side effects.
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

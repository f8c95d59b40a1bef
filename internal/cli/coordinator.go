package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/coordinator"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/rollout"
)

// coordinatorCommand runs a rollout coordinator until SIGTERM, then drains it.
type coordinatorCommand struct {
	Name          string        `long:"name" required:"true" description:"Unique member name of this coordinator"`
	Listen        string        `long:"listen" default:"127.0.0.1:8090" description:"IP:port for trainers; port 0 takes a free one"`
	Zone          string        `long:"zone" description:"Zone of this coordinator"`
	Region        string        `long:"region" description:"Region of this coordinator"`
	Control       string        `long:"control" required:"true" description:"IP:port of the control nodes, separated by commas"`
	LedgerGroups  int           `long:"ledger-groups" default:"2" description:"Number of ledger groups; the same as the control nodes'"`
	Scorer        string        `long:"scorer" description:"IP:port of the scoring service; without one samples get score 0"`
	WeightStore   string        `long:"weight-store" description:"IP:port of the weight store; without one versions are ordered unread"`
	Policy        string        `long:"policy" default:"paced" choice:"paced" choice:"asynchronous" choice:"synchronous" description:"When samples are generated: paced, asynchronous or synchronous"`
	MaxBody       int64         `long:"max-body" default:"33554432" description:"Largest request body, in bytes"`
	DrainPatience time.Duration `long:"drain-patience" default:"10s" description:"Longest time that a drain waits for running samples before the next owner goes on with them"`
	DrainTime     time.Duration `long:"drain-time" default:"1m" description:"Longest time of a whole drain"`
	StartTime     time.Duration `long:"start-time" default:"30s" description:"Longest time to wait for the first lease"`
	LogLevel      string        `long:"log-level" default:"info" description:"Lowest level logged: debug, info, warning or error"`
	LogFormat     string        `long:"log-format" default:"text" description:"Log format: text or json"`
	adminOptions
}

// rolloutPolicies are the policies by the names that the setting takes.
var rolloutPolicies = map[string]rollout.Policy{
	"paced": rollout.Paced{}, "asynchronous": rollout.Asynchronous{}, "synchronous": rollout.Synchronous{},
}

// Run implements command.
func (c *coordinatorCommand) Run(environment Environment, arguments []string) error {
	if len(arguments) > 0 {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("coordinator takes no arguments, got %q", arguments[0])}
	}
	logger, err := logging.New(logging.Config{Level: c.LogLevel, Format: c.LogFormat, Output: environment.Stderr})
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: err.Error()}
	}
	log := logging.Part(logger, "coordinator")
	admin, err := c.adminOptions.open("coordinator", c.Name, log)
	if err != nil {
		return err
	}
	defer closeAdmin(admin)
	server, err := c.openServer(environment.Context, log)
	if err != nil {
		if trace.IsBadParameter(err) {
			return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
		}
		return err
	}
	if err := showAdmin(admin, server); err != nil {
		return trace.NewAggregate(err, server.Close())
	}
	log.Infof("serving on %s", server.Address())
	return serveMember(environment.Context, server, c.DrainTime, log)
}

func (c *coordinatorCommand) openServer(ctx context.Context, log *logrus.Entry) (*coordinator.Server, error) {
	ctx, cancel := context.WithTimeout(ctx, c.StartTime)
	defer cancel()
	return coordinator.Open(ctx, coordinator.Config{Name: c.Name, Listen: c.Listen, Zone: c.Zone, Region: c.Region,
		Control: controlclient.Config{Addresses: strings.Split(c.Control, ","), LedgerGroups: c.LedgerGroups, Log: log},
		Scorer:  c.Scorer, WeightStore: c.WeightStore, Policy: rolloutPolicies[c.Policy], MaxBodyBytes: c.MaxBody,
		DrainPatience: c.DrainPatience, Log: log})
}

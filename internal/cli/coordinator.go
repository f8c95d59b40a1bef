package cli

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/coordinator"
	"github.com/tamarindring/tamarindring/internal/rollout"
)

// coordinatorCommand runs a rollout coordinator until SIGTERM, then drains it.
type coordinatorCommand struct {
	Name          string        `long:"name" required:"true" description:"Unique member name of this coordinator"`
	Listen        string        `long:"listen" default:"127.0.0.1:8090" description:"IP:port for trainers; port 0 takes a free one"`
	Zone          string        `long:"zone" description:"Zone of this coordinator"`
	Region        string        `long:"region" description:"Region of this coordinator"`
	Scorer        string        `long:"scorer" description:"IP:port of the scoring service; without one samples get score 0"`
	WeightStore   string        `long:"weight-store" description:"IP:port of the weight store; without one versions are ordered unread"`
	Policy        string        `long:"policy" default:"paced" choice:"paced" choice:"asynchronous" choice:"synchronous" description:"When samples are generated: paced, asynchronous or synchronous"`
	MaxBody       int64         `long:"max-body" default:"33554432" description:"Largest request body, in bytes"`
	DrainPatience time.Duration `long:"drain-patience" default:"10s" description:"Longest time that a drain waits for running samples before the next owner goes on with them"`
	DrainTime     time.Duration `long:"drain-time" default:"1m" description:"Longest time of a whole drain"`
	memberOptions
}

// rolloutPolicies are the rollout policies by their names in the settings.
var rolloutPolicies = map[string]rollout.Policy{
	"paced": rollout.Paced{}, "asynchronous": rollout.Asynchronous{}, "synchronous": rollout.Synchronous{},
}

// Run implements command.
func (c *coordinatorCommand) Run(environment Environment, arguments []string) error {
	return c.run(environment, arguments, memberRole{role: "coordinator", name: c.Name, drainTime: c.DrainTime, open: c.openServer})
}

func (c *coordinatorCommand) openServer(ctx context.Context, authentication roleCredentials, log *logrus.Entry) (memberServer, error) {
	return coordinator.Open(ctx, coordinator.Config{Name: c.Name, Listen: c.Listen, Zone: c.Zone, Region: c.Region,
		Control: c.clientConfig(authentication, log), Scorer: c.Scorer, WeightStore: c.WeightStore, Policy: rolloutPolicies[c.Policy],
		MaxBodyBytes: c.MaxBody, DrainPatience: c.DrainPatience, Guard: authentication.guard, Credentials: authentication.client, Log: log})
}

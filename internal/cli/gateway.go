package cli

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/gateway"
)

// gatewayCommand runs a gateway until SIGTERM, then drains it.
type gatewayCommand struct {
	Name        string        `long:"name" required:"true" description:"Unique member name of this gateway"`
	Listen      string        `long:"listen" default:"127.0.0.1:8080" description:"IP:port for callers; port 0 takes a free one"`
	Zone        string        `long:"zone" description:"Zone of this gateway; back ends of the same zone are preferred"`
	Region      string        `long:"region" description:"Region of this gateway"`
	MaxBody     int64         `long:"max-body" default:"268435456" description:"Largest request body, in bytes"`
	Connections int           `long:"max-connections" default:"16384" description:"Most open connections of callers; more are refused as not run"`
	PerAddress  int           `long:"max-connections-per-address" default:"4096" description:"Most open connections from one IP number"`
	DrainTime   time.Duration `long:"drain-time" default:"5m" description:"Longest time that a drain waits for requests in flight"`
	memberOptions
}

// Run implements command.
func (c *gatewayCommand) Run(environment Environment, arguments []string) error {
	return c.run(environment, arguments, memberRole{role: "gateway", name: c.Name, drainTime: c.DrainTime, open: c.openServer})
}

func (c *gatewayCommand) openServer(ctx context.Context, authentication roleCredentials, log *logrus.Entry) (memberServer, error) {
	return gateway.Open(ctx, gateway.Config{Name: c.Name, Listen: c.Listen, Zone: c.Zone, Region: c.Region,
		MaxBodyBytes: c.MaxBody, MaxConnections: c.Connections, MaxConnectionsPerAddress: c.PerAddress,
		Guard: authentication.guard, Log: log}, c.clientConfig(authentication, log))
}

package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// gatewayCommand runs a gateway until SIGTERM, then drains it.
type gatewayCommand struct {
	Name         string        `long:"name" required:"true" description:"Unique member name of this gateway"`
	Listen       string        `long:"listen" default:"127.0.0.1:8080" description:"IP:port for callers; port 0 takes a free one"`
	Zone         string        `long:"zone" description:"Zone of this gateway; back ends of the same zone are preferred"`
	Region       string        `long:"region" description:"Region of this gateway"`
	Control      string        `long:"control" required:"true" description:"IP:port of the control nodes, separated by commas"`
	LedgerGroups int           `long:"ledger-groups" default:"2" description:"Number of ledger groups; the same as the control nodes'"`
	MaxBody      int64         `long:"max-body" default:"268435456" description:"Largest request body, in bytes"`
	Connections  int           `long:"max-connections" default:"16384" description:"Most open connections of callers; more are refused as not run"`
	PerAddress   int           `long:"max-connections-per-address" default:"4096" description:"Most open connections from one IP number"`
	DrainTime    time.Duration `long:"drain-time" default:"5m" description:"Longest time that a drain waits for requests in flight"`
	StartTime    time.Duration `long:"start-time" default:"30s" description:"Longest time to wait for the first lease"`
	LogLevel     string        `long:"log-level" default:"info" description:"Lowest level logged: debug, info, warning or error"`
	LogFormat    string        `long:"log-format" default:"text" description:"Log format: text or json"`
	adminOptions
}

// Run implements command.
func (c *gatewayCommand) Run(environment Environment, arguments []string) error {
	if len(arguments) > 0 {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("gateway takes no arguments, got %q", arguments[0])}
	}
	logger, err := logging.New(logging.Config{Level: c.LogLevel, Format: c.LogFormat, Output: environment.Stderr})
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: err.Error()}
	}
	log := logging.Part(logger, "gateway")
	admin, err := c.adminOptions.open("gateway", c.Name, log)
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

func (c *gatewayCommand) openServer(ctx context.Context, log *logrus.Entry) (*gateway.Server, error) {
	ctx, cancel := context.WithTimeout(ctx, c.StartTime)
	defer cancel()
	return gateway.Open(ctx, gateway.Config{Name: c.Name, Listen: c.Listen, Zone: c.Zone, Region: c.Region,
		MaxBodyBytes: c.MaxBody, MaxConnections: c.Connections, MaxConnectionsPerAddress: c.PerAddress, Log: log}, controlclient.Config{Addresses: strings.Split(c.Control, ","),
		LedgerGroups: c.LedgerGroups, Log: log})
}

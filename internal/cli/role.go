package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/events"
)

// memberOptions are the flags of the roles that hold a session with the control group.
type memberOptions struct {
	Control      string        `long:"control" required:"true" description:"IP:port of the control nodes, separated by commas"`
	LedgerGroups int           `long:"ledger-groups" default:"2" description:"Number of ledger groups; the same as the control nodes'"`
	StartTime    time.Duration `long:"start-time" default:"30s" description:"Longest time to wait for the first lease"`
	LostTime     time.Duration `long:"lost-time" default:"2m" description:"Longest time without a lease before the process drains and fails, so that its supervisor starts it with the settings of the moment; 0 for ever"`
	logOptions
	adminOptions
	serverOptions
}

// memberRole holds the properties that differ between these roles.
type memberRole struct {
	role      string
	name      string
	drainTime time.Duration
	// open starts the server. Its context ends after the time that a start may take.
	open func(ctx context.Context, authentication roleCredentials, log *logrus.Entry) (memberServer, error)
}

// clientConfig returns the configuration of the role's client of the control group.
func (o memberOptions) clientConfig(authentication roleCredentials, log *logrus.Entry) controlclient.Config {
	return controlclient.Config{Addresses: strings.Split(o.Control, ","), LedgerGroups: o.LedgerGroups,
		Credentials: authentication.client, Log: log}
}

// run starts the role, serves until the environment's context ends or the server has to stop, then drains.
func (o memberOptions) run(environment Environment, arguments []string, role memberRole) error {
	if len(arguments) > 0 {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("%s takes no arguments, got %q", role.role, arguments[0])}
	}
	log, err := o.logOptions.open(environment, role.role, role.name, events.ProcessStarted{})
	if err != nil {
		return err
	}
	return log.end(o.serve(environment, role, log))
}

func (o memberOptions) serve(environment Environment, role memberRole, process *processLog) error {
	log := process.Entry
	authentication, err := o.openRoleCredentials(log)
	if err != nil {
		return err
	}
	admin, err := o.adminOptions.open(role.role, role.name, authentication, log)
	if err != nil {
		return err
	}
	defer closeAdmin(admin)
	server, err := o.start(environment.Context, authentication, log, role)
	if err != nil {
		return err
	}
	if err := setAdminProcess(admin, server); err != nil {
		return trace.NewAggregate(err, server.Close())
	}
	authentication.warnIfOpen(log, "the listener", server.Address())
	process.serving(server.Address())
	return serveMember(environment.Context, server, role.drainTime, &leaseLossMonitor{limit: o.LostTime}, log)
}

// start opens the server within the start time.
func (o memberOptions) start(ctx context.Context, authentication roleCredentials, log *logrus.Entry, role memberRole) (memberServer, error) {
	ctx, cancel := context.WithTimeout(ctx, o.StartTime)
	defer cancel()
	server, err := role.open(ctx, authentication, log)
	if trace.IsBadParameter(err) {
		return nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return server, err
}

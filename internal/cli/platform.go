package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/memlimit"
	"github.com/tamarindring/tamarindring/internal/metrics"
	"github.com/tamarindring/tamarindring/platform"
)

// platformRole holds the flags of the roles that run on the users' platform; all other settings come from the
// platform's settings file.
type platformRole struct {
	logOptions
	adminOptions
}

type platformControlCommand struct{ platformRole }

// Run implements command.
func (c *platformControlCommand) Run(environment Environment, arguments []string) error {
	return c.run(environment, arguments, "control", memlimit.Doubling, platform.RunControl)
}

type platformGatewayCommand struct{ platformRole }

// Run implements command.
func (c *platformGatewayCommand) Run(environment Environment, arguments []string) error {
	return c.run(environment, arguments, "gateway", memlimit.Compact, platform.RunGateway)
}

type platformStoreCommand struct{ platformRole }

// Run implements command.
func (c *platformStoreCommand) Run(environment Environment, arguments []string) error {
	return c.run(environment, arguments, "store", memlimit.Compact, platform.RunStore)
}

func (r *platformRole) run(environment Environment, arguments []string, role string, growth memlimit.Growth,
	serve func(context.Context, *platform.Settings, platform.ExposeMetrics, *logrus.Entry) error) error {
	if len(arguments) > 0 {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("platform %s takes no arguments, got %q", role, arguments[0])}
	}
	settings, err := platform.OpenSettingsFile(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	current := settings.Current()
	memoryLimits := memlimit.Apply(current.Limits.MemoryBytes(), growth)
	log, err := r.logOptions.open(environment, role, current.Node, events.ProcessStarted{Zone: current.Zone, MemoryMB: current.Limits.MemoryMB})
	if err != nil {
		return err
	}
	log.Debugf("the heap stays below %d MB, collected at %d%% growth", memoryLimits.HeapBytes>>20, memoryLimits.CollectPercent)
	settings.Follow(environment.Context, log.Entry)
	go memlimit.Report(environment.Context, log.Entry, current.Limits.MemoryBytes())
	admin := r.openMetrics(role, current.Node, log.Entry)
	defer closeAdmin(admin)
	show := func(process metrics.Process) error { return setAdminProcess(admin, process) }
	return log.end(serve(environment.Context, current, show, log.Entry))
}

// openMetrics opens the admin listener. Another process on the platform may use its port. Then this process runs
// without metrics, because serving callers matters more.
func (r *platformRole) openMetrics(role, node string, log *logrus.Entry) *metrics.Admin {
	admin, err := r.adminOptions.open(role, node, roleCredentials{}, log)
	if err != nil {
		log.WithError(err).Error("no metrics are shown")
		return nil
	}
	return admin
}

package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/memlimit"
	"github.com/tamarindring/tamarindring/internal/metrics"
	"github.com/tamarindring/tamarindring/platform"
)

// platformRole runs one role of the users' platform from the platform's settings file.
type platformRole struct {
	LogLevel  string `long:"log-level" default:"info" description:"Lowest level logged: debug, info, warning or error"`
	LogFormat string `long:"log-format" default:"text" description:"Log format: text or json"`
	adminOptions
}

type platformControlCommand struct{ platformRole }

// Run implements command.
func (c *platformControlCommand) Run(environment Environment, arguments []string) error {
	return c.run(environment, arguments, "control", platform.RunControl)
}

type platformGatewayCommand struct{ platformRole }

// Run implements command.
func (c *platformGatewayCommand) Run(environment Environment, arguments []string) error {
	return c.run(environment, arguments, "gateway", platform.RunGateway)
}

type platformStoreCommand struct{ platformRole }

// Run implements command.
func (c *platformStoreCommand) Run(environment Environment, arguments []string) error {
	return c.run(environment, arguments, "store", platform.RunStore)
}

func (r *platformRole) run(environment Environment, arguments []string, role string,
	serve func(context.Context, *platform.Settings, platform.Show, *logrus.Entry) error) error {
	if len(arguments) > 0 {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("platform %s takes no arguments, got %q", role, arguments[0])}
	}
	logger, err := logging.New(logging.Config{Level: r.LogLevel, Format: r.LogFormat, Output: environment.Stderr})
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	settings, err := platform.OpenSettingsFile(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	log := logging.Part(logger, role)
	collector := memlimit.Apply(settings.Current().Limits.MemoryBytes())
	log.Debugf("the heap stays below %d MB, collected at %d%% growth", collector.HeapBytes>>20, collector.CollectPercent)
	settings.Follow(environment.Context, log)
	admin, err := r.adminOptions.open(role, settings.Current().Node, doors{}, log)
	if err != nil {
		return err
	}
	defer closeAdmin(admin)
	show := func(process metrics.Process) error { return showAdmin(admin, process) }
	return serve(environment.Context, settings.Current(), show, log)
}

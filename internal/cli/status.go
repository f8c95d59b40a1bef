package cli

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
)

// statusCommand prints the health of the control nodes and members.
type statusCommand struct {
	controlAccess
	Format string `long:"format" default:"table" choice:"table" choice:"json" description:"table for reading, json for programs"`
}

// Run queries every known control node, back end and coordinator, and prints which ones can't be reached. It fails if
// no leader of the control group was reached.
func (c *statusCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		status := operator.ReadStatus(ctx, client)
		if status.MembersError == "" {
			fleet, err := operator.ReadFleet(ctx, client)
			if err != nil {
				return err
			}
			status.Fleet = fleet
		}
		if err := status.Write(environment.Stdout, operator.Format(c.Format)); err != nil {
			return err
		}
		if status.MembersError != "" {
			return &ExitError{Code: ExitFailure, Message: "no leader of the control group was reached"}
		}
		return nil
	})
}

package cli

import (
	"context"
	"fmt"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
)

// upgradeCheckCommand tells whether the next process may be replaced by one of another build.
type upgradeCheckCommand struct{ controlAccess }

// Run prints the compatibility level in force and the faults to mend first. It fails if there are any.
func (c *upgradeCheckCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		check := operator.CheckUpgrade(operator.ReadStatus(ctx, client))
		verdict := "safe: the next process may be replaced"
		if len(check.Reasons) > 0 {
			verdict = "not safe yet"
		}
		if _, err := fmt.Fprintf(environment.Stdout, "%s\n%s\n", verdict, check.Level); err != nil {
			return err
		}
		for _, reason := range check.Reasons {
			if _, err := fmt.Fprintln(environment.Stdout, reason); err != nil {
				return err
			}
		}
		if len(check.Reasons) > 0 {
			return &ExitError{Code: ExitFailure, Message: "the next process must not be replaced yet"}
		}
		return nil
	})
}

package cli

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
)

// suspectListCommand prints the requests during which back ends crashed.
type suspectListCommand struct {
	controlAccess
}

// Run prints the suspect requests with how each may run.
func (c *suspectListCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		sheet, err := operator.ReadSheet(ctx, client)
		if err != nil {
			return err
		}
		return operator.WriteSuspects(environment.Stdout, sheet)
	})
}

// suspectDigest is the argument of the commands on one suspect request.
type suspectDigest struct {
	Arguments struct {
		Digest string `positional-arg-name:"DIGEST"`
	} `positional-args:"true" required:"true"`
}

// suspectReleaseCommand releases a suspect or condemned request.
type suspectReleaseCommand struct {
	changeFlags
	suspectDigest
}

// Run removes the request from the suspects.
func (c *suspectReleaseCommand) Run(environment Environment, _ []string) error {
	request := "suspect release\x00" + c.Arguments.Digest
	return c.submitChange(environment, request, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return operator.PlanSuspectRelease(sheet, c.Arguments.Digest)
	})
}

// suspectCondemnCommand condemns a request.
type suspectCondemnCommand struct {
	changeFlags
	suspectDigest
}

// Run marks the request as after its third crash.
func (c *suspectCondemnCommand) Run(environment Environment, _ []string) error {
	request := "suspect condemn\x00" + c.Arguments.Digest
	return c.submitChange(environment, request, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return operator.PlanSuspectCondemn(sheet, c.Arguments.Digest)
	})
}

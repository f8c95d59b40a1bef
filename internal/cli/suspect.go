package cli

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
)

// suspectListCommand prints the requests under which back ends crashed.
type suspectListCommand struct {
	controlAccess
}

// Run lists the suspects with what each may do.
func (c *suspectListCommand) Run(environment Environment, _ []string) error {
	return c.use(environment, func(ctx context.Context, client *controlclient.Client) error {
		sheet, err := operator.ReadSheet(ctx, client)
		if err != nil {
			return err
		}
		return operator.WriteSuspects(environment.Stdout, sheet)
	})
}

// suspectDigest is the argument of commands that concern one suspect.
type suspectDigest struct {
	Arguments struct {
		Digest string `positional-arg-name:"DIGEST"`
	} `positional-args:"true" required:"true"`
}

// suspectReleaseCommand frees a suspect.
type suspectReleaseCommand struct {
	changeFlags
	suspectDigest
}

// Run takes the request off the record.
func (c *suspectReleaseCommand) Run(environment Environment, _ []string) error {
	request := "suspect release\x00" + c.Arguments.Digest
	return c.change(environment, request, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return operator.PlanSuspectRelease(sheet, c.Arguments.Digest)
	})
}

// suspectCondemnCommand has a request rest.
type suspectCondemnCommand struct {
	changeFlags
	suspectDigest
}

// Run puts the request on record as after its third crash.
func (c *suspectCondemnCommand) Run(environment Environment, _ []string) error {
	request := "suspect condemn\x00" + c.Arguments.Digest
	return c.change(environment, request, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return operator.PlanSuspectCondemn(sheet, c.Arguments.Digest)
	})
}

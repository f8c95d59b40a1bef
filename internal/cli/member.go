package cli

import (
	"context"
	"fmt"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
)

// memberAddCommand makes a control node that was started with --join a voter.
type memberAddCommand struct {
	controlAccess
	Arguments struct {
		ID uint64 `positional-arg-name:"ID"`
	} `positional-args:"true" required:"true"`
}

// Run adds the node to every group, as a learner first.
func (c *memberAddCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		if err := operator.AddNode(ctx, client, c.Arguments.ID); err != nil {
			return err
		}
		_, err := fmt.Fprintf(environment.Stdout, "control node %d is a voter of every group\n", c.Arguments.ID)
		return err
	})
}

// memberRemoveCommand removes a control node from the cluster.
type memberRemoveCommand struct {
	controlAccess
	Arguments struct {
		ID uint64 `positional-arg-name:"ID"`
	} `positional-args:"true" required:"true"`
}

// Run removes the node from every group.
func (c *memberRemoveCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		if err := operator.RemoveNode(ctx, client, c.Arguments.ID); err != nil {
			return err
		}
		_, err := fmt.Fprintf(environment.Stdout, "control node %d is in no group; stop it and never use its id again\n", c.Arguments.ID)
		return err
	})
}

// memberReplaceCommand replaces a control node by one that was started with --join.
type memberReplaceCommand struct {
	controlAccess
	Arguments struct {
		Old uint64 `positional-arg-name:"OLD-ID"`
		New uint64 `positional-arg-name:"NEW-ID"`
	} `positional-args:"true" required:"true"`
}

// Run adds the new node to every group, then removes the old one.
func (c *memberReplaceCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		if c.Arguments.Old == c.Arguments.New {
			return &ExitError{Code: ExitUsage, Message: "a node can't replace itself: a lost disk needs a new id"}
		}
		if err := operator.AddNode(ctx, client, c.Arguments.New); err != nil {
			return err
		}
		if err := operator.RemoveNode(ctx, client, c.Arguments.Old); err != nil {
			return err
		}
		_, err := fmt.Fprintf(environment.Stdout, "control node %d has replaced %d; never use id %d again\n", c.Arguments.New, c.Arguments.Old, c.Arguments.Old)
		return err
	})
}

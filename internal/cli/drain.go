package cli

import (
	"context"
	"fmt"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// drainCommand drains a back end, a pool or a member.
type drainCommand struct {
	changeFlags
	Arguments struct {
		Name string `positional-arg-name:"NODE|BACKEND"`
	} `positional-args:"true" required:"true"`
}

// Run sets the state of the row with that name to draining. If there is no such row, it asks the member with that
// name to leave.
func (c *drainCommand) Run(environment Environment, _ []string) error {
	name := c.Arguments.Name
	var row bool
	var member *wire.Member
	err := c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		sheet, err := operator.ReadSheet(ctx, client)
		if err != nil {
			return err
		}
		if _, row = sheet.Row(name); row {
			return nil
		}
		members, err := operator.ReadMembers(ctx, client)
		if err != nil {
			return err
		}
		if member = operator.FindMember(members, name); member == nil {
			return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("%s is neither a row of the table nor a member; a control node is drained by stopping it with SIGTERM", name)}
		}
		return c.drainMember(ctx, environment, client, member)
	})
	if err != nil || !row {
		return err
	}
	return c.submitChange(environment, "drain\x00"+name, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return operator.PlanSet(sheet, name, table.ColumnState, string(table.Draining))
	})
}

func (c *drainCommand) drainMember(ctx context.Context, environment Environment, client *controlclient.Client, member *wire.Member) error {
	if c.DryRun {
		_, err := fmt.Fprintf(environment.Stdout, "member %s is %s and would be asked to leave\n", member.Name, wire.MemberStateText(member.State))
		return err
	}
	if err := operator.DrainMember(ctx, client, member); err != nil {
		return err
	}
	_, err := fmt.Fprintf(environment.Stdout, "member %s is asked to finish its work and leave\n", member.Name)
	return err
}

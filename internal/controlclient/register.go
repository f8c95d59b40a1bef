package controlclient

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Register makes this process a member without a lease. The control group knows it and an operator may drain it, but
// it may not act on the table, and nothing waits for it while it pauses. It retries until ctx ends. Errors:
// trace.BadParameter without a member name or for a role that holds a lease; trace.CompareFailed if the group holds
// another state of this member.
func (c *Client) Register(ctx context.Context) error {
	if c.config.Member.GetName() == "" {
		return trace.BadParameter("a registration needs a member name")
	}
	member := c.newMember()
	if wire.HoldsLease(member.GetRole()) {
		return trace.BadParameter("a %s holds a lease: start a session", wire.MemberRoleText(member.GetRole()))
	}
	for {
		command := &wire.Command{Kind: &wire.Command_MemberUpdate{MemberUpdate: &wire.MemberUpdate{Member: member}}}
		result, err := c.Execute(ctx, ControlGroup, command)
		if err != nil {
			return trace.Wrap(err)
		}
		if result.GetMember().GetAccepted() {
			return nil
		}
		renumbered, later := withIncarnationAfter(member, result.GetMember().GetHeldIncarnation())
		if !later {
			return trace.CompareFailed("%s was not registered: another state of it is", wire.OwnerName(member))
		}
		c.logRenumbered(member, renumbered)
		member = renumbered
	}
}

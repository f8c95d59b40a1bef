package operator

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Retirement is how far the emptying of a storage member has come.
type Retirement string

// States of a retirement.
const (
	RetirementRunning   Retirement = "running"
	RetirementCompleted Retirement = "completed" // nothing of ours is kept there: the machine may be removed
)

// RetireMember drains a storage member so that its machine can be removed, disk included. Safe to repeat, at
// any control node. Errors: trace.NotFound if no storage member has that name; otherwise a verdict.
//
// No retirement is refused for what would remain: storage members keep nothing that others don't, because the
// control nodes carry all groups.
func RetireMember(ctx context.Context, control MemberControl, name string) error {
	member, err := storageMember(ctx, control, name)
	if err != nil {
		return err
	}
	return DrainMember(ctx, control, member)
}

// ReadRetirement returns how far the retirement of a storage member has come. Errors as for RetireMember.
func ReadRetirement(ctx context.Context, control Control, name string) (Retirement, error) {
	member, err := storageMember(ctx, control, name)
	if err != nil {
		return "", err
	}
	return retirementOf(member), nil
}

func storageMember(ctx context.Context, control Control, name string) (*wire.Member, error) {
	members, err := ReadMembers(ctx, control)
	if err != nil {
		return nil, err
	}
	member := FindMember(members, name)
	if member.GetRole() != wire.MemberRole_MEMBER_ROLE_STORAGE {
		return nil, trace.NotFound("no storage member is named %q", name)
	}
	return member, nil
}

// retirementOf derives the state from the member alone: it is empty from the moment that it takes nothing new.
func retirementOf(member *wire.Member) Retirement {
	switch member.GetState() {
	case wire.MemberState_MEMBER_STATE_LEAVING, wire.MemberState_MEMBER_STATE_GONE:
		return RetirementCompleted
	}
	return RetirementRunning
}

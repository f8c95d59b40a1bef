package operator

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Retirement is the progress of removing a storage member.
type Retirement string

// States of a retirement.
const (
	RetirementRunning   Retirement = "running"
	RetirementCompleted Retirement = "completed" // the member holds no part of the replicated state; its machine may be removed
)

// StorageMachines knows which storage machines hold a part of the replicated state. *control.Server is the usual
// implementation.
type StorageMachines interface {
	// CanRetire reports whether enough other storage members remain without the one at an address.
	CanRetire(ctx context.Context, address string) (bool, error)
	// AddressOf returns the address that a control node listens on; empty if it is not known.
	AddressOf(node uint64) string
}

// RetireMember drains a storage member so that its machine can be removed together with its disk. It is idempotent
// and may be called at any control node: once a drain was accepted, no later call is refused. Errors: trace.NotFound
// if no storage member has that name, trace.CompareFailed if too few would remain; all others carry a verdict.
func RetireMember(ctx context.Context, control MemberControl, machines StorageMachines, name string) error {
	member, err := findStorageMember(ctx, control, name)
	if err != nil {
		return err
	}
	if isLeaving(member) {
		return nil
	}
	sufficient, err := machines.CanRetire(ctx, member.Address)
	if err != nil {
		return err
	}
	if !sufficient {
		return trace.CompareFailed("too few storage members would remain without %q", name)
	}
	return DrainMember(ctx, control, member)
}

// ReadRetirement returns how far the retirement of a storage member has come. Errors: trace.NotFound if no storage
// member has that name; all others carry a verdict. A node whose address is not known counts as being on the member's
// machine, so that the retirement isn't completed too early.
func ReadRetirement(ctx context.Context, control MemberControl, machines StorageMachines, name string) (Retirement, error) {
	member, err := findStorageMember(ctx, control, name)
	if err != nil {
		return "", err
	}
	if !isLeaving(member) {
		return RetirementRunning, nil
	}
	state := RetirementCompleted
	err = forEachGroup(ctx, control, func(group uint32) error {
		view, err := readLeaderStatus(ctx, control, group)
		if err != nil {
			return err
		}
		for _, node := range slices.Concat(view.GetVoters(), view.GetLearners()) { // a leader may be about to promote a learner to voter
			if address := machines.AddressOf(node); address == member.Address || address == "" {
				state = RetirementRunning
			}
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	return state, nil
}

func findStorageMember(ctx context.Context, control Control, name string) (*wire.Member, error) {
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

// isLeaving reports whether a member was asked to leave or has left.
func isLeaving(member *wire.Member) bool {
	switch member.GetState() {
	case wire.MemberState_MEMBER_STATE_LEAVING, wire.MemberState_MEMBER_STATE_GONE:
		return true
	}
	return false
}

package operator

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// groupPollInterval is the time between two reads of a group's status, while waiting for a leader or for a change of
// leader to take effect.
const groupPollInterval = 50 * time.Millisecond

// MemberControl is the client of the control nodes that changes of members need.
type MemberControl interface {
	StatusControl
	Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error)
	ChangeGroup(ctx context.Context, group uint32, change *wire.GroupChange) error
}

// ReadMembers returns all members sorted by name, including those that have gone.
func ReadMembers(ctx context.Context, control Control) ([]*wire.Member, error) {
	view, err := control.Query(ctx, controlGroup, &wire.Query{Kind: &wire.Query_Members{Members: &wire.MembersQuery{}}})
	if err != nil {
		return nil, err
	}
	return view.GetMembers().GetMembers(), nil
}

// FindMember returns the member with a name, or nil.
func FindMember(members []*wire.Member, name string) *wire.Member {
	for _, member := range members {
		if member.Name == name {
			return member
		}
	}
	return nil
}

// DrainMember asks a member to finish its work and leave. It is idempotent. If the member has changed since it was
// read, the error carries verdict.DidNotRun.
func DrainMember(ctx context.Context, control MemberControl, member *wire.Member) error {
	if member.State == wire.MemberState_MEMBER_STATE_LEAVING || member.State == wire.MemberState_MEMBER_STATE_GONE {
		return nil
	}
	leaving := proto.CloneOf(member)
	leaving.State = wire.MemberState_MEMBER_STATE_LEAVING
	command := &wire.Command{Kind: &wire.Command_MemberUpdate{MemberUpdate: &wire.MemberUpdate{Member: leaving}}}
	result, err := control.Execute(ctx, controlGroup, command)
	if err != nil {
		return err
	}
	if !result.GetMember().GetAccepted() {
		return verdict.New(verdict.DidNotRun, "member %s has changed meanwhile; look at its state and try again", member.Name)
	}
	return nil
}

// AddNode makes a running control node that was started with --join a voter of every group. The node first joins as a
// learner to catch up, then it is promoted. AddNode is idempotent and completes an earlier call that was interrupted.
func AddNode(ctx context.Context, control MemberControl, node uint64) error {
	return forEachGroup(ctx, control, func(group uint32) error { return addNode(ctx, control, group, node) })
}

// forEachGroup calls work with every group of the cluster, until one call fails.
func forEachGroup(ctx context.Context, control MemberControl, work func(group uint32) error) error {
	view, err := readLeaderStatus(ctx, control, state.ControlGroup)
	if err != nil {
		return err
	}
	for group := state.ControlGroup; group <= view.LedgerGroups; group++ {
		if err := work(group); err != nil {
			return trace.Wrap(err, "group %d", group)
		}
	}
	return nil
}

// addNode makes a node a voter of one group.
func addNode(ctx context.Context, control MemberControl, group uint32, node uint64) error {
	view, err := readLeaderStatus(ctx, control, group)
	if err != nil || slices.Contains(view.Voters, node) {
		return err
	}
	if !slices.Contains(view.Learners, node) {
		if err := control.ChangeGroup(ctx, group, newGroupChange(wire.GroupChangeKind_GROUP_CHANGE_KIND_ADD_LEARNER, node)); err != nil {
			return err
		}
	}
	promoteError := control.ChangeGroup(ctx, group, newGroupChange(wire.GroupChangeKind_GROUP_CHANGE_KIND_PROMOTE, node))
	if view, err := readLeaderStatus(ctx, control, group); err == nil && slices.Contains(view.Voters, node) {
		return nil // promoted, either now or by an earlier call whose answer was lost
	}
	return promoteError
}

// RemoveNode removes a control node from every group, after transferring the leadership of the groups that it leads.
// It is idempotent.
func RemoveNode(ctx context.Context, control MemberControl, node uint64) error {
	return forEachGroup(ctx, control, func(group uint32) error { return removeNode(ctx, control, group, node) })
}

// removeNode removes a node from one group.
func removeNode(ctx context.Context, control MemberControl, group uint32, node uint64) error {
	view, err := readLeaderStatus(ctx, control, group)
	for err == nil && view.Leader == node {
		if err := transferLeadership(ctx, control, group, view); err != nil {
			return err
		}
		view, err = readLeaderStatus(ctx, control, group)
	}
	if err != nil || !slices.Contains(view.Voters, node) && !slices.Contains(view.Learners, node) {
		return err
	}
	return control.ChangeGroup(ctx, group, newGroupChange(wire.GroupChangeKind_GROUP_CHANGE_KIND_REMOVE, node))
}

// transferLeadership asks the most advanced other voter to lead the group, then waits briefly for that to take
// effect. If no other voter is active, the error carries verdict.DidNotRun.
func transferLeadership(ctx context.Context, control MemberControl, group uint32, view *wire.StatusView) error {
	var best *wire.NodeStatus
	for _, other := range view.Nodes {
		eligible := other.Node != view.Leader && !other.Learner && other.Active
		if eligible && (best == nil || other.MatchIndex > best.MatchIndex) {
			best = other
		}
	}
	if best == nil {
		return verdict.New(verdict.DidNotRun, "node %d leads the group and no other voter is alive to take over", view.Leader)
	}
	change := newGroupChange(wire.GroupChangeKind_GROUP_CHANGE_KIND_TRANSFER_LEADERSHIP, best.Node)
	if err := control.ChangeGroup(ctx, group, change); err != nil {
		return err
	}
	return sleep(ctx, groupPollInterval)
}

func newGroupChange(kind wire.GroupChangeKind, node uint64) *wire.GroupChange {
	return &wire.GroupChange{Kind: kind, Node: node}
}

// readLeaderStatus returns a group's status as its leader reports it. It polls the control nodes until one of them is
// the leader or ctx ends; then the error carries verdict.DidNotRun.
func readLeaderStatus(ctx context.Context, control StatusControl, group uint32) (*wire.StatusView, error) {
	for {
		var failure error
		for _, address := range control.Addresses() {
			attempt, cancel := context.WithTimeout(ctx, nodeTimeout)
			view, err := control.NodeStatus(attempt, address, group)
			cancel()
			if err == nil && view.Leader == view.Node && view.Node != 0 {
				return view, nil
			}
			failure = err
		}
		if err := sleep(ctx, groupPollInterval); err != nil {
			return nil, verdict.Wrap(verdict.DidNotRun, trace.NewAggregate(err, failure), "no leader of group %d was found among the control nodes", group)
		}
	}
}

// sleep returns after a duration, or earlier with an error when ctx ends.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

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

// settlePoll is how often a change of nodes looks whether an earlier step has taken effect.
const settlePoll = 50 * time.Millisecond

// MemberControl is what changes of members need of a client of the control nodes.
type MemberControl interface {
	StatusControl
	Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error)
	ChangeGroup(ctx context.Context, group uint32, change *wire.GroupChange) error
}

// ReadMembers returns all members, also those that have gone, by name.
func ReadMembers(ctx context.Context, control Control) ([]*wire.Member, error) {
	view, err := control.Query(ctx, controlGroup, &wire.Query{Kind: &wire.Query_Members{Members: &wire.MembersQuery{}}})
	if err != nil {
		return nil, err
	}
	return view.GetMembers().GetMembers(), nil
}

// FindMember returns the member of a name, or nil.
func FindMember(members []*wire.Member, name string) *wire.Member {
	for _, member := range members {
		if member.Name == name {
			return member
		}
	}
	return nil
}

// DrainMember asks a member to finish what it has and leave; safe to repeat.
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

// AddNode makes a running control node, started with --join, a voter of every group: first a learner
// that catches up, then a voter. Safe to repeat; a run that was cut short is continued.
func AddNode(ctx context.Context, control MemberControl, node uint64) error {
	return eachGroup(ctx, control, func(group uint32) error { return addNode(ctx, control, group, node) })
}

// eachGroup calls work with every group of the cluster.
func eachGroup(ctx context.Context, control MemberControl, work func(group uint32) error) error {
	view, err := leaderStatus(ctx, control, state.ControlGroup)
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

func addNode(ctx context.Context, control MemberControl, group uint32, node uint64) error {
	view, err := leaderStatus(ctx, control, group)
	if err != nil || slices.Contains(view.Voters, node) {
		return err
	}
	if !slices.Contains(view.Learners, node) {
		if err := control.ChangeGroup(ctx, group, groupChange(wire.GroupChangeKind_GROUP_CHANGE_KIND_ADD_LEARNER, node)); err != nil {
			return err
		}
	}
	promoteError := control.ChangeGroup(ctx, group, groupChange(wire.GroupChangeKind_GROUP_CHANGE_KIND_PROMOTE, node))
	if view, err := leaderStatus(ctx, control, group); err == nil && slices.Contains(view.Voters, node) {
		return nil // promoted, if not by this sending then by an earlier one whose answer was lost
	}
	return promoteError
}

// RemoveNode takes a control node out of every group, handing over first what it leads. Safe to repeat.
func RemoveNode(ctx context.Context, control MemberControl, node uint64) error {
	return eachGroup(ctx, control, func(group uint32) error { return removeNode(ctx, control, group, node) })
}

func removeNode(ctx context.Context, control MemberControl, group uint32, node uint64) error {
	view, err := leaderStatus(ctx, control, group)
	for err == nil && view.Leader == node {
		if err := handOver(ctx, control, group, view); err != nil {
			return err
		}
		view, err = leaderStatus(ctx, control, group)
	}
	if err != nil || !slices.Contains(view.Voters, node) && !slices.Contains(view.Learners, node) {
		return err
	}
	return control.ChangeGroup(ctx, group, groupChange(wire.GroupChangeKind_GROUP_CHANGE_KIND_REMOVE, node))
}

// handOver asks the most advanced other voter to lead, and waits a moment for it.
func handOver(ctx context.Context, control MemberControl, group uint32, view *wire.StatusView) error {
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
	change := groupChange(wire.GroupChangeKind_GROUP_CHANGE_KIND_TRANSFER_LEADERSHIP, best.Node)
	if err := control.ChangeGroup(ctx, group, change); err != nil {
		return err
	}
	return pause(ctx, settlePoll)
}

func groupChange(kind wire.GroupChangeKind, node uint64) *wire.GroupChange {
	return &wire.GroupChange{Kind: kind, Node: node}
}

// leaderStatus returns the status of group as its leader sees it.
func leaderStatus(ctx context.Context, control StatusControl, group uint32) (*wire.StatusView, error) {
	for {
		var failure error
		for _, address := range control.Addresses() {
			asked, cancel := context.WithTimeout(ctx, nodeTimeout)
			view, err := control.NodeStatus(asked, address, group)
			cancel()
			if err == nil && view.Leader == view.Node && view.Node != 0 {
				return view, nil
			}
			failure = err
		}
		if err := pause(ctx, settlePoll); err != nil {
			return nil, verdict.Wrap(verdict.DidNotRun, trace.NewAggregate(err, failure), "no leader of group %d was found among the control nodes", group)
		}
	}
}

func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

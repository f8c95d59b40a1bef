package control

import (
	"context"
	"errors"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// groupChanger contains the membership changes of a group. It is part of Replicas.
type groupChanger interface {
	AddLearner(ctx context.Context, group uint32, node uint64) error
	Promote(ctx context.Context, group uint32, node uint64) error
	Remove(ctx context.Context, group uint32, node uint64) error
}

// changeGroup executes a membership change or a leadership transfer of a group. A change that is already in effect
// succeeds.
func (s *Server) changeGroup(ctx context.Context, request *wire.ExecuteRequest) *wire.ExecuteReply {
	change := request.Change
	var err error
	switch change.Kind {
	case wire.GroupChangeKind_GROUP_CHANGE_KIND_ADD_LEARNER:
		err = ignoreError(s.replicas.AddLearner(ctx, request.Group, change.Node), raft.ErrAlreadyMember)
	case wire.GroupChangeKind_GROUP_CHANGE_KIND_PROMOTE:
		err = s.replicas.Promote(ctx, request.Group, change.Node)
	case wire.GroupChangeKind_GROUP_CHANGE_KIND_REMOVE:
		err = ignoreError(s.replicas.Remove(ctx, request.Group, change.Node), raft.ErrNotMember)
	case wire.GroupChangeKind_GROUP_CHANGE_KIND_TRANSFER_LEADERSHIP:
		err = s.replicas.TransferLeadership(ctx, request.Group, change.Node)
	default:
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_INVALID, Error: "the change is newer than this control node"}
	}
	switch {
	case err == nil:
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK}
	case errors.Is(err, raft.ErrChangePending), errors.Is(err, raft.ErrNotCaughtUp):
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OVERLOADED, Error: err.Error()}
	case errors.Is(err, raft.ErrQuorumAtRisk), errors.Is(err, raft.ErrLastVoter), errors.Is(err, raft.ErrNotMember):
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_INVALID, Error: err.Error()}
	default:
		return s.failureReply(request.Group, err)
	}
}

// ignoreError returns nil if err means that the change is already in effect, and err otherwise.
func ignoreError(err, inEffect error) error {
	if errors.Is(err, inEffect) {
		return nil
	}
	return err
}

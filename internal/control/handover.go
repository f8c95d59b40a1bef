package control

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// ErrVoterSilent means that a voter is not heard and has not announced that it stops.
var ErrVoterSilent = errors.New("the voter is silent")

// OfferControl asks the voter that listens at an address to lead the control group in place of this node. It returns
// nil once the voter was asked, which does not mean that it takes over. It returns trace.BadParameter if this node does
// not lead or no voter listens at the address, and trace.ConnectionProblem if the voter lags, is stopping or is not
// heard. In the last case the error wraps ErrVoterSilent.
func (s *Server) OfferControl(ctx context.Context, address string) error {
	status, err := s.replicas.Status(ctx, controlGroup)
	if err != nil {
		return trace.Wrap(err)
	}
	if status.Leader != status.ID || s.draining.Load() {
		return trace.BadParameter("node %s does not lead the control group", s.config.Name)
	}
	chosen := s.voterAt(address, &status)
	switch {
	case chosen.Node == raft.None:
		return trace.BadParameter("no voter of the control group listens at %s", address)
	case s.voters.isLeaving(chosen.Node, s.config.Clock()):
		return trace.ConnectionProblem(nil, "the voter at %s stops", address)
	case !chosen.RecentActive:
		return trace.ConnectionProblem(ErrVoterSilent, "the voter at %s is not heard", address)
	case chosen.Match < status.Commit:
		return trace.ConnectionProblem(nil, "the voter at %s lags", address)
	}
	return trace.Wrap(s.replicas.TransferLeadership(ctx, controlGroup, chosen.Node))
}

// voterAt returns the progress of the other voter that listens at an address, or the zero value if there is none.
func (s *Server) voterAt(address string, status *raft.Status) raft.Progress {
	for _, node := range s.replicas.Nodes() {
		if node.Address != address || node.ID == status.ID || !status.Configuration.IsVoter(node.ID) {
			continue
		}
		for _, progress := range status.Match {
			if progress.Node == node.ID {
				return progress
			}
		}
	}
	return raft.Progress{}
}

package control

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// OfferControl asks the voter that listens at an address to lead the control group in this node's place. It returns
// nil once the voter was asked, which tells nothing of whether it takes over. Errors: trace.BadParameter when this
// node does not lead or no voter listens there, and trace.ConnectionProblem while that voter is not heard, lags or
// stops.
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
	case !chosen.RecentActive || chosen.Match < status.Commit || s.voters.isLeaving(chosen.Node, s.config.Clock()):
		return trace.ConnectionProblem(nil, "the voter at %s can't lead now", address)
	}
	return trace.Wrap(s.replicas.TransferLeadership(ctx, controlGroup, chosen.Node))
}

// voterAt is the other voter that listens at an address; the zero value if there is none.
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

package control

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// statusView returns this node's view of a group, which may be out of date on a node that does not lead it.
func (s *Server) statusView(ctx context.Context, group uint32) (*wire.View, error) {
	status, err := s.replicas.Status(ctx, group)
	if err != nil {
		return nil, err
	}
	view := &wire.StatusView{
		Leader:       status.Leader,
		Term:         status.Term,
		CommitIndex:  status.Commit,
		AppliedIndex: status.Applied,
		Voters:       status.Configuration.Voters,
		Learners:     status.Configuration.Learners,
		Node:         s.config.NodeID,
		NodeName:     s.config.Name,
		LedgerGroups: uint32(s.config.LedgerGroups),
		Speaks:       uint32(compat.Newest),
	}
	for _, other := range status.Match {
		view.Nodes = append(view.Nodes, &wire.NodeStatus{
			Node: other.Node, MatchIndex: other.Match, Learner: other.Learner, Active: other.RecentActive,
		})
	}
	if group != controlGroup {
		return s.ledgerStatus(ctx, group, view)
	}
	view.Level = uint32(s.levels.agreed())
	view.TableVersion = s.leases.version()
	view.InForceVersion = s.leases.inForce()
	view.Holders = s.leases.holders()
	return &wire.View{Kind: &wire.View_Status{Status: view}}, nil
}

// ledgerStatus completes the view of a ledger group with the claims and batch jobs in its state.
func (s *Server) ledgerStatus(ctx context.Context, group uint32, view *wire.StatusView) (*wire.View, error) {
	local, err := s.replicas.LocalQuery(ctx, group, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return nil, err
	}
	view.Claims, view.ClaimOwners = local.GetStatus().GetClaims(), local.GetStatus().GetClaimOwners()
	view.Jobs, view.JobBytes = local.GetStatus().GetJobs(), local.GetStatus().GetJobBytes()
	return &wire.View{Kind: &wire.View_Status{Status: view}}, nil
}

package control

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// LedgerGroup is a ledger group as this node sees it, for work in the same process that belongs to the
// group's leader.
type LedgerGroup struct {
	server *Server
	group  uint32
}

// LedgerGroup returns a ledger group, numbered from 1.
func (s *Server) LedgerGroup(group uint32) *LedgerGroup {
	return &LedgerGroup{server: s, group: group}
}

// Leads says whether this node leads the group, and in which term, as the groups' loop told last: a leader that
// does not hear a quorum for an election timeout steps down by itself.
func (g *LedgerGroup) Leads() (term uint64, leading bool) {
	known := g.server.states[g.group].leader()
	return known.Term, known.Leading && !g.server.draining.Load()
}

// Changed receives a value after batch jobs were taken or ended here. It has one receiver.
func (g *LedgerGroup) Changed() <-chan struct{} { return g.server.states[g.group].jobs }

// Query is a linearizable query. It fails on a node that does not lead the group.
func (g *LedgerGroup) Query(ctx context.Context, query *wire.Query) (*wire.View, error) {
	return g.server.replicas.Query(ctx, g.group, query)
}

// LocalQuery answers from the state applied here.
func (g *LedgerGroup) LocalQuery(ctx context.Context, query *wire.Query) (*wire.View, error) {
	return g.server.replicas.LocalQuery(ctx, g.group, query)
}

// Propose has a command applied by the group and returns its result. It fails on a node that does not lead the
// group; after other errors the command may still be applied.
func (g *LedgerGroup) Propose(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	result, _, err := g.server.replicas.Propose(ctx, g.group, command)
	return result, err
}

// jobsApplied wakes the group's runner.
func (g *groupState) jobsApplied() {
	select {
	case g.jobs <- struct{}{}:
	default:
	}
}

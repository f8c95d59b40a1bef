package control

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// LedgerGroup gives code in the same process that runs on the group's leader access to a ledger group.
type LedgerGroup struct {
	server *Server
	group  uint32
}

// LedgerGroup returns a ledger group. Groups are numbered from 1.
func (s *Server) LedgerGroup(group uint32) *LedgerGroup {
	return &LedgerGroup{server: s, group: group}
}

// Leads reports whether this node leads the group and is not draining, and in which term, as last reported by the
// consensus host's loop. A leader that does not hear a quorum for an election timeout steps down.
func (g *LedgerGroup) Leads() (term uint64, leading bool) {
	known := g.server.states[g.group].leader()
	return known.Term, known.Leading && !g.server.draining.Load()
}

// Changed returns a channel that receives a value after batch jobs were accepted or ended on this node. It supports a
// single receiver.
func (g *LedgerGroup) Changed() <-chan struct{} { return g.server.states[g.group].jobs }

// Query makes a linearizable query. It fails on a node that does not lead the group.
func (g *LedgerGroup) Query(ctx context.Context, query *wire.Query) (*wire.View, error) {
	return g.server.replicas.Query(ctx, g.group, query)
}

// LocalQuery answers a query from the state applied on this node, which may be out of date.
func (g *LedgerGroup) LocalQuery(ctx context.Context, query *wire.Query) (*wire.View, error) {
	return g.server.replicas.LocalQuery(ctx, g.group, query)
}

// Propose replicates a command and returns its result. It fails on a node that does not lead the group. After any other
// error the command may still be applied.
func (g *LedgerGroup) Propose(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	result, _, err := g.server.replicas.Propose(ctx, g.group, command)
	return result, err
}

// notifyJobsChanged wakes the receiver of LedgerGroup.Changed.
func (g *groupState) notifyJobsChanged() {
	select {
	case g.jobs <- struct{}{}:
	default:
	}
}

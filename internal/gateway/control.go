package gateway

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Control is what a gateway needs of the control group: a lease on a table view, and the ledger.
type Control interface {
	// Admit says whether the lease holds at this instant and for which table version.
	Admit() (version uint64, ok bool)
	// View returns the current table.
	View() *table.View
	// OnUpdate calls listener with each new view before it is acknowledged.
	OnUpdate(listener func(*table.View))
	// Members returns the members as last heard.
	Members() *wire.MembersView
	// Owner is the name under which this process owns claims.
	Owner() string
	// ClaimGroup returns the ledger group of a key.
	ClaimGroup(key string) uint32
	// Ticket returns the highest ledger index of a group that this process knows.
	Ticket(group uint32) uint64
	// Execute applies a command in a group; it goes on until ctx ends.
	Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error)
	// Query reads a group linearizably.
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
	// Leave gives up membership for a planned stop.
	Leave(ctx context.Context) error
	// Close ends the session abruptly.
	Close() error
}

package gateway

import (
	"context"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Control is the part of a control session that a gateway uses: a lease on a table view, and the ledger.
type Control interface {
	// Admit reports whether the lease is valid now, and the table version it holds for.
	Admit() (version uint64, ok bool)
	// View returns the current table view.
	View() *table.View
	// OnUpdate registers a listener, which is called with each new view before the view is acknowledged.
	OnUpdate(listener func(*table.View))
	// Members returns the latest member list.
	Members() *wire.MembersView
	// Owner returns the name under which this process owns claims.
	Owner() string
	// ClaimGroup returns the ledger group of an idempotency key.
	ClaimGroup(key string) uint32
	// LearnedIndex returns the highest ledger index of a group that this process knows.
	LearnedIndex(group uint32) uint64
	// Execute applies a command in a group. It retries until ctx ends.
	Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error)
	// Query reads from a group linearizably.
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
	// Leave ends the membership as part of a planned shutdown.
	Leave(ctx context.Context) error
	// Close ends the session abruptly.
	Close() error
}

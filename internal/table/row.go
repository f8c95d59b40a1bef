package table

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/incarnation"
)

// Row is one row with typed values, after defaults and inheritance from the pool are resolved. It is immutable once it
// is part of a View. Columns that do not apply to the row's kind are zero; a back end has its pool's values in them.
type Row struct {
	Name           string
	Kind           RowKind
	Pool           string // pool of a back end; for a pool, its own name
	Address        string // IP:port; empty for a pool
	Zone           string // empty if unknown
	State          State  // a back end whose pool is draining or removed is at least that too
	Service        Service
	Weight         uint32        // relative share, 0 to 1000
	MaxInFlight    uint32        // concurrent requests at one back end, summed over all gateways
	QueueLimit     uint32        // requests that may wait for a slot
	QueueWait      time.Duration // longest wait for a slot
	LiveReserve    uint32        // slots reserved for live traffic
	RolloutShare   uint32        // highest percentage of the slots that rollout work may hold
	ClassOrder     []string      // caller classes, most urgent first
	StalenessBound uint32        // weight versions that a sample may be behind the trainer's
	Deadline       time.Duration // of a request whose caller sets none

	MaxConnections uint32 // connections at one back end, summed over all gateways
	HealthPath     string // empty if there is no health check
	KVCapacity     uint64 // tokens; 0 if unknown
	SharedSlots    bool   // of a pool: the gateways divide its slots among themselves by demand
	Models         []string
	Sequence       uint64 // number of a registered back end's last message that changed the row
	Start          uint64 // start time of a registered back end, in Unix milliseconds; 0 if unknown
	// Instance is the text form of a back end's incarnation, which differs after every start. Observations of a back
	// end are stored under this name. It equals the row's name if the start is unknown.
	Instance string

	// Of a route.
	Host          string
	PathPrefix    string
	Pools         []WeightedName
	RouteKind     RouteKind
	Timeout       time.Duration
	TargetLatency time.Duration // 0 if none is set
	Priority      uint32        // 0 is the highest
	MaxAttempts   uint32
	QueueTTL      time.Duration // 0 if items of a batch job never expire
	SingleVersion bool          // an item's text must come from one weight version
	Sticky        bool          // requests with a common prompt prefix go to the same back end
	Resumable     bool          // a broken stream may continue at another back end

	Anonymous bool // of a route: its requests need no key

	// Of a listener.
	MaxHeader     uint64 // bytes
	MaxBody       uint64 // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration

	KeysRequired bool // requests need a tenant's key, except on anonymous routes

	// Of a tenant, which may also have a Priority.
	TenantName string
	KeyDigests []string // hexadecimal, see tenant.Digest
	// TenantWeight is the tenant's share while requests of several tenants wait, relative to the other tenants'
	// weights, 1 to 1000.
	TenantWeight uint32
	Rate         uint32 // requests per second, summed over all gateways; 0 for no limit
	Burst        uint32 // requests that may exceed the rate at once; 0 for the requests of one second at Rate
	Concurrency  uint32 // requests in flight, summed over all gateways; 0 for no limit

	// Of a document.
	Revision uint64
	Text     string

	// Of a suspect.
	Crashes         uint32 // back ends that crashed while they ran the request
	CrashedBackEnds string // the most recent ones, separated by commas, oldest first
	Subject         string // tenant, method, host and path of the request, for display

	explicit map[string]string // canonical values of the row's own cells, without cleared ones
}

// WeightedName is one entry of a WeightedNames cell.
type WeightedName struct {
	Name   string
	Weight uint32
}

// Serving reports whether the row accepts new work, which requires that it is active and has a weight above 0.
func (r *Row) Serving() bool { return r.State == Active && r.Weight > 0 }

// IsRegistered reports whether the row is that of a back end that registered itself. Operators create the others.
func (r *Row) IsRegistered() bool {
	_, explicit := r.explicit[ColumnSequence]
	return r.Kind == Backend && explicit
}

// Incarnation returns the id and start time of the back end that the row describes.
func (r *Row) Incarnation() incarnation.Incarnation {
	return incarnation.Incarnation{ID: r.Name, Start: r.Start}
}

// Explicit returns the value of the row's own cell of a column, ignoring defaults and the pool, and whether it is set.
func (r *Row) Explicit(column string) (string, bool) {
	value, ok := r.explicit[column]
	return value, ok
}

// resolve builds the typed row from its own cells and, for a back end, its pool's cells (nil if the pool does not
// exist).
func resolve(name string, own, pool map[string]string) *Row {
	row := &Row{Name: name, explicit: own}
	kind := RowKind(own[ColumnKind])
	for position := range columns {
		column := &columns[position]
		value, ok := own[column.Name]
		if !ok && column.Inherited && kind == Backend {
			value, ok = pool[column.Name]
		}
		if !ok {
			value = column.Default
		}
		if value == "" || !column.hasValueIn(kind) {
			continue
		}
		column.assign(row, value)
	}
	if kind == Pool {
		row.Pool = name
	}
	if kind == Backend {
		row.Instance = row.Incarnation().String()
	}
	if poolState := State(pool[ColumnState]); kind == Backend && stateRank(poolState) > stateRank(row.State) {
		row.State = poolState
	}
	return row
}

// stateRank orders states by how much work they exclude.
func stateRank(state State) int {
	switch state {
	case Removed:
		return 2
	case Draining:
		return 1
	default:
		return 0
	}
}

package table

import (
	"slices"

	"github.com/tamarindring/tamarindring/internal/compat"
)

// RowKind is the kind of object that a row describes.
type RowKind string

// The kinds of row, as written in the column "kind".
const (
	Pool     RowKind = "pool"
	Backend  RowKind = "backend"
	Route    RowKind = "route"    // a host and path prefix, and the pools that serve its requests
	Listener RowKind = "listener" // limits on what clients may send to the gateways
	Tenant   RowKind = "tenant"   // a caller of the gateways, identified by its keys
	Document RowKind = "document" // text stored verbatim for a tool, such as a site's configuration
	Suspect  RowKind = "suspect"  // a request that back ends crashed on; its name is SuspectPrefix and the request's digest
)

// State says whether a pool or back end accepts new work, as written in the column "state".
type State string

// The states of a row.
const (
	Active   State = "active"   // accepts new work
	Draining State = "draining" // finishes its running work and accepts no new work
	Removed  State = "removed"  // accepts no work; the row stays as a record until it is removed
)

// Service is the type of a pool's back ends, as written in the column "service".
type Service string

// The services.
const (
	Engine      Service = "engine"      // model engine with the OpenAI interface
	Application Service = "application" // application replica with named operations
)

// RouteKind determines how often and how a route's requests may run, as written in the column "route_kind".
type RouteKind string

// The kinds of route.
const (
	Repeatable RouteKind = "repeatable" // may run more than once
	Once       RouteKind = "once"       // each attempt runs at most once
	Stream     RouteKind = "stream"     // answered with a stream of events
	Batch      RouteKind = "batch"      // a batch job: requests submitted together and run later
)

// ValueType determines how the text of a cell is validated and parsed.
type ValueType uint8

// The types of value.
const (
	Choice        ValueType = iota + 1 // one of Column.Choices
	Name                               // letters, digits, '.', '_' and '-', at most MaximumNameBytes
	Address                            // IP:port
	Unsigned                           // decimal number between Column.Minimum and Column.Maximum
	NameList                           // names separated by commas, without duplicates
	Host                               // host name with an optional port, in lower case
	Path                               // absolute path without a query
	PathPrefix                         // path that starts and ends with a slash
	WeightedNames                      // NAME:WEIGHT pairs separated by commas, without duplicate names
	HeaderValue                        // printable ASCII that an HTTP header field can carry, at most MaximumHeaderValueBytes
	Text                               // any UTF-8 text up to MaximumTextBytes
)

// String returns the type's name as the operators' page shows it.
func (t ValueType) String() string {
	switch t {
	case Choice:
		return "choice"
	case Name:
		return "name"
	case Address:
		return "IP:port"
	case Unsigned:
		return "number"
	case NameList:
		return "list of names"
	case Host:
		return "host"
	case Path:
		return "path"
	case PathPrefix:
		return "path prefix"
	case WeightedNames:
		return "weighted names"
	case HeaderValue:
		return "header value"
	case Text:
		return "text"
	default:
		return "unknown"
	}
}

// Column describes one column: the values that its cells accept and their meaning.
type Column struct {
	Name      string
	Type      ValueType
	Unit      string    // of an Unsigned; empty for a plain count
	Minimum   uint64    // of an Unsigned, inclusive
	Maximum   uint64    // of an Unsigned, inclusive
	Choices   []string  // of a Choice
	Default   string    // canonical value of an unset or cleared cell; empty if there is none
	Rows      []RowKind // kinds of row that may have a cell of the column
	Inherited bool      // a back end without its own cell uses its pool's
	Help      string    // one sentence for operators
	// Since is the level from which cells of the column are accepted. Builds that do not support it reject such cells.
	Since compat.Level
	// Optional marks a column that some of the builds from before levels do not know. While a table has no cell of
	// it, such a build may still be a member of the group.
	Optional bool

	assign func(row *Row, canonical string)
}

// AppliesTo reports whether a row of the kind may have a cell of the column.
func (c *Column) AppliesTo(kind RowKind) bool {
	for _, candidate := range c.Rows {
		if candidate == kind {
			return true
		}
	}
	return false
}

// hasValueIn reports whether a row of the kind can have a value of the column, either its own or its pool's.
func (c *Column) hasValueIn(kind RowKind) bool {
	return c.AppliesTo(kind) || (c.Inherited && kind == Backend)
}

// The names of the columns.
const (
	ColumnKind           = "kind"
	ColumnPool           = "pool"
	ColumnAddress        = "address"
	ColumnZone           = "zone"
	ColumnState          = "state"
	ColumnService        = "service"
	ColumnWeight         = "weight"
	ColumnMaxInFlight    = "max_in_flight"
	ColumnQueueLimit     = "queue_limit"
	ColumnQueueWait      = "queue_wait_millis"
	ColumnLiveReserve    = "live_room"
	ColumnRolloutShare   = "rollout_share"
	ColumnClassOrder     = "class_order"
	ColumnStalenessBound = "staleness_bound"
	ColumnDeadline       = "deadline_millis"
	ColumnMaxConnections = "max_connections"
	ColumnHealthPath     = "health_path"
	ColumnKVCapacity     = "kv_capacity_tokens"
	ColumnModels         = "models"
	ColumnSequence       = "sequence"
	ColumnStart          = "start_unix_millis"
	ColumnHost           = "host"
	ColumnPathPrefix     = "path_prefix"
	ColumnPools          = "pools"
	ColumnRouteKind      = "route_kind"
	ColumnTimeout        = "timeout_millis"
	ColumnTargetLatency  = "target_latency_millis"
	ColumnPriority       = "priority"
	ColumnMaxAttempts    = "max_attempts"
	ColumnQueueTTL       = "queue_ttl_millis"
	ColumnSingleVersion  = "single_version"
	ColumnSticky         = "sticky"
	ColumnResumable      = "resumable"
	ColumnAnonymous      = "anonymous"
	ColumnTenantName     = "tenant_name"
	ColumnKeyDigests     = "key_digests"
	ColumnKeysRequired   = "keys_required"
	ColumnRate           = "rate_per_second"
	ColumnBurst          = "burst"
	ColumnConcurrency    = "concurrency"
	ColumnTenantWeight   = "tenant_weight"
	ColumnSharedSlots    = "shared_slots"
	ColumnMaxHeader      = "max_header_bytes"
	ColumnMaxBody        = "max_body_bytes"
	ColumnHeaderTimeout  = "header_timeout_millis"
	ColumnIdleTimeout    = "idle_timeout_millis"
	ColumnRevision       = "revision"
	ColumnText           = "text"
	ColumnCrashes        = "crashes"
	ColumnCrashed        = "crashed_back_ends"
	ColumnSubject        = "subject"
)

// columns lists all columns in the order in which they are shown to operators.
var columns = slices.Concat(poolColumns, routeColumns, tenantColumns, suspectColumns)

var columnIndex = func() map[string]*Column {
	index := make(map[string]*Column, len(columns))
	for position := range columns {
		index[columns[position].Name] = &columns[position]
	}
	return index
}()

// Schema returns all columns in the order in which they are shown to operators.
func Schema() []Column { return append([]Column(nil), columns...) }

// Lookup returns the column with the given name, and whether it exists.
func Lookup(name string) (Column, bool) {
	column, ok := columnIndex[name]
	if !ok {
		return Column{}, false
	}
	return *column, true
}

// Package configure writes a site's configuration to the operators' table as one change. It sets a row for each route,
// pool and tenant, a row with the listener's limits, and a document row with the configuration's text, so that the text
// can be read back exactly. Of several configurations, that with the highest revision prevails, whatever their senders
// and order.
//
// Check, Plan and Supplement have no side effects. Importer applies their results through a client of the control
// nodes.
package configure

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/route"
	"github.com/tamarindring/tamarindring/internal/table"
)

// Names and name prefixes of the rows that a configuration owns. A pool's row has the pool's name, see RowName.
const (
	DocumentRow  = "document.configuration"
	ListenerRow  = "listener.gateways"
	routePrefix  = "route."
	tenantPrefix = "tenant."
	namePrefix   = "named." // of the digest of a name that cannot be a row's name
)

// Configuration is the complete configuration of a site.
type Configuration struct {
	Revision uint64 // above 0
	Text     string // verbatim, as the operator sent it
	Pools    []Pool
	Routes   []route.Route // names may repeat, and need not be valid as row names
	Listener Listener
	// KeysRequired is set if requests need the key of a tenant.
	KeysRequired bool
	Tenants      []Tenant
	// Level is the level in force. Columns of higher levels are neither written nor cleared, because older builds do
	// not know them.
	Level compat.Level
}

// Pool is a pool of back ends that run one service of the site.
type Pool struct {
	Name           string
	Service        table.Service
	MaxInFlight    uint64 // concurrent requests at one back end; 0 for the table's default
	MaxConnections uint64 // at one back end; 0 for the table's default
	HealthPath     string // empty if there is no health check
	KVCapacity     uint64 // tokens; 0 if unknown
	Models         []string
	SharedSlots    bool // the gateways divide its slots among themselves by demand
}

// Listener holds the limits on what a client may send. Zero fields stand for the table's defaults.
type Listener struct {
	MaxHeader     uint64        // bytes
	MaxBody       uint64        // bytes
	HeaderTimeout time.Duration // to send a request's head
	IdleTimeout   time.Duration // between two requests of a connection
}

// RowName returns the name of the row for a name. It is the name itself if it is valid as a row's name, and a name with
// its digest otherwise.
func RowName(name string) string { return rowName("", name) }

func rowName(prefix, name string) string {
	column, _ := table.Lookup(table.ColumnPool)
	if _, err := column.Canonical(prefix + name); err == nil && strings.TrimSpace(name) == name {
		return prefix + name
	}
	return fmt.Sprintf("%s%s%016x", prefix, namePrefix, xxhash.Sum64String(name))
}

// Check returns an error if a configuration is invalid regardless of the content of the table.
func Check(c *Configuration) error {
	if c.Revision == 0 || c.Revision > table.MaximumSequence {
		return trace.BadParameter("revision %d is outside 1 to %d", c.Revision, uint64(table.MaximumSequence))
	}
	known := make(map[string]bool, len(c.Pools))
	for _, pool := range c.Pools {
		if pool.Name == "" || known[pool.Name] {
			return trace.BadParameter("pool %q has no name or stands twice", pool.Name)
		}
		known[pool.Name] = true
	}
	type routeKey struct{ host, prefix string }
	taken := make(map[routeKey]string, len(c.Routes))
	for position := range c.Routes {
		r := &c.Routes[position]
		if err := checkRoute(r, known); err != nil {
			return trace.Wrap(err, "route %q", r.Name)
		}
		key := routeKey{strings.ToLower(r.Host), r.PathPrefix}
		if other, duplicate := taken[key]; duplicate {
			return trace.BadParameter("routes %q and %q have the same host and path prefix", other, r.Name)
		}
		taken[key] = r.Name
	}
	return checkTenants(c.Tenants)
}

// checkRoute checks one route, given the names of the configuration's pools.
func checkRoute(r *route.Route, known map[string]bool) error {
	total := uint64(0)
	for _, share := range r.Pools {
		if !known[share.Pool] {
			return trace.BadParameter("pool %q is not known", share.Pool)
		}
		total += uint64(share.Weight)
	}
	switch {
	case total == 0:
		return trace.BadParameter("the weights sum to 0")
	case r.Timeout <= 0:
		return trace.BadParameter("the timeout is 0")
	case r.Host == "":
		return trace.BadParameter("the host is missing")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return trace.BadParameter("path prefix %q does not start and end with a slash", r.PathPrefix)
	}
	return nil
}

// cells holds the values of a row's cells by column. An empty value clears a cell.
type cells map[string]string

// rows returns all rows that the configuration owns by name, with the columns that it sets or clears.
func (c *Configuration) rows() map[string]cells {
	rows := map[string]cells{
		DocumentRow: {table.ColumnKind: string(table.Document),
			table.ColumnRevision: formatNumber(c.Revision), table.ColumnText: c.Text},
		ListenerRow: {table.ColumnKind: string(table.Listener),
			table.ColumnMaxHeader: formatOptional(c.Listener.MaxHeader), table.ColumnMaxBody: formatOptional(c.Listener.MaxBody),
			table.ColumnHeaderTimeout: formatDuration(c.Listener.HeaderTimeout), table.ColumnIdleTimeout: formatDuration(c.Listener.IdleTimeout),
			table.ColumnKeysRequired: formatFlag(c.KeysRequired)},
	}
	for position := range c.Pools {
		pool := &c.Pools[position]
		row := cells{table.ColumnKind: string(table.Pool),
			table.ColumnService: string(pool.Service), table.ColumnMaxInFlight: formatOptional(pool.MaxInFlight),
			table.ColumnMaxConnections: formatOptional(pool.MaxConnections), table.ColumnHealthPath: pool.HealthPath,
			table.ColumnKVCapacity: formatOptional(pool.KVCapacity), table.ColumnModels: formatNames(pool.Models)}
		if c.Level.Includes(compat.Shares) {
			row[table.ColumnSharedSlots] = formatFlag(pool.SharedSlots)
		}
		rows[RowName(pool.Name)] = row
	}
	for position := range c.Routes {
		r := &c.Routes[position]
		name := rowName(routePrefix, r.Name)
		if _, taken := rows[name]; taken || r.Name == "" {
			name = rowName(routePrefix, strings.ToLower(r.Host)+" "+r.PathPrefix)
		}
		rows[name] = routeCells(r)
	}
	for position := range c.Tenants {
		tenant := &c.Tenants[position]
		row := tenant.cells()
		if c.Level.Includes(compat.Shares) {
			row[table.ColumnRate] = formatOptional(uint64(tenant.Rate))
		}
		rows[rowName(tenantPrefix, tenant.Name)] = row
	}
	return rows
}

// routeCells returns the cells of a route's row.
func routeCells(r *route.Route) cells {
	return cells{table.ColumnKind: string(table.Route),
		table.ColumnHost: r.Host, table.ColumnPathPrefix: r.PathPrefix, table.ColumnPools: formatShares(r.Pools),
		table.ColumnRouteKind: string(r.Kind), table.ColumnTimeout: formatDuration(r.Timeout),
		table.ColumnTargetLatency: formatDuration(r.TargetLatency), table.ColumnPriority: formatNumber(uint64(r.Priority)),
		table.ColumnMaxAttempts: formatOptional(uint64(r.MaxAttempts)), table.ColumnDeadline: formatDuration(r.Deadline),
		table.ColumnQueueTTL: formatDuration(r.QueueTTL), table.ColumnSingleVersion: formatFlag(r.SingleVersion),
		table.ColumnSticky: formatFlag(r.Sticky), table.ColumnResumable: formatFlag(r.Resumable), table.ColumnAnonymous: formatFlag(r.Anonymous)}
}

// formatShares formats the pools of a route as a cell. It sums the weights of repeated pools, because a pool may be
// listed only once.
func formatShares(parts []route.Share) string {
	weights, order := map[string]uint64{}, []string{}
	for _, part := range parts {
		if _, known := weights[part.Pool]; !known {
			order = append(order, part.Pool)
		}
		weights[part.Pool] += uint64(part.Weight)
	}
	texts := make([]string, 0, len(order))
	for _, pool := range order {
		texts = append(texts, RowName(pool)+":"+formatNumber(weights[pool]))
	}
	return strings.Join(texts, ",")
}

// formatNames formats names as the cell of a list.
func formatNames(names []string) string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, RowName(name))
	}
	return strings.Join(texts, ",")
}

func formatNumber(value uint64) string { return strconv.FormatUint(value, 10) }

// formatOptional formats a number as a cell; 0 clears the cell, so that the default applies.
func formatOptional(value uint64) string {
	if value == 0 {
		return ""
	}
	return formatNumber(value)
}

// formatDuration formats a duration as a cell, rounded up to whole milliseconds; 0 clears the cell.
func formatDuration(value time.Duration) string {
	return formatOptional(uint64((value + time.Millisecond - 1) / time.Millisecond))
}

// formatFlag formats a boolean as a cell; false clears the cell, so that the default applies.
func formatFlag(value bool) string {
	if value {
		return "true"
	}
	return ""
}

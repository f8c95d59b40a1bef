// Package route determines the route of a request. A Table is built from a view of the operators' table and is
// immutable. A request is matched by its host and the longest path prefix.
package route

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
)

// Share is a pool of a route and its part of the route's requests.
type Share struct {
	Pool   string
	Weight uint32 // relative to the sum of the route's weights, which is above 0
}

// Route specifies where requests of one kind are sent and how they are handled.
type Route struct {
	Name          string // name of its row in the operators' table
	Host          string // lower case, with a port if the row has one
	PathPrefix    string // starts and ends with a slash
	Pools         []Share
	Kind          table.RouteKind
	Timeout       time.Duration // longest time that a request may take at the gateway
	TargetLatency time.Duration // 0: none
	Priority      uint32        // 0 is the highest
	MaxAttempts   uint32        // limit on the back ends that one request is sent to
	Deadline      time.Duration // batch jobs only: time after submission by which results are due
	QueueTTL      time.Duration // batch jobs only: time after submission at which an item may be given up; 0: never
	SingleVersion bool
	Sticky        bool
	Resumable     bool
	Anonymous     bool // requests need no API key
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == table.Repeatable || r.Kind == table.Batch || (r.Kind == table.Stream && r.Resumable)
}

// FromView returns the routes of a table view in the order of their row names.
func FromView(view *table.View) []Route {
	var routes []Route
	for _, row := range view.OfKind(table.Route) {
		routes = append(routes, fromRow(row))
	}
	return routes
}

func fromRow(row *table.Row) Route {
	shares := make([]Share, 0, len(row.Pools))
	for _, part := range row.Pools {
		shares = append(shares, Share{Pool: part.Name, Weight: part.Weight})
	}
	return Route{
		Name: row.Name, Host: row.Host, PathPrefix: row.PathPrefix, Pools: shares, Kind: row.RouteKind,
		Timeout: row.Timeout, TargetLatency: row.TargetLatency, Priority: row.Priority,
		MaxAttempts: row.MaxAttempts, Deadline: row.Deadline, QueueTTL: row.QueueTTL,
		SingleVersion: row.SingleVersion, Sticky: row.Sticky, Resumable: row.Resumable, Anonymous: row.Anonymous,
	}
}

// Table finds routes by host and path. It is immutable and safe for concurrent use.
type Table struct {
	version uint64
	routes  []Route
	byHost  map[string][]*Route // by descending length of the path prefix
}

// NewTable returns a Table of the routes of a table view.
func NewTable(view *table.View) *Table {
	result := &Table{version: view.Version(), routes: FromView(view), byHost: map[string][]*Route{}}
	for position := range result.routes {
		route := &result.routes[position]
		result.byHost[route.Host] = append(result.byHost[route.Host], route)
	}
	for _, routes := range result.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return result
}

// Version returns the version of the operators' table from which the routes were read.
func (t *Table) Version() uint64 { return t.version }

// Routes returns all routes in the order of their row names. The slice is shared and must not be modified.
func (t *Table) Routes() []Route { return t.routes }

// Match returns the route for a host and a path, or nil if there is none. The host may be in any case and with or
// without a port; a route for the host with the port takes precedence. The query of the path is ignored.
func (t *Table) Match(host, path string) *Route {
	if query := strings.IndexByte(path, '?'); query >= 0 {
		path = path[:query]
	}
	host = strings.ToLower(host)
	if found := matchPath(t.byHost[host], path); found != nil {
		return found
	}
	if colon := strings.LastIndexByte(host, ':'); colon > 0 && !strings.HasSuffix(host, "]") {
		return matchPath(t.byHost[host[:colon]], path)
	}
	return nil
}

// AllowsAnonymous reports whether any route of the host accepts requests without an API key.
func (t *Table) AllowsAnonymous(host string) bool {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); len(t.byHost[host]) == 0 && colon > 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return slices.ContainsFunc(t.byHost[host], func(candidate *Route) bool { return candidate.Anonymous })
}

// matchPath returns the first of the routes, which are sorted by descending length of the prefix, whose prefix
// matches the path, or nil.
func matchPath(routes []*Route, path string) *Route {
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

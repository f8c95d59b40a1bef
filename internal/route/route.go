// Package route says which route a request belongs to. A Table is built from a view of the operators' table
// and never changes; a request is matched by its host and the longest path prefix.
package route

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
)

// Share is a pool that serves a route and its part of the route's requests.
type Share struct {
	Pool   string
	Weight uint32 // relative to the sum of the route's weights, which is above 0
}

// Route is one kind of request: where it goes and how it may be treated.
type Route struct {
	Name          string // of the row
	Host          string // lower case, with a port if the row has one
	PathPrefix    string // starts and ends with a slash
	Pools         []Share
	Kind          table.RouteKind
	Timeout       time.Duration // longest time that a request is held
	TargetLatency time.Duration // 0: none
	Priority      uint32        // 0 is the highest
	MaxAttempts   uint32        // back ends that one request is sent to
	Deadline      time.Duration // of a batch: time after its submission by which results are due
	QueueTTL      time.Duration // of a batch: time after its submission at which an item may be given up; 0: never
	SingleVersion bool
	Sticky        bool
	Resumable     bool
	Anonymous     bool // requests need no key
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == table.Repeatable || r.Kind == table.Batch || (r.Kind == table.Stream && r.Resumable)
}

// FromView returns the routes of a table view by row name.
func FromView(view *table.View) []Route {
	var routes []Route
	for _, row := range view.Rows() {
		if row.Kind == table.Route {
			routes = append(routes, fromRow(row))
		}
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

// Table finds routes by host and path. It is immutable and safe to share.
type Table struct {
	version uint64
	routes  []Route
	byHost  map[string][]*Route // longest prefix first
}

// NewTable returns the routes of a table view.
func NewTable(view *table.View) *Table {
	made := &Table{version: view.Version(), routes: FromView(view), byHost: map[string][]*Route{}}
	for position := range made.routes {
		route := &made.routes[position]
		made.byHost[route.Host] = append(made.byHost[route.Host], route)
	}
	for _, routes := range made.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return made
}

// Version returns the version of the operators' table that the routes are of.
func (t *Table) Version() uint64 { return t.version }

// Routes returns all routes by row name. The slice is shared: do not change it.
func (t *Table) Routes() []Route { return t.routes }

// Match returns the route of a request with the host (in any case, with a port or without) and path; nil if
// there is none. A query does not count as part of the path.
func (t *Table) Match(host, path string) *Route {
	if query := strings.IndexByte(path, '?'); query >= 0 {
		path = path[:query]
	}
	host = strings.ToLower(host)
	if found := longest(t.byHost[host], path); found != nil {
		return found
	}
	if colon := strings.LastIndexByte(host, ':'); colon > 0 && !strings.HasSuffix(host, "]") {
		return longest(t.byHost[host[:colon]], path)
	}
	return nil
}

// Anonymous tells whether a route of the host takes requests without a key.
func (t *Table) Anonymous(host string) bool {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); len(t.byHost[host]) == 0 && colon > 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return slices.ContainsFunc(t.byHost[host], func(one *Route) bool { return one.Anonymous })
}

func longest(routes []*Route, path string) *Route {
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

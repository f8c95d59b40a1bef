package table

import (
	"maps"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// forwarding is the part of the table that a process needs to forward requests: all rows but the back ends of pools that
// no route forwards to. Back ends that only run batch jobs are outside it. It is immutable.
type forwarding struct {
	pools map[string]bool // pools to which a route forwards requests
	// membershipSince is the newest version at which rows that still exist joined or left this part without a change of
	// their own, or left it by one. An update cannot tell a holder of an earlier version about them.
	membershipSince uint64
	version         uint64 // newest version at which a row of this part changed
}

// newForwarding returns the part of a view. Earlier versions are unknown, so all holders of one count as out of date.
func newForwarding(view *View) *forwarding {
	return &forwarding{pools: forwardedPools(view), membershipSince: view.Version(), version: view.Version()}
}

// forwardedPools returns the pools to which a route forwards requests. Requests of a batch route run elsewhere.
func forwardedPools(view *View) map[string]bool {
	pools := map[string]bool{}
	for _, route := range view.OfKind(Route) {
		if route.RouteKind == Batch {
			continue
		}
		for _, share := range route.Pools {
			pools[share.Name] = true
		}
	}
	return pools
}

// covers reports whether a row belongs to the part.
func (f *forwarding) covers(row *Row) bool { return row.Kind != Backend || f.pools[row.Pool] }

// after returns the part after a change of the given rows.
func (f *forwarding) after(changed map[string]map[string]string, before, now *View) *forwarding {
	next := *f
	if changesRoutes(changed, before, now) {
		next.pools = forwardedPools(now)
	}
	if !maps.Equal(next.pools, f.pools) {
		next.membershipSince = now.Version()
	}
	for name := range changed {
		previous, row := before.Row(name), now.Row(name)
		left := previous != nil && f.covers(previous)
		joined := row != nil && next.covers(row)
		if left || joined {
			next.version = now.Version()
		}
		if left && row != nil && !joined {
			next.membershipSince = now.Version()
		}
	}
	return &next
}

// changesRoutes reports whether a change of the given rows concerns a route.
func changesRoutes(changed map[string]map[string]string, before, now *View) bool {
	for name := range changed {
		for _, row := range []*Row{before.Row(name), now.Row(name)} {
			if row != nil && row.Kind == Route {
				return true
			}
		}
	}
	return false
}

// ForwardingUpdateSince returns the update from fromVersion for a process that follows only what it needs to forward
// requests. The update ends at fromVersion if nothing of that has changed since, although the table may be newer. It is
// the whole part if rows have joined or left the part since without being changed or removed.
func (t *Table) ForwardingUpdateSince(fromVersion uint64) *wire.TableUpdate {
	part := t.forwarding
	if fromVersion >= part.version && fromVersion > 0 {
		return &wire.TableUpdate{FromVersion: fromVersion, ToVersion: fromVersion, ForwardingVersion: part.version}
	}
	if fromVersion < part.membershipSince {
		fromVersion = 0
	}
	return t.updateSince(fromVersion, part.covers)
}

package table

import "github.com/tamarindring/tamarindring/internal/wire"

// checkRoute checks that a route has a host, a path prefix and at least one pool, and that its pools exist.
func checkRoute(row *Row, after *View) []*wire.CellRefusal {
	var refusals []*wire.CellRefusal
	refuse := func(column, reason string) {
		refusals = append(refusals, &wire.CellRefusal{Row: row.Name, Column: column, Reason: reason})
	}
	if row.Host == "" {
		refuse(ColumnHost, "a route needs a host")
	}
	if row.PathPrefix == "" {
		refuse(ColumnPathPrefix, "a route needs a path prefix")
	}
	if len(row.Pools) == 0 {
		refuse(ColumnPools, "a route needs a pool")
	}
	for _, part := range row.Pools {
		if pool := after.Row(part.Name); pool == nil || pool.Kind != Pool {
			refuse(ColumnPools, "pool "+part.Name+" does not exist, or is removed while the route names it")
		}
	}
	return refusals
}

// checkRoutes refuses two routes with the same host and path prefix.
func checkRoutes(view *View) []*wire.CellRefusal {
	type routeKey struct{ host, prefix string }
	var refusals []*wire.CellRefusal
	taken := map[routeKey]string{}
	for _, row := range view.OfKind(Route) {
		if row.Host == "" || row.PathPrefix == "" {
			continue
		}
		key := routeKey{row.Host, row.PathPrefix}
		if other, duplicate := taken[key]; duplicate {
			refusals = append(refusals, &wire.CellRefusal{
				Row: row.Name, Column: ColumnPathPrefix, Reason: "route " + other + " has the same host and path prefix",
			})
		}
		taken[key] = row.Name
	}
	return refusals
}

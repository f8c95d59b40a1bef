package table

import "github.com/tamarindring/tamarindring/internal/wire"

// checkRoute judges one route: it names a host, a path prefix, and pools that exist.
func checkRoute(row *Row, rows map[string]*Row) []*wire.CellRefusal {
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
		if pool := rows[part.Name]; pool == nil || pool.Kind != Pool {
			refuse(ColumnPools, "pool "+part.Name+" does not exist, or is removed while the route names it")
		}
	}
	return refusals
}

// checkRoutes refuses two routes of one host and path prefix.
func checkRoutes(view *View) []*wire.CellRefusal {
	type place struct{ host, prefix string }
	var refusals []*wire.CellRefusal
	taken := map[place]string{}
	for _, name := range view.names {
		row := view.rows[name]
		if row.Kind != Route || row.Host == "" || row.PathPrefix == "" {
			continue
		}
		at := place{row.Host, row.PathPrefix}
		if other, twice := taken[at]; twice {
			refusals = append(refusals, &wire.CellRefusal{
				Row: name, Column: ColumnPathPrefix, Reason: "route " + other + " has the same host and path prefix",
			})
		}
		taken[at] = name
	}
	return refusals
}

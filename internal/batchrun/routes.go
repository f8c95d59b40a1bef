package batchrun

import (
	"sync/atomic"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/route"
	"github.com/tamarindring/tamarindring/internal/table"
)

// TableRoutes returns a RouteFunc that matches requests with the table's routes. It caches the routes of the last view
// that it was called with, and is safe for concurrent use.
func TableRoutes() RouteFunc {
	var cached atomic.Pointer[route.Table]
	return func(view *table.View, host, path string) (Route, bool) {
		routes := cached.Load()
		if routes == nil || routes.Version() != view.Version() {
			routes = route.NewTable(view)
			cached.Store(routes)
		}
		matched := routes.Match(host, path)
		if matched == nil {
			return Route{}, false
		}
		found := Route{Pools: make([]schedule.Share, 0, len(matched.Pools))}
		for _, share := range matched.Pools {
			found.Pools = append(found.Pools, schedule.Share{Pool: share.Pool, Weight: share.Weight})
		}
		return found, true
	}
}

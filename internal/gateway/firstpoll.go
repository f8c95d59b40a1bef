package gateway

import (
	"context"
	"time"
)

const (
	// firstPollLimit bounds how long callers wait at the start for the first load reports.
	firstPollLimit = 500 * time.Millisecond
	firstPollPause = 2 * time.Millisecond
)

// awaitFirstPolls waits until every back end was asked for its load once, so that a gateway that starts while
// a back end is leaving sends nothing to it. One that does not answer in time is not waited for. It returns
// false when ctx ends.
func (s *Server) awaitFirstPolls(ctx context.Context) bool {
	limit := time.NewTimer(firstPollLimit)
	defer limit.Stop()
	ticker := time.NewTicker(firstPollPause)
	defer ticker.Stop()
	for s.unasked() {
		select {
		case <-ctx.Done():
			return false
		case <-limit.C:
			return true
		case <-ticker.C:
		}
	}
	return ctx.Err() == nil
}

// unasked tells whether some back end in use was not asked for its load yet.
func (s *Server) unasked() bool {
	for _, p := range s.pools.Load().byName {
		if p.unasked() {
			return true
		}
	}
	return false
}

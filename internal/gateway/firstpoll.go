package gateway

import (
	"context"
	"time"
)

const (
	// firstPollTimeout bounds how long a starting gateway waits for the first load reports before it serves
	// callers.
	firstPollTimeout       = 500 * time.Millisecond
	firstPollCheckInterval = 2 * time.Millisecond
)

// awaitFirstPolls waits until every back end in use was polled for its load once, so that a gateway that starts
// while a back end is leaving sends nothing to it. It stops waiting after firstPollTimeout. It returns false if ctx
// ends.
func (s *Server) awaitFirstPolls(ctx context.Context) bool {
	limit := time.NewTimer(firstPollTimeout)
	defer limit.Stop()
	ticker := time.NewTicker(firstPollCheckInterval)
	defer ticker.Stop()
	for s.hasUnpolledReplica() {
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

// hasUnpolledReplica reports whether some back end in use was not polled for its load yet.
func (s *Server) hasUnpolledReplica() bool {
	for _, p := range s.pools.Load().byName {
		if p.hasUnpolledReplica() {
			return true
		}
	}
	return false
}

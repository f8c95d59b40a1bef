package forward

import (
	"context"
	"time"
)

const (
	// startPollInterval is how often a request that waits for the first lease checks for it.
	startPollInterval = 10 * time.Millisecond
	// startWaitDivisor bounds the wait for the first lease: it lasts at most the time that the caller allows, divided
	// by this.
	startWaitDivisor = 2
)

// AwaitStart makes a request that arrives right after the process start wait for the first lease. It waits at most
// until Config.FirstLeaseWait after the start, and at most patience/startWaitDivisor, where patience is the time that
// the caller allows (0: unknown). A caller that reaches a process that is not ready has usually found no other one,
// because all processes start together after a power loss. AwaitStart never waits once a lease was held: while the
// lease of this process has lapsed, other processes may hold theirs.
func (f *Forwarder) AwaitStart(ctx context.Context, patience time.Duration) {
	if f.hadLease.Load() {
		return
	}
	limit := f.config.FirstLeaseWait
	if patience > 0 {
		limit = min(limit, f.now()+patience/startWaitDivisor)
	}
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	for !f.Ready() {
		if f.now() >= limit || f.hadLease.Load() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

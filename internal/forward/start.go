package forward

import (
	"context"
	"time"
)

const (
	// startPoll is how often a request that waits for the first lease looks for it.
	startPoll = 10 * time.Millisecond
	// startShare is the part of a request's time that it may wait for the first lease, as a divisor.
	startShare = 2
)

// AwaitStart lets a request that came right after this process's start wait for the first lease, until
// Config.StartWait after the start and for a part of patience, the time that its caller gives it (0: not known),
// at most. Whoever reaches a process that is not ready mostly found no other one: after a loss of power all start
// together. Once there was a lease it never waits: while one has lapsed, other processes may hold theirs.
func (f *Forwarder) AwaitStart(ctx context.Context, patience time.Duration) {
	if f.started.Load() {
		return
	}
	until := f.config.StartWait
	if patience > 0 {
		until = min(until, f.now()+patience/startShare)
	}
	ticker := time.NewTicker(startPoll)
	defer ticker.Stop()
	for !f.Ready() {
		if f.now() >= until || f.started.Load() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

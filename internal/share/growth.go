package share

import "time"

const (
	// GrowthTime is how long a holder's share may be expected to grow after work begins to wait. It covers an early
	// renewal of the holder and, if other holders must give back first, renewals of theirs. It equals the fleet's
	// target for a burst at one gateway to get idle slots.
	GrowthTime = 200 * time.Millisecond
	// growthPause is how long a share that did not grow is not expected to grow. It is the duration of a lease, within
	// which the shares of others end.
	growthPause = 1200 * time.Millisecond
)

// Growth predicts whether a holder's share will still grow. Without it, a burst at a gateway with little load would be
// refused by the gateway's small share before the leader learns that work waits there. The zero value expects growth.
type Growth struct {
	amount           int
	grewSinceWaiting bool          // the share has grown since work began to wait
	waitingSince     time.Duration // time when work began to wait, or when the share last grew since
	lastWaiting      time.Duration // time when work last waited
	denied           bool          // growth is not expected any more
	deniedAt         time.Duration // time when denied was set
	everWaited       bool          // work has waited at least once
}

// Observe records the current share and whether work waits for a larger one. It must be called at least every few
// milliseconds while work waits.
func (g *Growth) Observe(now time.Duration, amount int, waiting bool) {
	if g.isNewBurst(now) && waiting {
		g.waitingSince, g.grewSinceWaiting, g.denied, g.everWaited = now, false, false, true
	}
	if amount > g.amount {
		g.waitingSince, g.grewSinceWaiting, g.denied = now, true, false
	}
	g.amount = amount
	if !waiting {
		return
	}
	g.lastWaiting = now
	if !g.denied && now-g.waitingSince >= GrowthTime {
		g.denied, g.deniedAt = true, now
	}
}

// isNewBurst reports whether work that waits now begins a new burst. Work that waits again soon after the share did
// not grow belongs to the same overload: callers that were refused or have left only made space for the next ones.
func (g *Growth) isNewBurst(now time.Duration) bool {
	return !g.everWaited || g.denied && now-g.deniedAt >= growthPause || g.grewSinceWaiting && now > g.lastWaiting+GrowthTime || now-g.lastWaiting >= growthPause
}

// Expected reports whether the share is expected to grow for work that arrives now.
func (g *Growth) Expected(now time.Duration) bool { return !g.denied || g.isNewBurst(now) }

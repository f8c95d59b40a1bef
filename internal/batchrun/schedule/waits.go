package schedule

import (
	"cmp"
	"slices"
	"time"
)

// HoldReason is why an item must not start before a given time.
type HoldReason uint8

// The reasons for holds.
const (
	NotHeld       HoldReason = iota
	HeldRetry                // a run has failed a moment ago
	HeldSuspect              // replicas crashed while running the item
	HeldFormerRun            // the item's run for an ended job is still being stopped
	HeldOversized            // a replica rejected it that it is larger than
	HeldFailing              // several runs in a row were rejected or broke off without an event
)

// WaitReason is why a waiting item does not start.
type WaitReason uint8

// The reasons for waits.
const (
	WaitRetry     WaitReason = iota // see HeldRetry
	WaitSuspect                     // see HeldSuspect
	WaitFormerRun                   // see HeldFormerRun
	WaitOversized                   // see HeldOversized
	WaitFailing                     // see HeldFailing
	WaitRoute                       // the item has no pool, or its pool has no replicas
	WaitReplicas                    // no replica can start it now
	WaitMemory                      // of those that could start it, none has memory for it
	WaitOrder                       // a replica can start it; it was not its turn yet
)

// String returns the name of the reason as used in logs and metrics.
func (r WaitReason) String() string {
	return [...]string{WaitRetry: "retry", WaitSuspect: "suspected", WaitFormerRun: "former_run", WaitOversized: "oversized",
		WaitFailing: "failing", WaitRoute: "no_route", WaitReplicas: "no_replica",
		WaitMemory: "no_memory", WaitOrder: "order"}[r]
}

// Wait describes an item that waits at no replica.
type Wait struct {
	Key
	// Duration is the time since the item was last at a replica, or since its job was opened.
	Duration time.Duration
	Reason   WaitReason
	HeldFor  time.Duration // remaining time of a hold; 0: it is not held
	// The states of its pool's replicas. A replica counts under the first state that keeps it from starting the item.
	Replicas   int
	Full       int
	Paused     int
	OldWeights int // reported to serve too old weights or to be loading others, or tried too recently
	Probing    int // try another item first, after a pause or with old weights
	NoMemory   int
	// Running is the number of runs on the pool's replicas, and Slots the number of their slots.
	Running, Slots int
}

// IdleWaits returns the items that have waited for at least minimum while less than half of their pool's slots are in
// use, or without a pool, at most maximum of them, the longest wait first.
func (s *Scheduler) IdleWaits(now, minimum time.Duration, maximum int) []Wait {
	var long []*item
	idle := map[string]bool{"": true} // an item without a pool
	for name, pool := range s.pools {
		idle[name] = pool.isIdle()
	}
	for _, job := range s.jobs {
		for _, entry := range job.items {
			if entry.state == waiting && now-entry.lastAtReplica >= minimum && idle[entry.poolOf()] {
				long = append(long, entry)
			}
		}
	}
	slices.SortFunc(long, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.lastAtReplica, b.lastAtReplica), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.ID, b.ID))
	})
	var waits []Wait
	for _, entry := range long[:min(len(long), maximum)] {
		waits = append(waits, s.explainWait(entry, now))
	}
	return waits
}

// isIdle reports whether less than half of the slots of the pool's replicas are in use.
func (p *pool) isIdle() bool {
	running, slots := p.occupancy()
	return 2*running < slots
}

// occupancy returns the number of runs on the pool's replicas and of their slots.
func (p *pool) occupancy() (running, slots int) {
	for _, one := range p.replicas {
		running += one.running
		slots += one.Slots
	}
	return running, slots
}

// explainWait determines why a waiting item does not start.
func (s *Scheduler) explainWait(entry *item, now time.Duration) Wait {
	wait := Wait{Key: Key{Job: entry.job.ID, Item: entry.ID}, Duration: now - entry.lastAtReplica}
	pool := s.pools[entry.poolOf()]
	if pool != nil {
		wait.Running, wait.Slots = pool.occupancy()
		for _, candidate := range pool.replicas {
			s.countObstacle(&wait, candidate, entry, now)
		}
	}
	wait.HeldFor = max(entry.notBefore-now, 0)
	blocked := wait.Full + wait.Paused + wait.OldWeights + wait.Probing
	switch {
	case wait.HeldFor > 0:
		wait.Reason = entry.holdReason.wait()
	case wait.Replicas == 0:
		wait.Reason = WaitRoute
	case blocked == wait.Replicas:
		wait.Reason = WaitReplicas
	case blocked+wait.NoMemory == wait.Replicas:
		wait.Reason = WaitMemory
	default:
		wait.Reason = WaitOrder
	}
	return wait
}

// wait returns the reason for a wait that the hold causes.
func (r HoldReason) wait() WaitReason {
	switch r {
	case HeldSuspect:
		return WaitSuspect
	case HeldFormerRun:
		return WaitFormerRun
	case HeldOversized:
		return WaitOversized
	case HeldFailing:
		return WaitFailing
	}
	return WaitRetry
}

// countObstacle counts a replica under the state that keeps it from starting an item, if there is one.
func (s *Scheduler) countObstacle(wait *Wait, candidate *replica, entry *item, now time.Duration) {
	wait.Replicas++
	switch s.obstacleAt(candidate, entry, now) {
	case obstacleFull:
		wait.Full++
	case obstaclePaused:
		wait.Paused++
	case obstacleWeights:
		wait.OldWeights++
	case obstacleProbe:
		wait.Probing++
	case noObstacle:
		if !s.hasMemoryFor(candidate, entry) {
			wait.NoMemory++
		}
	}
}

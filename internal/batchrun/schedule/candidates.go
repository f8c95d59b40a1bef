package schedule

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// placementKey holds everything about an item that determines which replicas may run it and their order. Items with
// equal keys share one set of candidates.
type placementKey struct {
	pool, model   string
	minVersion    uint64
	critical      bool
	suspected     bool
	lastRunFailed bool // see placementRound.canStart
	// paceClass is how fast a replica must be for the item to be in time; see Scheduler.requiredPaceClass.
	paceClass paceClass
}

// placementKeyOf returns the placement key of an item in a pool.
func (s *Scheduler) placementKeyOf(entry *item, pool string, now time.Duration) placementKey {
	return placementKey{pool: pool, model: entry.job.Model, minVersion: entry.job.MinVersion, critical: entry.critical,
		suspected: entry.suspected, lastRunFailed: entry.lastRunFailed(), paceClass: s.requiredPaceClass(entry, s.pools[pool], now)}
}

// placementRound places items at one point in time. Replicas only fill up during a round, so candidates that were
// collected once stay in order, except for those that received an item since.
type placementRound struct {
	scheduler  *Scheduler
	now        time.Duration
	candidates map[placementKey]*candidates
	idle       map[*pool]bool // see isIdle
	lastResort bool           // replicas on probation try items whose last run failed, too
}

// canStart reports whether a replica can start an item now, apart from its memory. An item whose last run failed does not
// take the turn of others at a replica on probation, because a further failure would keep the replica there.
func (r *placementRound) canStart(candidate *replica, entry *item) bool {
	return r.scheduler.canStart(candidate, entry, r.now) && (r.lastResort || !candidate.onProbation || !entry.lastRunFailed())
}

// newPlacementRound starts a placement round at the given time.
func (s *Scheduler) newPlacementRound(now time.Duration) *placementRound {
	return &placementRound{scheduler: s, now: now, candidates: map[placementKey]*candidates{}, idle: map[*pool]bool{}}
}

// candidate is a replica with its load when that was last computed. The load may have grown since.
type candidate struct {
	replica *replica
	load    float64
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.load, other.load), cmp.Compare(c.replica.index, other.replica.index))
}

// candidates are the replicas that may run the items of one placementKey.
type candidates struct {
	byLoad
	// memoryRejected reports that no replica had memory for some item. smallestRejected is the number of tokens of the
	// smallest such item.
	memoryRejected   bool
	smallestRejected uint64
}

// byLoad is a heap of candidates, ordered by load. It implements heap.Interface.
type byLoad []candidate

func (c byLoad) Len() int           { return len(c) }
func (c byLoad) Less(i, j int) bool { return c[i].compare(c[j]) < 0 }
func (c byLoad) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *byLoad) Push(added any) { *c = append(*c, added.(candidate)) }

// Pop implements heap.Interface.
func (c *byLoad) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// place returns the replica on which an item starts, or nil if no replica can run it now.
func (r *placementRound) place(entry *item) *replica {
	name := entry.poolOf()
	pool := r.scheduler.pools[name]
	if name == "" || pool == nil {
		return nil
	}
	if replica := r.reserved(entry, pool); replica != nil {
		return replica
	}
	key := r.scheduler.placementKeyOf(entry, name, r.now)
	best, found := r.findLeastLoaded(entry, pool, key)
	for _, instance := range []string{entry.group.lastInstance, entry.avoidInstance} {
		preferred, fits := r.candidateOn(entry, pool, instance, key)
		if fits && (!found || preferred.compare(best) < 0) {
			best, found = preferred, true
		}
	}
	if !found && r.mustPlaceBySlots(entry, pool, key) {
		return r.leastLoadedBySlots(entry, pool, key)
	}
	return best.replica
}

// memoryPatience is how long an item waits beside idle replicas until its expected memory no longer counts. The memory
// of a replica that always runs something may never suffice for it. The replica itself rejects what it can't hold.
const memoryPatience = 4 * time.Second

// mustPlaceBySlots reports whether an item that no replica has memory for has waited for so long beside idle replicas
// that it is placed by slots alone.
func (r *placementRound) mustPlaceBySlots(entry *item, pool *pool, key placementKey) bool {
	return r.now-entry.lastAtReplica >= memoryPatience && r.candidates[key].memoryRejected && r.isIdle(pool)
}

// isIdle reports whether less than half of the slots of the pool's replicas were in use when that was first asked for in
// this round.
func (r *placementRound) isIdle(pool *pool) bool {
	idle, known := r.idle[pool]
	if !known {
		idle = pool.isIdle()
		r.idle[pool] = idle
	}
	return idle
}

// leastLoadedBySlots returns the replica with the lowest load that can start the item, apart from its memory, or nil.
func (r *placementRound) leastLoadedBySlots(entry *item, pool *pool, key placementKey) *replica {
	var best candidate
	for _, replica := range pool.replicas {
		if !r.canStart(replica, entry) || r.scheduler.hasLargerFor(replica, entry) {
			continue
		}
		possible := candidate{replica: replica, load: r.scheduler.loadWith(replica, pool, key)}
		if best.replica == nil || possible.compare(best) < 0 {
			best = possible
		}
	}
	return best.replica
}

// candidateOn returns a replica that the item prefers or avoids as a candidate, with its load adjusted for that. fits
// is false if the replica can't run the item now.
func (r *placementRound) candidateOn(entry *item, pool *pool, instance string, key placementKey) (found candidate, fits bool) {
	replica := r.scheduler.replicas[instance]
	if instance == "" || replica == nil || replica.draining || r.scheduler.pools[replica.Pool] != pool || !r.canStart(replica, entry) ||
		!r.scheduler.hasMemoryFor(replica, entry) {
		return candidate{}, false
	}
	load := r.scheduler.loadWith(replica, pool, key)
	if instance == entry.group.lastInstance {
		load -= r.scheduler.settings.AffinityBonus
	}
	if instance == entry.avoidInstance && len(pool.replicas) > 1 {
		load += avoidanceLoad
	}
	return candidate{replica: replica, load: load}, true
}

// memoryRetryRatio is how many times smaller than the smallest rejected item another item must be to be tried in the
// same round once no replica had memory. It bounds the cost, because each attempt checks all replicas.
const memoryRetryRatio = 2

// findLeastLoaded returns the candidate with the lowest load, leaving out the replicas that the item prefers or avoids,
// which candidateOn evaluates.
func (r *placementRound) findLeastLoaded(entry *item, pool *pool, key placementKey) (best candidate, found bool) {
	candidates, size := r.candidatesFor(entry, pool, key), entry.Length+entry.Prompt
	if candidates.memoryRejected && memoryRetryRatio*size > candidates.smallestRejected {
		return candidate{}, false
	}
	var skipped []candidate
	memoryRejected := false
	for candidates.Len() > 0 && !found {
		top := candidates.byLoad[0]
		switch load := r.scheduler.loadWith(top.replica, pool, key); {
		case !r.canStart(top.replica, entry):
			heap.Pop(candidates)
		case load != top.load:
			candidates.byLoad[0].load = load
			heap.Fix(candidates, 0)
		case r.scheduler.hasLargerFor(top.replica, entry): // which says nothing about free memory
			skipped = append(skipped, top)
			heap.Pop(candidates)
		case !r.scheduler.hasMemoryFor(top.replica, entry):
			skipped, memoryRejected = append(skipped, top), true
			heap.Pop(candidates)
		case top.replica.Instance == entry.avoidInstance || top.replica.Instance == entry.group.lastInstance:
			skipped = append(skipped, top)
			heap.Pop(candidates)
		default:
			best, found = top, true
		}
	}
	for _, one := range skipped {
		heap.Push(candidates, one)
	}
	if memoryRejected && !found {
		candidates.memoryRejected, candidates.smallestRejected = true, size
	}
	return best, found
}

// candidatesFor returns the candidates of a placement key. They are collected on first use.
func (r *placementRound) candidatesFor(entry *item, pool *pool, key placementKey) *candidates {
	if candidates := r.candidates[key]; candidates != nil {
		return candidates
	}
	candidates := &candidates{}
	for _, replica := range r.scheduler.mayStart(entry, pool, r.now) {
		if r.canStart(replica, entry) {
			candidates.byLoad = append(candidates.byLoad, candidate{replica: replica, load: r.scheduler.loadWith(replica, pool, key)})
		}
	}
	heap.Init(candidates)
	r.candidates[key] = candidates
	return candidates
}

// fasterReplicas are the replicas with free slots that runs can move to, ordered by pace with the fastest first.
type fasterReplicas []*replica

// findFasterReplicas returns the replicas of a pool that have a known pace and a free slot and may run an item like
// this one.
func (s *Scheduler) findFasterReplicas(entry *item, pool *pool, now time.Duration) fasterReplicas {
	var found fasterReplicas
	for _, replica := range pool.replicas {
		known := replica.versions[entry.job.Model]
		usable := replica.pausedUntil <= now && !replica.onProbation && !replica.isTooOldFor(entry.job) && !(s.isFresh(known, now) && known.loading)
		if usable && replica.pace > 0 && replica.hasFreeSlot() {
			found = append(found, replica)
		}
	}
	slices.SortStableFunc(found, func(a, b *replica) int { return cmp.Compare(a.pace, b.pace) })
	return found
}

// firstWithMemory returns the fastest replica for which hasMemory is true, or nil if there is none.
func (f *fasterReplicas) firstWithMemory(hasMemory func(*replica) bool) *replica {
	f.dropFull()
	for _, candidate := range *f {
		if candidate.hasFreeSlot() && hasMemory(candidate) {
			return candidate
		}
	}
	return nil
}

// dropFull removes replicas without a free slot from the front.
func (f *fasterReplicas) dropFull() {
	for len(*f) > 0 && !(*f)[0].hasFreeSlot() {
		*f = (*f)[1:]
	}
}

// hasFreeSlot reports whether one more run can start or move here, counting slots held for moving runs as taken.
func (r *replica) hasFreeSlot() bool { return r.running+r.incomingMoves+r.reservedSlots < r.Slots }

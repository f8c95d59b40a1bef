package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Starts returns the runs to start now and counts them as running. The caller runs each of them, or reports it to Ended
// with the ending Stopped.
func (s *Scheduler) Starts(now time.Duration) []Start {
	if s.waitingOrder == nil {
		s.sortWaiting(now)
	}
	starts, failedWait := s.startWaiting(nil, s.newPlacementRound(now))
	if failedWait {
		lastResort := s.newPlacementRound(now)
		lastResort.lastResort = true
		starts, _ = s.startWaiting(starts, lastResort)
	}
	return starts
}

// startWaiting appends the runs that start in a placement round to starts. A round of last resort places only items whose
// last run failed, since the others have just been tried. failedWait reports that such an item was not placed.
func (s *Scheduler) startWaiting(starts []Start, round *placementRound) (all []Start, failedWait bool) {
	now := round.now
	unplaced := s.waitingOrder[:0]
	for _, entry := range s.waitingOrder {
		var chosen *replica
		if entry.notBefore <= now && (!round.lastResort || entry.lastRunFailed()) {
			entry.markCritical(now)
			chosen = round.place(entry)
			failedWait = failedWait || chosen == nil && entry.lastRunFailed()
		}
		if chosen == nil {
			unplaced = append(unplaced, entry)
			continue
		}
		known := chosen.versions[entry.job.Model]
		expected := s.startRun(entry, chosen, now)
		starts = append(starts, Start{
			Key:      Key{Job: entry.job.ID, Item: entry.ID},
			Instance: chosen.Instance, Address: chosen.Address, Pool: chosen.Pool, Slots: chosen.Slots,
			Urgency: entry.urgency, ExpectedVersion: expected,
			Running: chosen.running, KnownVersion: known.number, KnownAge: now - known.heardAt,
		})
	}
	clear(s.waitingOrder[len(unplaced):])
	s.waitingOrder = unplaced
	return starts, failedWait
}

// sortWaiting sorts the waiting items of all jobs. Items of required groups come first, by latest start, then all
// others, and last the oversized ones. If some items are already late, owners may take turns; see takeTurns.
//
// The order is by item and not by group, because a step ends with its longest answers. These have to start before the
// short ones of their own group take the slots on replicas whose weights the job allows.
func (s *Scheduler) sortWaiting(now time.Duration) {
	s.waitingOrder = []*item{}
	var surplus, oversized []*item
	for _, job := range s.jobs {
		required := job.Desired
		if required <= 0 {
			required = len(job.groups)
		}
		for rank, member := range job.groupsInOrder() {
			member.rank = rank
			if required > 0 {
				s.waitingOrder = member.appendWaiting(s.waitingOrder, urgencyRequired)
			} else {
				surplus = member.appendWaiting(surplus, urgencySurplus)
			}
			if !member.cannotComplete() {
				required--
			}
		}
	}
	s.waitingOrder, oversized = splitOversized(s.waitingOrder, oversized)
	surplus, oversized = splitOversized(surplus, oversized)
	s.sortByLatestStart(s.waitingOrder)
	s.waitingOrder = s.takeTurns(s.waitingOrder, now)
	s.sortByLatestStart(surplus)
	s.sortByLatestStart(oversized)
	s.waitingOrder = slices.Concat(s.waitingOrder, surplus, oversized)
}

// splitOversized removes the oversized items from a list of items, and appends them to those of other lists.
func splitOversized(items, oversized []*item) (others, allOversized []*item) {
	others = items[:0]
	for _, entry := range items {
		if entry.oversized {
			oversized = append(oversized, entry)
		} else {
			others = append(others, entry)
		}
	}
	return others, oversized
}

// criticalMargin is how many times longer than expected an answer is assumed to become. Length estimates are right in
// the median and often off by this factor.
const criticalMargin = 2

// markCritical records whether the item is critical if it starts now. It is critical if its job would be late with an
// answer criticalMargin times as long as expected. Critical items are as urgent as stragglers, so that a replica that
// runs out of memory does not preempt them.
func (e *item) markCritical(now time.Duration) {
	expected := e.job.Deadline - e.latestStart
	e.critical = expected > 0 && e.urgency != urgencySurplus && now+criticalMargin*expected >= e.job.Deadline
	if e.critical {
		e.urgency = urgencyStraggler
	}
}

// sortByLatestStart sorts items by their latest starts. Items of one job with the same latest start are sorted by
// length, the longest first, and then by the rank of their groups.
func (s *Scheduler) sortByLatestStart(items []*item) {
	for _, entry := range items {
		entry.latestStart = entry.job.Deadline - s.expectedDuration(entry)
	}
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(
			cmp.Compare(a.latestStart, b.latestStart),
			cmp.Compare(a.job.Deadline, b.job.Deadline),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(b.Length, a.Length),
			cmp.Compare(a.group.rank, b.group.rank),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// expectedDuration returns how long the rest of an item's answer is expected to take at the pool's usual pace; 0 if
// unknown.
func (s *Scheduler) expectedDuration(entry *item) time.Duration {
	pool := s.pools[entry.poolOf()]
	if pool == nil {
		return 0
	}
	left := max(s.expectedEvents(entry)-float64(entry.earlierEvents), 0)
	return time.Duration(left * pool.pace * float64(time.Second))
}

// expectedEvents returns how many events an item's complete answer is expected to have; 0 if unknown.
func (s *Scheduler) expectedEvents(entry *item) float64 {
	pool := s.pools[entry.poolOf()]
	if pool == nil || pool.meanLength == 0 {
		return 0
	}
	return float64(entry.Length) * pool.meanEvents / pool.meanLength
}

// groupsInOrder returns a job's groups in the order in which they are to be completed.
func (j *job) groupsInOrder() []*group {
	groups := slices.Clone(j.groups)
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Or(
			compareBools(a.cannotComplete(), b.cannotComplete()), // groups that can't complete go last
			compareBools(b.carried, a.carried),                   // groups of an earlier job go first
			compareBools(b.hasStarted(), a.hasStarted()),         // groups that have started go first
			cmp.Compare(b.maxLength(), a.maxLength()),
			cmp.Compare(a.position, b.position),
		)
	})
	return groups
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// cannotComplete reports whether an item of the group is terminated, or is condemned or oversized and not finished.
func (g *group) cannotComplete() bool {
	return slices.ContainsFunc(g.items, func(entry *item) bool {
		return entry.state == terminated || (entry.condemned || entry.oversized) && entry.state != finished
	})
}

// hasStarted reports whether an item of the group is in a state other than waiting.
func (g *group) hasStarted() bool {
	return slices.ContainsFunc(g.items, func(entry *item) bool { return entry.state != waiting })
}

// maxLength returns the expected length of the group's longest answer in tokens.
func (g *group) maxLength() uint64 {
	longest := uint64(0)
	for _, entry := range g.items {
		longest = max(longest, entry.Length)
	}
	return longest
}

// appendWaiting appends the group's waiting items to order and sets their urgency. The waiting items of a required
// group are stragglers once at least half of the group's items are complete.
func (g *group) appendWaiting(order []*item, urgency int) []*item {
	first := len(order)
	done := 0
	for _, entry := range g.items {
		switch entry.state {
		case waiting:
			entry.urgency = urgency
			order = append(order, entry)
		case scoring, finished:
			done++
		}
	}
	added := order[first:]
	if urgency == urgencyRequired && done > 0 && 2*done >= len(g.items) {
		for _, entry := range added {
			entry.urgency = urgencyStraggler
		}
	}
	return order
}

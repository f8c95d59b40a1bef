package schedule

import "time"

// reserve holds capacity on a replica for a run that is to move, until the item starts somewhere or ends permanently.
// Otherwise the first item to be placed would take the slot, and the run that paid for the move would start on the next
// slow replica. In pools whose replicas report no pace, reserve only counts the run in incomingMoves, so that one call
// of PlanMoves does not use the slot twice.
func (s *Scheduler) reserve(entry *item, replica *replica) {
	if !s.poolNamed(replica.Pool).reportsPace {
		replica.incomingMoves++
		return
	}
	s.releaseReservation(entry)
	entry.reservedReplica = replica
	replica.reservedSlots++
	replica.addItem(entry)
}

// releaseReservation returns the capacity reserved for an item.
func (s *Scheduler) releaseReservation(entry *item) {
	if replica := entry.reservedReplica; replica != nil {
		replica.reservedSlots--
		replica.removeItem(entry)
	}
	entry.reservedReplica = nil
}

// reserved returns the replica with a slot reserved for an item, if the item can still start there. Otherwise it
// releases the reservation and returns nil.
func (r *placementRound) reserved(entry *item, pool *pool) *replica {
	replica := entry.reservedReplica
	if replica == nil {
		return nil
	}
	if replica.draining || r.scheduler.pools[replica.Pool] != pool || !r.scheduler.canStartReserved(replica, entry, r.now) {
		r.scheduler.releaseReservation(entry)
		return nil
	}
	return replica
}

// canStartReserved reports whether an item can start now on a replica with a slot reserved for it.
func (s *Scheduler) canStartReserved(replica *replica, entry *item, now time.Duration) bool {
	known := replica.versions[entry.job.Model]
	return replica.running < replica.Slots && replica.pausedUntil <= now && !replica.onProbation && !replica.isTooOldFor(entry.job) && !(s.isFresh(known, now) && known.loading)
}

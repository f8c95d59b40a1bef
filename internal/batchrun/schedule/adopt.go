package schedule

import (
	"slices"
	"time"
)

// Adopt counts a waiting item as running on the replica where an earlier leader started it, and returns the run as
// Starts would have. It returns false if the item is not waiting or the replica is unknown.
func (s *Scheduler) Adopt(key Key, instance string, now time.Duration) (Start, bool) {
	entry, replica := s.find(key), s.replicas[instance]
	if entry == nil || entry.state != waiting || replica == nil {
		return Start{}, false
	}
	if s.waitingOrder == nil {
		s.sortWaiting(now)
	}
	s.waitingOrder = slices.DeleteFunc(s.waitingOrder, func(one *item) bool { return one == entry })
	entry.markCritical(now)
	s.startRun(entry, replica, now)
	return Start{
		Key: key, Instance: replica.Instance, Address: replica.Address, Pool: replica.Pool, Slots: replica.Slots, Urgency: entry.urgency, Running: replica.running,
	}, true
}

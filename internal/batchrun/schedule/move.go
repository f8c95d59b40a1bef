package schedule

import "time"

// Slow returns runs of groups that are waited for which would go on much faster elsewhere, at most as many as
// there is room for that no waiting item could take. They are to be stopped and reported with Ended as Moved; until then they count as running.
func (s *Scheduler) Slow(now time.Duration) []Key {
	for _, at := range s.replicas {
		at.coming = 0
	}
	var moved []Key
	for _, id := range s.Jobs() {
		for _, member := range s.jobs[id].groups {
			for _, entry := range member.items {
				if entry.state == running && !entry.moving && s.faster(entry, now) {
					entry.moving = true
					moved = append(moved, Key{Job: id, Item: entry.ID})
				}
			}
		}
	}
	return moved
}

// faster reports whether another replica with room would be much faster, and takes the room.
func (s *Scheduler) faster(entry *item, now time.Duration) bool {
	at := s.replicas[entry.run.instance]
	if at == nil || entry.urgency == urgencySurplus || entry.run.events == 0 || now < entry.run.started+s.settings.MovePause {
		return false
	}
	for _, candidate := range s.poolNamed(at.Pool).replicas {
		room := candidate.running+candidate.coming < candidate.Slots
		usable := candidate.pausedTo <= now && !candidate.probation && !candidate.tooOld(entry.job)
		known := candidate.versions[entry.job.Model]
		if room && usable && !(known.fresh(now) && known.loading) && candidate.pace > 0 && at.pace > s.settings.MoveRatio*candidate.pace {
			candidate.coming++
			return true
		}
	}
	return false
}

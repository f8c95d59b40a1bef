package schedule

import "time"

// Slow returns runs of groups that are waited for which would go on much faster elsewhere, at most as many as
// there is room for that no waiting item could take. They are to be stopped and reported with Ended as Moved; until then
// they count as running.
func (s *Scheduler) Slow(now time.Duration) []Key {
	for _, at := range s.replicas {
		at.coming = 0
	}
	rooms := map[demand]*faster{}
	var moved []Key
	for _, id := range s.Jobs() {
		for _, member := range s.jobs[id].groups {
			for _, entry := range member.items {
				if entry.state == running && !entry.moving && s.isMoved(entry, rooms, now) {
					entry.moving = true
					moved = append(moved, Key{Job: id, Item: entry.ID})
				}
			}
		}
	}
	return moved
}

// isMoved reports whether another replica with room would be much faster, and takes the room.
func (s *Scheduler) isMoved(entry *item, rooms map[demand]*faster, now time.Duration) bool {
	at := s.replicas[entry.run.instance]
	if at == nil || entry.urgency == urgencySurplus || entry.run.events == 0 || now < entry.run.started+s.settings.MovePause {
		return false
	}
	of := s.poolNamed(at.Pool)
	if at.pace <= s.settings.MoveRatio*of.fastest() {
		return false // nowhere, whoever has room
	}
	wanted := entry.demand(at.Pool)
	if rooms[wanted] == nil {
		found := s.fasterFor(entry, of, now)
		rooms[wanted] = &found
	}
	return rooms[wanted].take(at.pace, s.settings.MoveRatio)
}

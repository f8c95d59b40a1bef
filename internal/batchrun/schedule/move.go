package schedule

import (
	"math"
	"time"
)

// Slow returns runs of groups that are waited for which would go on much faster elsewhere, or whose replica leaves before
// they are over, at most as many as there is room for that no waiting item could take. They are to be stopped and reported
// with Ended as Moved; until then they count as running.
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
	if at.gone {
		return s.remaining(entry) >= s.settings.LeavingTime && s.roomFor(entry, of, rooms, now).takeAny(at.pace, s.settings.MoveRatio)
	}
	if at.pace <= s.settings.MoveRatio*of.fastest() {
		return false // nowhere, whoever has room
	}
	gain := time.Duration(float64(s.remaining(entry)) * (1 - of.fastest()/at.pace))
	return gain >= s.settings.MoveGain && s.roomFor(entry, of, rooms, now).take(at.pace, s.settings.MoveRatio)
}

// roomFor returns the replicas with room for runs like this one, collecting them when they are asked for first.
func (s *Scheduler) roomFor(entry *item, of *pool, rooms map[demand]*faster, now time.Duration) *faster {
	wanted := entry.demand(s.replicas[entry.run.instance].Pool)
	if rooms[wanted] == nil {
		found := s.fasterFor(entry, of, now)
		rooms[wanted] = &found
	}
	return rooms[wanted]
}

// overrunShare is how much of what an answer has brought is expected to follow at least: estimates are often far off, and
// the lengths of answers have long tails.
const overrunShare = 0.25

// remaining is how long a run is expected to go on at its replica; as long as any while no whole answer was seen.
func (s *Scheduler) remaining(entry *item) time.Duration {
	at, expected := s.replicas[entry.run.instance], s.expectedEvents(entry)
	if expected == 0 {
		return math.MaxInt64
	}
	brought := float64(entry.brought + entry.run.events)
	left := max(expected-brought, overrunShare*brought)
	return time.Duration(left * at.pace * float64(time.Second))
}

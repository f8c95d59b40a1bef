package compat

import "time"

// SettlingTime is how long all present processes must have spoken a level before it comes into force. A replaced
// machine that turns out to be faulty within this time can return to the previous build without a loss. The time
// covers a process that is restarted at once, including the silence after which it counts as gone.
const SettlingTime = 15 * time.Second

// Process is a process that must speak a level before it can come into force: a member, or a node that holds
// replicated state.
type Process struct {
	Name   string
	Speaks Level // Base if the process has not reported one
}

// Highest returns the highest level that all processes speak, and one process that speaks no higher level. Without
// processes it returns Base and a zero Process.
func Highest(present []Process) (Level, Process) {
	var lowest Process
	for position, process := range present {
		if position == 0 || process.Speaks < lowest.Speaks {
			lowest = process
		}
	}
	return lowest.Speaks, lowest
}

// Settling decides on the leader when the group's level may rise. The zero value is ready for use; a new leader
// starts with it. It is not safe for concurrent use.
type Settling struct {
	level Level
	since time.Duration
}

// Update updates the decision with the level in force and the present processes, and returns the level to propose, or
// false if there is none. now is on a monotonic clock. fresh means that the group holds no state yet: there is no
// earlier build to return to, so a level comes into force at once.
func (s *Settling) Update(now time.Duration, agreed Level, present []Process, fresh bool) (Level, bool) {
	highest, _ := Highest(present)
	if highest != s.level {
		s.level, s.since = highest, now
	}
	if highest <= agreed {
		return agreed, false
	}
	return highest, fresh || now-s.since >= SettlingTime
}

package sim

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/state"
)

const (
	// slowRestartLength is how long disks stay slow. It covers 6 s until all machines run again and three of the
	// longest waits of an election, 8 s each.
	slowRestartLength = 30 * time.Second
	// leaderPollInterval is how often the fleet is checked for a leader during that time.
	leaderPollInterval = 200 * time.Millisecond
)

// slowRestart makes all control machines lose power, and makes every disk slow while they restart and elect a leader.
// An election must succeed although each of its votes waits for syncs; with fast disks a fault in this would not
// show. It returns false while another slow restart lasts, or if it would outlast the load.
func (f *fleet) slowRestart() bool {
	if f.world.now < f.slowRestartEnd || f.world.now+slowRestartLength > f.loadEnd {
		return false
	}
	f.slowRestartEnd = f.world.now + slowRestartLength
	f.slowSyncTime = f.world.randomDuration(100*time.Millisecond, 700*time.Millisecond)
	f.slowLeaderSeen = false
	for _, h := range f.hosts {
		f.kill(h.process)
		h.disk.extraSyncTime = f.slowSyncTime
	}
	f.world.after(leaderPollInterval, f.pollForLeader)
	return true
}

// pollForLeader records whether the control group gets a leader while disks are slow. At the end of that time it
// examines the result and makes the disks fast again.
func (f *fleet) pollForLeader() {
	for _, h := range f.hosts {
		h.disk.extraSyncTime = f.slowSyncTime // including the disks of machines that were added meanwhile
		f.slowLeaderSeen = f.slowLeaderSeen || h.up && h.groups[state.ControlGroup].node.Status().Role == raft.Leader
	}
	if f.world.now < f.slowRestartEnd {
		f.world.after(leaderPollInterval, f.pollForLeader)
		return
	}
	f.world.truth.examine(recovers, f.slowLeaderSeen, "no control node led for %v on disks whose syncs take up to %v", slowRestartLength, f.slowSyncTime)
	for _, h := range f.hosts {
		h.disk.extraSyncTime = 0
	}
}

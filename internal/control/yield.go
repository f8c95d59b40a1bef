package control

import (
	"context"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/raft"
)

const (
	// transferInterval is how often a node checks whether another node should lead a group that it leads.
	transferInterval = 100 * time.Millisecond
	// transferCooldown is how long a node that is not a standby keeps a group that came back after a transfer. The
	// other node knows no better leader, and each change delays the group's running work by about 0.4 s.
	transferCooldown = 5 * time.Second
)

// leadershipTransfer transfers leaderships to better suited nodes while this node runs. Only its own loop uses it.
type leadershipTransfer struct {
	server             *Server
	leaderUnknownSince time.Duration            // since when no leader of the control group is known; 0 while one is known
	transferredAt      map[uint32]time.Duration // time of the last transfer, by group
}

// transferLeaderships checks the groups that this node leads at regular intervals until ctx ends.
func (s *Server) transferLeaderships(ctx context.Context) {
	y := &leadershipTransfer{server: s, transferredAt: map[uint32]time.Duration{}}
	pause.Every(ctx, transferInterval, y.checkGroups)
}

func (y *leadershipTransfer) checkGroups(ctx context.Context) {
	controlLeader := y.server.states[controlGroup].leader().Leader
	now := max(y.server.config.Clock(), 1)
	switch {
	case controlLeader != raft.None:
		y.leaderUnknownSince = 0
	case y.leaderUnknownSince == 0:
		y.leaderUnknownSince = now
	}
	stuck := y.stuckWrite(ctx)
	for _, group := range y.server.groups() {
		if y.server.states[group].leader().Leading && !y.recentlyTransferred(group, now) {
			y.transferGroup(ctx, &successionInput{group: group, controlLeader: controlLeader, leaderUnknownFor: y.leaderUnknownFor(now), votersAhead: stuck.Ahead}, stuck.Lasts)
		}
	}
}

// stuckWrite returns a disk write that has lasted for at least half a lease, or the zero value if there is none or this
// node leads no group. If a transfer started later, leases that wait for the write would expire before the next leader
// could renew them.
func (y *leadershipTransfer) stuckWrite(ctx context.Context) consensus.StuckWrite {
	if !y.server.leadsAny() {
		return consensus.StuckWrite{}
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	stuck, err := y.server.replicas.StuckWrite(ctx)
	if err != nil || stuck.Lasts < y.server.settings.Lease/2 {
		return consensus.StuckWrite{} // a loop that does not answer is stopping
	}
	return stuck
}

// leadsAny reports whether this node leads any group.
func (s *Server) leadsAny() bool {
	return slices.ContainsFunc(s.groups(), func(group uint32) bool { return s.states[group].leader().Leading })
}

func (y *leadershipTransfer) leaderUnknownFor(now time.Duration) time.Duration {
	if y.leaderUnknownSince == 0 {
		return 0
	}
	return now - y.leaderUnknownSince
}

// recentlyTransferred reports whether the group was transferred within transferCooldown. It is always false on a
// standby.
func (y *leadershipTransfer) recentlyTransferred(group uint32, now time.Duration) bool {
	last, transferredAt := y.transferredAt[group]
	return transferredAt && now < last+transferCooldown && !y.server.config.Standby
}

// transferGroup transfers a group to its successor, if there is one. writing is the duration of the stuck write that
// causes the transfer, or 0.
func (y *leadershipTransfer) transferGroup(ctx context.Context, of *successionInput, writing time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	status, err := y.server.replicas.Status(ctx, of.group)
	if err != nil || status.Leader != status.ID {
		return
	}
	of.self, of.voters = status.ID, status.Match
	successor := of.successor()
	if successor == raft.None {
		return
	}
	y.transferredAt[of.group] = max(y.server.config.Clock(), 1)
	if len(of.votersAhead) > 0 {
		err = y.server.replicas.HandOver(ctx, of.group, successor)
	} else {
		err = y.server.replicas.TransferLeadership(ctx, of.group, successor)
	}
	logging.Emit(y.server.log, &events.LeadershipYielded{Group: of.group, Successor: successor, AloneMs: events.Millis(of.leaderUnknownFor),
		WritingMs: events.Millis(writing), ControlLeader: of.controlLeader, Cause: events.ErrorText(err)})
}

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
	leaderUnknownSince time.Duration            // since when no leader of the control group is known; 0 if one is
	transferredAt      map[uint32]time.Duration // time of the last transfer, by group
}

// transferLeaderships checks the groups that this node leads at regular intervals until ctx ends.
func (s *Server) transferLeaderships(ctx context.Context) {
	l := &leadershipTransfer{server: s, transferredAt: map[uint32]time.Duration{}}
	pause.Every(ctx, transferInterval, l.checkGroups)
}

func (l *leadershipTransfer) checkGroups(ctx context.Context) {
	controlLeader := l.server.states[controlGroup].leader().Leader
	now := max(l.server.config.Clock(), 1)
	switch {
	case controlLeader != raft.None:
		l.leaderUnknownSince = 0
	case l.leaderUnknownSince == 0:
		l.leaderUnknownSince = now
	}
	stuck := l.stuckWrite(ctx)
	for _, group := range l.server.groups() {
		if l.server.states[group].leader().Leading && !l.recentlyTransferred(group, now) {
			l.transferGroup(ctx, &successionInput{group: group, controlLeader: controlLeader, leaderUnknownFor: l.leaderUnknownFor(now),
				sessions: l.server.sessions.count(), votersAhead: stuck.Ahead}, stuck.Duration)
		}
	}
}

// stuckWrite returns a disk write that has lasted for at least half a lease, or the zero value if there is none or this
// node leads no group. If a transfer started later, leases that wait for the write would expire before the next leader
// could renew them.
func (l *leadershipTransfer) stuckWrite(ctx context.Context) consensus.StuckWrite {
	if !l.server.leadsAny() {
		return consensus.StuckWrite{}
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	stuck, err := l.server.replicas.StuckWrite(ctx)
	if err != nil || stuck.Duration < l.server.settings.Lease/2 {
		return consensus.StuckWrite{} // a loop that does not answer is stopping
	}
	return stuck
}

// leadsAny reports whether this node leads any group.
func (s *Server) leadsAny() bool {
	return slices.ContainsFunc(s.groups(), func(group uint32) bool { return s.states[group].leader().Leading })
}

func (l *leadershipTransfer) leaderUnknownFor(now time.Duration) time.Duration {
	if l.leaderUnknownSince == 0 {
		return 0
	}
	return now - l.leaderUnknownSince
}

// recentlyTransferred reports whether the group was transferred within transferCooldown. It is always false on a
// standby.
func (l *leadershipTransfer) recentlyTransferred(group uint32, now time.Duration) bool {
	last, transferred := l.transferredAt[group]
	return transferred && now < last+transferCooldown && !l.server.config.Standby
}

// transferGroup transfers a group to its successor, if there is one. writing is the duration of the stuck write that
// causes the transfer, or 0.
func (l *leadershipTransfer) transferGroup(ctx context.Context, input *successionInput, writing time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	status, err := l.server.replicas.Status(ctx, input.group)
	if err != nil || status.Leader != status.ID {
		return
	}
	input.self, input.voters = status.ID, status.Match
	successor := input.successor()
	if successor == raft.None {
		return
	}
	l.transferredAt[input.group] = max(l.server.config.Clock(), 1)
	if len(input.votersAhead) > 0 {
		err = l.server.replicas.ForceTransfer(ctx, input.group, successor)
	} else {
		err = l.server.replicas.TransferLeadership(ctx, input.group, successor)
	}
	logging.Emit(l.server.log, &events.LeadershipYielded{Group: input.group, Successor: successor, AloneMs: events.Millis(input.leaderUnknownFor),
		WritingMs: events.Millis(writing), ControlLeader: input.controlLeader, Cause: events.ErrorText(err)})
}

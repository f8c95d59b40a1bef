package control

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// leaderUnknownLimit is how long the leader of a ledger group must know no leader of the control group before it
// transfers its leadership. After this time an election is over, and most of a lease of 1.2 s has passed.
const leaderUnknownLimit = 700 * time.Millisecond

// separateSessions is the number of sessions from which on the leader of the control group leads no ledger group. With so
// many, granting leases takes a good part of a processor.
const separateSessions = 500

// successionInput is the state that decides whether the leader of a group transfers the leadership, and to which voter.
type successionInput struct {
	group            uint32
	self             uint64
	controlLeader    uint64        // raft.None if no leader is known on this node
	leaderUnknownFor time.Duration // how long no leader of the control group has been known
	sessions         int           // lease holders with a session on this node
	votersAhead      []uint64      // voters that have stored a write that is stuck on this node's disk
	voters           []raft.Progress
}

// successor returns the voter that should lead in place of this node, or raft.None if this node should keep leading.
//
// A standby transfers its groups to other voters, preferably to the leader of the control group. A node that knows no
// leader of the control group has no lease and starts no work. If a network partition leaves a leader on each side,
// both with a majority because of the standbys, the leader of a ledger group on the side without the control group's
// leader could start nothing; this lasted for an entire partition of 5 s. Such a leader transfers its group to a
// standby that both sides reach, which in turn transfers it to the leader of the control group.
//
// A node whose disk does not complete writes keeps its followers through heartbeats, but commits nothing of its own,
// and entries that the others commit without it are not applied here. Reads wait, leases expire and nothing is served
// until it steps down. It transfers its groups to a voter that has shown that its own disk works.
//
// The leader of the control group in a large fleet transfers ledger groups to other control nodes: the work of batch jobs
// would delay its grants until leases expire.
func (t *successionInput) successor() uint64 {
	switch {
	case len(t.votersAhead) > 0:
		return t.best(func(voter uint64) int {
			switch {
			case !slices.Contains(t.votersAhead, voter):
				return unsuitable
			case isStandby(voter):
				return 0
			}
			return 1
		})
	case isStandby(t.self):
		return t.best(func(voter uint64) int {
			switch {
			case isStandby(voter):
				return unsuitable
			case voter == t.controlLeader:
				return 1
			}
			return 0
		})
	case t.group != controlGroup && t.controlLeader == raft.None && t.leaderUnknownFor >= leaderUnknownLimit:
		return t.best(func(voter uint64) int {
			if isStandby(voter) {
				return 1
			}
			return 0
		})
	case t.group != controlGroup && t.controlLeader == t.self && t.sessions >= separateSessions:
		return t.best(func(voter uint64) int {
			if isStandby(voter) {
				return unsuitable
			}
			return 0
		})
	}
	return raft.None
}

// mayReplaceVoters reports whether the leader of a group may replace voters that it does not hear. The leader of a
// ledger group that knows no leader of the control group is probably cut off itself. It would replace the voter that
// leads the control group, and until the partition ended no voter of the ledger group would have a lease.
func mayReplaceVoters(group uint32, controlLeader uint64) bool {
	return group == controlGroup || controlLeader != raft.None
}

// unsuitable is the rank of a voter that must not lead.
const unsuitable = -1

// best returns the voter with the highest rank among the other voters heard recently. Among equal ranks it prefers the
// one with the most log entries. It returns raft.None if there is none.
func (t *successionInput) best(rank func(voter uint64) int) uint64 {
	chosen, highest := raft.Progress{}, unsuitable
	for _, candidate := range t.voters {
		if candidate.Node == t.self || candidate.Learner || !candidate.RecentActive {
			continue
		}
		rated := rank(candidate.Node)
		if rated > highest || rated == highest && rated != unsuitable && candidate.Match > chosen.Match {
			chosen, highest = candidate, rated
		}
	}
	return chosen.Node
}

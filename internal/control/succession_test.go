package control

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/raft"
)

// TestSuccessor checks which voter a leader transfers its group to.
func TestSuccessor(t *testing.T) {
	const self, first, second uint64 = 1, 2, 3
	standby, otherStandby := newIdentity(true), newIdentity(true)
	heard := func(node, match uint64) raft.Progress {
		return raft.Progress{Node: node, Match: match, RecentActive: true}
	}
	for name, test := range map[string]struct {
		of   successionInput
		want uint64
	}{
		"a leader that knows the control leader keeps leading": {
			successionInput{group: 1, self: self, controlLeader: first, voters: []raft.Progress{heard(first, 9), heard(standby, 9)}}, raft.None},
		"the control group's leader keeps leading": {
			successionInput{group: controlGroup, self: self, leaderUnknownFor: time.Hour, voters: []raft.Progress{heard(first, 9), heard(standby, 9)}}, raft.None},
		"a leader waits for an election of the control group": {
			successionInput{group: 1, self: self, leaderUnknownFor: leaderUnknownLimit - 1, voters: []raft.Progress{heard(standby, 9)}}, raft.None},
		"without a control leader, the most advanced standby is next": {
			successionInput{group: 1, self: self, leaderUnknownFor: leaderUnknownLimit, voters: []raft.Progress{heard(first, 9), heard(standby, 5), heard(otherStandby, 6)}}, otherStandby},
		"without a control leader and standbys, the most advanced voter is next": {
			successionInput{group: 1, self: self, leaderUnknownFor: leaderUnknownLimit, voters: []raft.Progress{heard(first, 8), heard(second, 9)}}, second},
		"silent voters and learners are never next": {
			successionInput{group: 1, self: self, leaderUnknownFor: leaderUnknownLimit, voters: []raft.Progress{{Node: standby, Match: 9},
				{Node: first, Match: 9, RecentActive: true, Learner: true}}}, raft.None},
		"a standby prefers the control group's leader": {
			successionInput{group: 1, self: standby, controlLeader: first, voters: []raft.Progress{heard(first, 4), heard(second, 9), heard(otherStandby, 9)}}, first},
		"a standby otherwise prefers the most advanced voter": {
			successionInput{group: 1, self: standby, controlLeader: first, voters: []raft.Progress{{Node: first, Match: 9}, heard(second, 4), heard(self, 5)}}, self},
		"a standby transfers the control group as well": {
			successionInput{group: controlGroup, self: standby, controlLeader: standby, voters: []raft.Progress{heard(second, 4)}}, second},
		"a leader with a stuck disk transfers to a voter whose disk works": {
			successionInput{group: controlGroup, self: self, votersAhead: []uint64{second, standby}, voters: []raft.Progress{heard(first, 9), heard(second, 8), heard(standby, 9)}}, second},
		"a leader with a stuck disk transfers to a standby if only its disk works": {
			successionInput{group: 1, self: self, votersAhead: []uint64{standby}, voters: []raft.Progress{heard(first, 9), heard(standby, 9)}}, standby},
		"a leader with a stuck disk does not transfer to a silent voter": {
			successionInput{group: 1, self: self, votersAhead: []uint64{second}, voters: []raft.Progress{heard(first, 9), {Node: second, Match: 9}}}, raft.None},
		"the control group's leader with many sessions leads no ledger group": {
			successionInput{group: 1, self: self, controlLeader: self, sessions: separateSessions, voters: []raft.Progress{heard(first, 9), heard(standby, 9)}}, first},
		"the control group's leader with few sessions may lead ledger groups": {
			successionInput{group: 1, self: self, controlLeader: self, sessions: separateSessions - 1, voters: []raft.Progress{heard(first, 9)}}, raft.None},
		"the control group's leader with many sessions keeps the control group": {
			successionInput{group: controlGroup, self: self, controlLeader: self, sessions: separateSessions, voters: []raft.Progress{heard(first, 9)}}, raft.None},
		"the control group's leader with many sessions keeps ledger groups if there are only standbys": {
			successionInput{group: 1, self: self, controlLeader: self, sessions: separateSessions, voters: []raft.Progress{heard(standby, 9)}}, raft.None},
		"a standby keeps leading if all other voters are standbys": {
			successionInput{group: 1, self: standby, controlLeader: standby, voters: []raft.Progress{heard(otherStandby, 9)}}, raft.None},
	} {
		if got := test.of.successor(); got != test.want {
			t.Errorf("%s: got successor %d, want %d", name, got, test.want)
		}
	}
}

// TestMayReplaceVoters guards against a ledger group's leader that is cut off itself and replaces the voters of the
// majority.
func TestMayReplaceVoters(t *testing.T) {
	const leader uint64 = 2
	for name, test := range map[string]struct {
		group         uint32
		controlLeader uint64
		want          bool
	}{
		"the control group's leader":                            {controlGroup, leader, true},
		"the control group's leader, not yet known":             {controlGroup, raft.None, true},
		"a ledger group's leader that knows the control leader": {1, leader, true},
		"a ledger group's leader that knows no control leader":  {1, raft.None, false},
	} {
		if got := mayReplaceVoters(test.group, test.controlLeader); got != test.want {
			t.Errorf("%s: got mayReplaceVoters %t, want the opposite", name, got)
		}
	}
}

// links has a gate for each pair of founders, to cut the connections between them.
type links struct {
	mutex sync.Mutex
	seeds func() []string
	gates map[[2]int]*gate
}

func (l *links) between(a, b int) *gate {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := [2]int{min(a, b), max(a, b)}
	if l.gates[key] == nil {
		l.gates[key] = newGate()
	}
	return l.gates[key]
}

// dial returns the dial function of the node at a position. It reaches other founders through the gate between the two.
func (l *links) dial(position int) controlclient.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for other, seed := range l.seeds() {
			if seed == address && position < 3 && other != position {
				return l.between(position, other).dial(ctx, network, address)
			}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
}

// TestPartitionedLedgerGroupMovesToControlLeader cuts the leader of the control group off from the other founders, one
// of which leads the ledger group. Both leaders keep a majority through the standbys. The ledger group must move to the
// leader of the control group and stay there.
func TestPartitionedLedgerGroupMovesToControlLeader(t *testing.T) {
	network := &links{gates: map[[2]int]*gate{}}
	c := &seededCluster{losses: 2, standbys: []int{3, 4, 5}, dial: network.dial}
	network.seeds = func() []string { return c.seeds }
	startSeededWith(t, c)
	for _, position := range c.standbys {
		c.open(position, listen(t, "127.0.0.1:0"), true)
	}
	c.awaitVoterCount(5)
	leads := func(group uint32) int {
		for position, server := range c.servers {
			if server.states[group].leader().Leading {
				return position
			}
		}
		return -1
	}
	var control, ledger int
	eventually(t, "two different founders to lead the groups", func() bool {
		control, ledger = leads(0), leads(1)
		if control >= 0 && ledger >= 0 && control == ledger {
			_ = c.servers[ledger].replicas.TransferLeadership(testContext(t), 1, c.servers[(ledger+1)%3].config.NodeID)
		}
		return control >= 0 && ledger >= 0 && control < 3 && ledger < 3 && control != ledger
	})
	for other := range 3 {
		if other != control {
			network.between(control, other).cut()
			defer network.between(control, other).heal()
		}
	}
	eventually(t, "one founder to lead both groups", func() bool { return leads(0) >= 0 && leads(0) == leads(1) && leads(0) < 3 })
	if leads(0) != control {
		t.Logf("the control group is now led by node %d, before the partition by node %d", leads(0), control)
	}
}

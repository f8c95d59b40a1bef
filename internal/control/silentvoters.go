package control

import (
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/member"
)

const (
	// silentVoterLogDelay is how long a voter must be silent before its leader logs it. It exceeds voterSilenceLimit by
	// one second, so that a voter that is replaced without delay is not logged.
	silentVoterLogDelay = voterSilenceLimit + time.Second
	// silentVoterLogInterval is the minimum interval between two such log lines of a group.
	silentVoterLogInterval = 5 * time.Second
)

// silentVoters reports the voters that group leaders on this node do not hear, in logs and metrics. It makes no
// decisions. The entries of a group are used only by the group's keeper, except for counts.
type silentVoters struct {
	server       *Server
	loggedAt     []time.Duration // by group; 0 if never logged
	leadingSince []time.Duration // by group, time of the first check as the leader; 0 while not leading
	counts       []atomic.Int64  // by group, for the metric; notLeading while this node does not lead
	failures     []error         // result of the last attempted change, by group
	lateChecks   []int           // by group, number of checks so late that only part of the silence counted
}

func newSilentVoters(server *Server) *silentVoters {
	groups := server.config.LedgerGroups + 1
	created := &silentVoters{server: server, loggedAt: make([]time.Duration, groups), leadingSince: make([]time.Duration, groups),
		counts: make([]atomic.Int64, groups), failures: make([]error, groups), lateChecks: make([]int, groups)}
	for group := range created.counts {
		created.counts[group].Store(notLeading)
	}
	return created
}

// notLeading replaces the number of silent voters of a group that this node does not lead.
const notLeading = -1

// stopLeading records that this node does not lead a group.
func (s *silentVoters) stopLeading(group uint32) {
	s.leadingSince[group] = 0
	s.counts[group].Store(notLeading)
}

// countLateCheck counts a check that was so late that only part of the time before it counts as silence.
func (s *silentVoters) countLateCheck(group uint32) { s.lateChecks[group]++ }

// recordChangeResult records the result of a membership change of a group.
func (s *silentVoters) recordChangeResult(group uint32, err error) { s.failures[group] = err }

// logSilent updates the metric of silent voters of a group that this node leads, and logs them at most once per
// silentVoterLogInterval.
func (s *silentVoters) logSilent(group uint32, now time.Duration, observed member.Group, change member.GroupChange) {
	if s.leadingSince[group] == 0 {
		s.leadingSince[group] = now
	}
	silent := s.findSilent(observed.Voters, now-s.leadingSince[group])
	s.counts[group].Store(int64(len(silent)))
	if len(silent) == 0 || s.loggedAt[group] != 0 && now-s.loggedAt[group] < silentVoterLogInterval {
		return
	}
	s.loggedAt[group] = now
	logging.Emit(s.server.log, &events.VotersSilent{
		Group: group, Voters: len(observed.Voters), Heard: len(observed.Voters) - len(silent), Silent: silent,
		Learners: s.describe(observed.Learners), Candidates: s.describe(observed.Candidates), LateLooks: s.lateChecks[group],
		Change: changeName(change.Kind), Node: change.Node,
		Cause: whyNoChange(observed, change, s.server.config.Voters, s.failures[group]),
	})
}

// findSilent returns the voters that were silent for silentVoterLogDelay. It uses the time since their last message,
// whereas the silence that decides about a change excludes pauses of this node. It returns none until this node has led
// the group for that long, since voters need not send anything to a node that does not lead.
func (s *silentVoters) findSilent(voters []member.GroupNode, leading time.Duration) []events.SilentVoter {
	if leading < silentVoterLogDelay {
		return nil
	}
	var silent []member.GroupNode
	for _, voter := range voters {
		if !voter.IsLeader && s.server.replicas.SinceLastHeard(voter.ID) >= silentVoterLogDelay {
			silent = append(silent, voter)
		}
	}
	return s.describe(silent)
}

func (s *silentVoters) describe(nodes []member.GroupNode) []events.SilentVoter {
	var described []events.SilentVoter
	for _, node := range nodes {
		described = append(described, events.SilentVoter{ID: node.ID, Address: node.Address, Standby: node.Standby,
			SilentMs: events.Millis(s.server.replicas.SinceLastHeard(node.ID)), CountedMs: events.Millis(node.Silence), Leaving: node.Leaving})
	}
	return described
}

// changeName returns the name of a membership change in events, or "" for no change.
func changeName(kind member.GroupChangeKind) string {
	switch kind {
	case member.AddLearner:
		return "learner_added"
	case member.PromoteLearner:
		return "promoted"
	case member.RemoveNode:
		return "removed"
	}
	return ""
}

// whyNoChange explains in an event why a group still has silent voters.
func whyNoChange(observed member.Group, change member.GroupChange, size int, failure error) string {
	longest := time.Duration(0)
	for _, voter := range observed.Voters {
		longest = max(longest, voter.Silence)
	}
	switch {
	case change.Kind != member.NoGroupChange && failure != nil:
		return "the last change failed: " + events.ErrorText(failure)
	case change.Kind != member.NoGroupChange:
		return "the change is under way"
	case len(observed.Voters) > size:
		return "one voter too many, and none that may go"
	case len(observed.Candidates) == 0:
		return "no node asks to carry the group"
	case allMembers(observed):
		return "only nodes of the group ask to carry it"
	case longest < voterSilenceLimit:
		return "the silence that counts is too short: of the time before a late look only a part does"
	}
	return "no candidate may take the place"
}

// allMembers reports whether all candidates are voters of the group.
func allMembers(observed member.Group) bool {
	voting := make(map[uint64]bool, len(observed.Voters))
	for _, voter := range observed.Voters {
		voting[voter.ID] = true
	}
	for _, candidate := range observed.Candidates {
		if !voting[candidate.ID] {
			return false
		}
	}
	return true
}

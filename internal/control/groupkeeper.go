package control

import (
	"context"
	"errors"
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/member"
	"github.com/tamarindring/tamarindring/internal/raft"
)

// maximumChanges bounds the changes of a group in one pass. Replacing two lost voters takes three changes each.
const maximumChanges = 8

// groupKeeper replaces lost nodes of a group by nodes that ask to join, while this node leads the group. Only its own
// loop uses it.
type groupKeeper struct {
	voters   *voters
	server   *Server
	group    uint32
	silences *member.SilenceTracker // nil while this node does not lead the group
	// checkedAt is when this node last checked the group's state as its leader.
	checkedAt time.Duration
	behind    map[uint64]bool // learners that lacked log entries in this pass
}

// reconcile makes all due changes in sequence. Further losses are tolerated only once the replacement of a lost voter
// votes, and waiting for the next interval after each change would delay that.
func (k *groupKeeper) reconcile(ctx context.Context) {
	k.behind = map[uint64]bool{}
	for range maximumChanges {
		if !k.server.states[k.group].leader().Leading || k.server.draining.Load() {
			k.silences = nil
			k.voters.silent.stopLeading(k.group)
			return
		}
		observed, ok := k.observe(ctx)
		if !ok {
			return
		}
		if !mayReplaceVoters(k.group, k.server.states[controlGroup].leader().Leader) {
			return
		}
		change := member.NextGroupChange(observed, k.server.config.Voters, voterSilenceLimit)
		k.voters.silent.logSilent(k.group, k.checkedAt, observed, change)
		if change.Kind == member.NoGroupChange {
			return
		}
		err := k.applyChange(ctx, change, &observed)
		k.voters.silent.recordChangeResult(k.group, err)
		switch {
		case err == nil:
		case errors.Is(err, raft.ErrNotCaughtUp) && !k.behind[change.Node]:
			k.behind[change.Node] = true
		default:
			k.server.log.WithError(err).Debugf("failed to change the nodes of group %d, retrying", k.group)
			return
		}
	}
}

// observe returns the group's nodes with their silence, and the candidates. It returns false if this node does not lead
// the group.
func (k *groupKeeper) observe(ctx context.Context) (member.Group, bool) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	status, err := k.server.replicas.Status(ctx, k.group)
	if err != nil || status.Leader != status.ID {
		return member.Group{}, false
	}
	now := k.server.config.Clock()
	switch {
	case k.silences == nil:
		k.silences = member.NewSilenceTracker(status.ID, now, maximumCountedGap)
	case now-k.checkedAt > maximumCountedGap:
		k.voters.silent.countLateCheck(k.group)
	}
	k.checkedAt = now
	k.silences.Observe(now, k.collectObservations(&status))
	addresses := make(map[uint64]string)
	for _, node := range k.server.replicas.Nodes() {
		addresses[node.ID] = node.Address
	}
	retiring := k.server.retiring()
	describe := func(ids []uint64) []member.GroupNode {
		nodes := make([]member.GroupNode, 0, len(ids))
		for _, id := range ids {
			nodes = append(nodes, member.GroupNode{
				ID: id, Address: addresses[id], Silence: k.silences.Silence(id), Unheard: !k.silences.IsResponsive(id), Behind: k.behind[id],
				Leaving: k.voters.isLeaving(id, now) || retiring[addresses[id]], Standby: isStandby(id), IsLeader: id == status.ID,
			})
		}
		return nodes
	}
	return member.Group{Voters: describe(status.Configuration.Voters), Learners: describe(status.Configuration.Learners),
		Candidates: k.voters.recentCandidates(now)}, true
}

// collectObservations returns what is known of the group's other nodes: which of them this leader hears, and what the
// nodes that it hears report about the others.
func (k *groupKeeper) collectObservations(status *raft.Status) []member.Observation {
	var heard []uint64
	for _, other := range status.Match {
		if other.Heard {
			heard = append(heard, other.Node)
		}
	}
	observations := make([]member.Observation, 0, len(status.Match))
	for _, other := range status.Match {
		observations = append(observations, member.Observation{Node: other.Node, Active: other.RecentActive, Heard: other.Heard,
			ReportedSilence: k.server.replicas.UnheardFor(other.Node, heard)})
	}
	return observations
}

// applyChange makes a membership change and waits for its result.
func (k *groupKeeper) applyChange(ctx context.Context, change member.GroupChange, observed *member.Group) error {
	ctx, cancel := context.WithTimeout(ctx, voterChangeTimeout)
	defer cancel()
	var err error
	event := groupChanged(k.group, change.Node, observed)
	switch change.Kind {
	case member.AddLearner:
		event.Change, err = "learner_added", k.server.replicas.AddLearner(ctx, k.group, change.Node)
	case member.PromoteLearner:
		event.Change, err = "promoted", k.server.replicas.Promote(ctx, k.group, change.Node)
	case member.RemoveNode:
		event.Change, err = "removed", k.server.replicas.Remove(ctx, k.group, change.Node)
	}
	if err == nil {
		logging.Emit(k.server.log, event)
	}
	return err
}

// groupChanged returns the event of a change, with the observations that led to it.
func groupChanged(group uint32, node uint64, observed *member.Group) *events.GroupChanged {
	event := &events.GroupChanged{Group: group, Node: node, Voters: len(observed.Voters), Candidates: len(observed.Candidates)}
	var longest time.Duration
	for _, voter := range observed.Voters {
		longest = max(longest, voter.Silence)
		if voter.Unheard {
			event.Unheard++
		}
		if voter.ID == node {
			event.SilenceMs = events.Millis(voter.Silence)
		}
	}
	event.LongestSilenceMs = events.Millis(longest)
	return event
}

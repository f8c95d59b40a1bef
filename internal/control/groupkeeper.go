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

// maximumChanges bounds the changes of a group that one look makes: two lost voters need three each.
const maximumChanges = 8

// groupKeeper replaces lost nodes of a group, while this node leads it, by nodes that ask to carry the groups. Only its loop
// touches it.
type groupKeeper struct {
	voters  *voters
	server  *Server
	group   uint32
	hearing *member.Hearing // nil while this node does not lead the group
	// lookedAt is when the group's state was looked at last as its leader.
	lookedAt time.Duration
	behind   map[uint64]bool // learners that were found to lack entries at this look
}

// look makes the changes that are due, one after the other: the place of a lost voter is free for the next losses only once
// its successor has taken it, and each wait for the next look would add to that.
func (k *groupKeeper) look(ctx context.Context) {
	k.behind = map[uint64]bool{}
	for range maximumChanges {
		if !k.server.states[k.group].leader().Leading || k.server.draining.Load() {
			k.hearing = nil
			k.voters.silent.follows(k.group)
			return
		}
		seen, ok := k.observe(ctx)
		if !ok {
			return
		}
		if !mayReplaceVoters(k.group, k.server.states[controlGroup].leader().Leader) {
			return
		}
		change := member.NextGroupChange(seen, k.server.config.Voters, voterPatience)
		k.voters.silent.note(k.group, k.lookedAt, seen, change)
		if change.Kind == member.NoGroupChange {
			return
		}
		err := k.carryOut(ctx, change, &seen)
		k.voters.silent.tried(k.group, err)
		switch {
		case err == nil:
		case errors.Is(err, raft.ErrNotCaughtUp) && !k.behind[change.Node]:
			k.behind[change.Node] = true
		default:
			k.server.log.WithError(err).Debugf("a change of the nodes of group %d waits", k.group)
			return
		}
	}
}

// observe tells how long the nodes of the group have been silent, and who asks for a place.
func (k *groupKeeper) observe(ctx context.Context) (member.Group, bool) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	status, err := k.server.replicas.Status(ctx, k.group)
	if err != nil || status.Leader != status.ID {
		return member.Group{}, false
	}
	now := k.server.config.Clock()
	switch {
	case k.hearing == nil:
		k.hearing = member.NewHearing(status.ID, now, maximumGap)
	case now-k.lookedAt > maximumGap:
		k.voters.silent.late(k.group)
	}
	k.lookedAt = now
	k.hearing.Look(now, k.sightings(&status))
	addresses := make(map[uint64]string)
	for _, node := range k.server.replicas.Nodes() {
		addresses[node.ID] = node.Address
	}
	retiring := k.server.retiring()
	describe := func(ids []uint64) []member.GroupNode {
		nodes := make([]member.GroupNode, 0, len(ids))
		for _, id := range ids {
			nodes = append(nodes, member.GroupNode{
				ID: id, Address: addresses[id], Silence: k.hearing.Silence(id), Unheard: !k.hearing.Answers(id), Behind: k.behind[id],
				Leaving: k.voters.isLeaving(id, now) || retiring[addresses[id]], Standby: isStandby(id), Leads: id == status.ID,
			})
		}
		return nodes
	}
	return member.Group{Voters: describe(status.Configuration.Voters), Learners: describe(status.Configuration.Learners),
		Candidates: k.voters.asking(now)}, true
}

// sightings is what is known of the group's other nodes: what this leader hears, and what those that it hears tell.
func (k *groupKeeper) sightings(status *raft.Status) []member.Sighting {
	var heard []uint64
	for _, other := range status.Match {
		if other.Heard {
			heard = append(heard, other.Node)
		}
	}
	sightings := make([]member.Sighting, 0, len(status.Match))
	for _, other := range status.Match {
		sightings = append(sightings, member.Sighting{Node: other.Node, Active: other.RecentActive, Heard: other.Heard,
			Told: k.server.replicas.Unheard(other.Node, heard)})
	}
	return sightings
}

// carryOut makes a change and waits for it.
func (k *groupKeeper) carryOut(ctx context.Context, change member.GroupChange, seen *member.Group) error {
	ctx, cancel := context.WithTimeout(ctx, voterChangeTimeout)
	defer cancel()
	var err error
	event := groupChanged(k.group, change.Node, seen)
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

// groupChanged says what a change of a node rests on.
func groupChanged(group uint32, node uint64, seen *member.Group) *events.GroupChanged {
	event := &events.GroupChanged{Group: group, Node: node, Voters: len(seen.Voters), Candidates: len(seen.Candidates)}
	var longest time.Duration
	for _, voter := range seen.Voters {
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

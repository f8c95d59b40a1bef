package consensus

import (
	"context"
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/raft"
)

const (
	// leaderlessReportDelay is how long a group may be without a leader before this is logged. It is twice the
	// longest default election timeout (1 s), so that an ordinary election is not logged.
	leaderlessReportDelay = 2 * time.Second
	// leaderlessReportInterval is the minimum time between two such log lines of a group.
	leaderlessReportInterval = 5 * time.Second
)

// leaderlessPeriod tracks one group while this node knows no leader of it. The loop owns it.
type leaderlessPeriod struct {
	since           time.Time      // zero while a leader is known
	lastReportDueAt time.Time      // when a log line was last due; zero: never
	reported        bool           // whether a log line was written
	termAtLoss      uint64         // term when the leader was lost
	electionsAtLoss raft.Elections // election counters when the leader was lost
	syncCount       int            // synced writes since then
	lastSync        time.Duration
	longestSync     time.Duration
}

// recordSync records the duration of a synced write.
func (p *leaderlessPeriod) recordSync(duration time.Duration) {
	if p.since.IsZero() {
		return
	}
	p.syncCount++
	p.lastSync = duration
	p.longestSync = max(p.longestSync, duration)
}

// isReportDue reports whether a log line is due now.
func (p *leaderlessPeriod) isReportDue(now time.Time) bool {
	if p.lastReportDueAt.IsZero() {
		return now.Sub(p.since) >= leaderlessReportDelay
	}
	return now.Sub(p.lastReportDueAt) >= leaderlessReportInterval
}

// trackLeaders records which groups have no known leader, and logs those that have had none for longer than
// leaderlessReportDelay.
func (h *Host) trackLeaders(now time.Time) {
	for _, g := range h.groups {
		h.trackLeader(g, now)
	}
}

func (h *Host) trackLeader(g *hostedGroup, now time.Time) {
	known := g.leadership.Leader != raft.None
	switch {
	case known && g.leaderless.since.IsZero():
	case known:
		h.logLeaderKnown(g, now)
		g.leaderless = leaderlessPeriod{}
	case g.leaderless.since.IsZero():
		g.leaderless = leaderlessPeriod{since: now, termAtLoss: g.node.Status().Term, electionsAtLoss: g.node.Elections()}
	case g.leaderless.isReportDue(now):
		g.leaderless.lastReportDueAt = now
		h.logWithoutLeader(g, now)
	}
}

// logWithoutLeader logs that a group has no leader. It logs nothing if this node is not in the group's configuration,
// since such a node waits to be added.
func (h *Host) logWithoutLeader(g *hostedGroup, now time.Time) {
	if !isMember(g.node.Status()) {
		return
	}
	g.leaderless.reported = true
	logging.Emit(h.config.Log, h.describeWithoutLeader(g, now))
}

// isMember reports whether a node is a voter or learner of its own current configuration.
func isMember(status raft.Status) bool {
	return status.Configuration.IsVoter(status.ID) || status.Configuration.IsLearner(status.ID)
}

// logLeaderKnown logs that a group has a leader again, if its missing leader was logged.
func (h *Host) logLeaderKnown(g *hostedGroup, now time.Time) {
	leaderless := &g.leaderless
	if !leaderless.reported {
		return
	}
	counts := g.node.Elections().Since(leaderless.electionsAtLoss)
	logging.Emit(h.config.Log, &events.GroupLeaderKnown{
		Group: g.id, Leader: g.leadership.Leader, Term: g.leadership.Term,
		WithoutMs: events.Millis(now.Sub(leaderless.since)), Terms: g.leadership.Term - leaderless.termAtLoss,
		PreCampaigns: counts.PreCampaigns, Campaigns: counts.Campaigns, Overtaken: counts.Overtaken, Expired: counts.Expired,
		Syncs: leaderless.syncCount, LongestSyncMs: events.Millis(leaderless.longestSync),
	})
}

// describeWithoutLeader returns the event for a group that has no leader, as seen by this node.
func (h *Host) describeWithoutLeader(g *hostedGroup, now time.Time) *events.GroupWithoutLeader {
	status, leaderless := g.node.Status(), &g.leaderless
	counts := g.node.Elections().Since(leaderless.electionsAtLoss)
	event := &events.GroupWithoutLeader{
		Group: g.id, ForMs: events.Millis(now.Sub(leaderless.since)), Self: status.ID, Role: status.Role.String(),
		TakesPart: h.book.canParticipate(), Awaits: h.book.listUnconfirmedVoters(),
		Term: status.Term, Terms: status.Term - leaderless.termAtLoss, Vote: status.Vote,
		LastIndex: status.LastIndex, LastTerm: status.LastTerm, Commit: status.Commit,
		Voters: h.describePeers(status.Configuration.Voters, now), Learners: h.describePeers(status.Configuration.Learners, now),
		PreCampaigns: counts.PreCampaigns, Campaigns: counts.Campaigns, Overtaken: counts.Overtaken, Expired: counts.Expired,
		Syncs: leaderless.syncCount, LastSyncMs: events.Millis(leaderless.lastSync), LongestSyncMs: events.Millis(leaderless.longestSync),
	}
	if h.writer.busy {
		event.WritingMs = events.Millis(now.Sub(h.writer.startedAt))
	}
	for _, peer := range counts.Peers {
		event.Votes = append(event.Votes, events.PeerVotes{
			ID:             peer.Node,
			PreVotesWanted: events.VoteCounts(peer.PreVotesWanted),
			VotesWanted:    events.VoteCounts(peer.VotesWanted),
			PreVotesGiven:  events.VoteCounts(peer.PreVotesGiven),
			VotesGiven:     events.VoteCounts(peer.VotesGiven),
		})
	}
	return event
}

// describePeers describes nodes of a group as seen by this node.
func (h *Host) describePeers(nodes []uint64, now time.Time) []events.GroupPeer {
	peers := make([]events.GroupPeer, 0, len(nodes))
	for _, node := range nodes {
		if node == h.config.NodeID {
			peers = append(peers, events.GroupPeer{ID: node, Self: true, Address: h.config.Address, Connected: true,
				Standby: h.isStandby(node), Folder: formatFolder(h.config.Store.Identity().Folder)})
			continue
		}
		seen := h.contacts.get(node)
		peer := events.GroupPeer{ID: node, Address: h.book.address(node), Standby: h.isStandby(node),
			Folder: formatFolder(h.book.knownFolder(node)), HeardMs: neverHeard, Connected: !seen.connectedAt.IsZero(),
			Refused: seen.greetingRefusal, RefusedBy: seen.currentStreamRefusal(now)}
		if !seen.heardAt.IsZero() {
			peer.HeardMs = events.Millis(max(0, now.Sub(seen.heardAt)))
		}
		peers = append(peers, peer)
	}
	return peers
}

// neverHeard is reported in place of the time since a node was heard, if it has not been heard since the start.
const neverHeard = -1

func (h *Host) isStandby(node uint64) bool {
	return h.config.IsStandby != nil && h.config.IsStandby(node)
}

// formatFolder returns a data folder ID in the format of refusal messages, empty if it is unknown.
func formatFolder(folder uint64) string {
	if folder == 0 {
		return ""
	}
	return fmt.Sprintf("%x", folder)
}

// SinceLastHeard returns the time since any message of a node was received, or since the start if none was.
func (h *Host) SinceLastHeard(node uint64) time.Duration {
	return h.contacts.sinceHeard(node, time.Now())
}

// ElectionView is a node's view of a group's elections, for operators.
type ElectionView struct {
	WithoutLeader time.Duration // 0 while a leader is known or the node is not a member
	Elections     raft.Elections
}

// ElectionView returns this node's view of a group's elections. Errors: those of Status.
func (h *Host) ElectionView(ctx context.Context, group uint32) (ElectionView, error) {
	return callWithResult(ctx, h, group, func(g *hostedGroup) (ElectionView, error) {
		view := ElectionView{Elections: g.node.Elections()}
		if since := g.leaderless.since; !since.IsZero() && g.leadership.Leader == raft.None && isMember(g.node.Status()) {
			view.WithoutLeader = time.Since(since)
		}
		return view, nil
	})
}

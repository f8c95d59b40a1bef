package control

import (
	"context"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/raft"
)

var (
	withoutLeaderDesc = describe("without_leader_seconds", "For how long the node has known no leader of the group; 0 while it knows one.", "group")
	campaignsDesc     = describe("campaigns_total", "Campaigns that the node began, by kind: pre_vote or vote.", "group", "kind")
	undecidedDesc     = describe("elections_undecided_total", "Elections of the node that nobody won, by cause: overtaken by a later term, or expired.", "group", "cause")
	refusedVotesDesc  = describe("votes_refused_total", "Votes that other nodes refused to this one, by kind and reason.", "group", "kind", "reason")
	silentVotersDesc  = describe("silent_voters", "Voters that this leader has not heard for 3 s; only on the leader of groups that replace lost voters.", "group")

	electionDescs = []*prometheus.Desc{withoutLeaderDesc, campaignsDesc, undecidedDesc, refusedVotesDesc, silentVotersDesc}
)

// collectElections collects the metrics of a group's elections as observed by this node.
func (c *collector) collectElections(ctx context.Context, out chan<- prometheus.Metric, group uint32) {
	view, err := c.server.replicas.ElectionView(ctx, group)
	if err != nil {
		return
	}
	label := strconv.FormatUint(uint64(group), 10)
	out <- prometheus.MustNewConstMetric(withoutLeaderDesc, prometheus.GaugeValue, view.WithoutLeader.Seconds(), label)
	counter(out, campaignsDesc, view.Elections.PreCampaigns, label, "pre_vote")
	counter(out, campaignsDesc, view.Elections.Campaigns, label, "vote")
	counter(out, undecidedDesc, view.Elections.Overtaken, label, "overtaken")
	counter(out, undecidedDesc, view.Elections.Expired, label, "expired")
	var preVotes, votes raft.VoteCounts
	for _, peer := range view.Elections.Peers {
		preVotes = preVotes.Plus(peer.PreVotesWanted)
		votes = votes.Plus(peer.VotesWanted)
	}
	collectRefusals(out, label, "pre_vote", preVotes)
	collectRefusals(out, label, "vote", votes)
	if silent := c.server.voters.silent.counts[group].Load(); silent != notLeading {
		gauge(out, silentVotersDesc, uint64(silent), label)
	}
}

func collectRefusals(out chan<- prometheus.Metric, label, kind string, counts raft.VoteCounts) {
	counter(out, refusedVotesDesc, counts.LogBehind, label, kind, "log_behind")
	counter(out, refusedVotesDesc, counts.VotedForAnother, label, kind, "voted_for_another")
	counter(out, refusedVotesDesc, counts.HearsLeader, label, kind, "hears_leader")
	counter(out, refusedVotesDesc, counts.OldTerm, label, kind, "old_term")
	counter(out, refusedVotesDesc, counts.Unsaid, label, kind, "unsaid")
}

func counter(out chan<- prometheus.Metric, desc *prometheus.Desc, value uint64, labels ...string) {
	out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
}

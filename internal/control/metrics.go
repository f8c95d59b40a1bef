package control

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/metrics"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	metricsSubsystem = "control"
	// scrapeTimeout bounds the queries to the groups for one scrape.
	scrapeTimeout = time.Second
)

// errDraining is returned by Ready on a node that stops as planned.
var errDraining = errors.New("draining: leaderships are handed over")

// Ready implements metrics.Process. It returns nil if the node knows a leader of every group and does not drain. A node
// that is cut off from the quorum knows no leader after an election timeout, even if it led before.
func (s *Server) Ready(ctx context.Context) error {
	if s.draining.Load() {
		return errDraining
	}
	for group := range s.states {
		status, err := s.replicas.Status(ctx, uint32(group))
		if err != nil {
			return trace.Wrap(err, "group %d does not answer", group)
		}
		if status.Leader == raft.None {
			return trace.ConnectionProblem(nil, "group %d has no leader that this node can reach: starting, electing, or cut off from the quorum", group)
		}
	}
	return nil
}

// Collector implements metrics.Process.
func (s *Server) Collector() prometheus.Collector { return &collector{server: s} }

// collector collects the node's metrics at each scrape.
type collector struct{ server *Server }

func describe(name, help string, labels ...string) *prometheus.Desc {
	return metrics.Describe(metricsSubsystem, name, help, labels...)
}

var (
	hasLeaderDesc     = describe("has_leader", "1 while the node knows a leader of the group.", "group")
	leadingDesc       = describe("is_leader", "1 while the node leads the group.", "group")
	termDesc          = describe("term", "Term of the group; it rises with each election.", "group")
	commitDesc        = describe("commit_index", "Highest log index of the group that is known to be committed.", "group")
	appliedDesc       = describe("applied_index", "Highest log index of the group that is applied here.", "group")
	votersDesc        = describe("voters", "Voters of the group.", "group")
	unreachableDesc   = describe("unreachable_nodes", "Other nodes of the group that this leader has not heard from lately.", "group")
	lagDesc           = describe("replication_lag_entries", "Entries by which the slowest other node is behind this leader's commit index.", "group")
	claimsDesc        = describe("claims", "Claims that the ledger group holds.", "group")
	tableVersionDesc  = describe("table_version", "Version of the table that is applied here.")
	inForceDesc       = describe("table_version_in_force", "Version below which no process acts; only on the leader, absent while it is not known.")
	grantedDesc       = describe("table_version_granted", "Version of the table that leases are granted by; only on the leader.")
	unreadDesc        = describe("state_reads_failed_total", "Reads of the state applied here that failed, by what was read: table, members or level.", "what")
	levelDesc         = describe("level", "Level of what the processes say to each other that is in force, as applied here.")
	holdersDesc       = describe("lease_holders", "Processes that hold a lease on the table; only on the leader.")
	holdersBehindDesc = describe("lease_holders_behind", "Lease holders that act on an older version than the newest; only on the leader.")
	controlStateDescs = []*prometheus.Desc{hasLeaderDesc, leadingDesc, termDesc, commitDesc, appliedDesc, votersDesc,
		unreachableDesc, lagDesc, claimsDesc, tableVersionDesc, levelDesc, inForceDesc, grantedDesc, unreadDesc, holdersDesc, holdersBehindDesc}
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range controlStateDescs {
		descs <- desc
	}
	for _, desc := range electionDescs {
		descs <- desc
	}
	for _, desc := range shareDescs {
		descs <- desc
	}
	for _, desc := range holdingsDescs {
		descs <- desc
	}
	c.server.syncDurations.Describe(descs)
}

// Collect implements prometheus.Collector. It omits a group that does not answer in time.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(c.server.context, scrapeTimeout)
	defer cancel()
	c.server.syncDurations.Collect(out)
	collectShares(out, c.server.shares.usages())
	counter(out, jobsRefusedDesc, c.server.jobCapacity.rejections())
	readFailures := c.server.publisher.readFailures()
	for _, what := range []string{readOfTable, readOfMembers, readOfLevel} {
		counter(out, unreadDesc, readFailures[what], what)
	}
	if granted, leads := c.server.leases.grantedVersion(); leads {
		gauge(out, grantedDesc, granted)
	}
	for group := range c.server.states {
		c.collectElections(ctx, out, uint32(group))
		view, err := c.server.statusView(ctx, uint32(group))
		if err != nil {
			continue
		}
		collectGroup(out, uint32(group), view.GetStatus())
		c.collectHoldings(ctx, out, uint32(group), view.GetStatus())
	}
}

func gauge(out chan<- prometheus.Metric, desc *prometheus.Desc, value uint64, labels ...string) {
	out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
}

func boolValue(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}

func collectGroup(out chan<- prometheus.Metric, group uint32, status *wire.StatusView) {
	label := strconv.FormatUint(uint64(group), 10)
	leading := status.Leader == status.Node
	gauge(out, hasLeaderDesc, boolValue(status.Leader != raft.None), label)
	gauge(out, leadingDesc, boolValue(leading), label)
	gauge(out, termDesc, status.Term, label)
	gauge(out, commitDesc, status.CommitIndex, label)
	gauge(out, appliedDesc, status.AppliedIndex, label)
	gauge(out, votersDesc, uint64(len(status.Voters)), label)
	if leading {
		collectFollowers(out, label, status)
	}
	if group != controlGroup {
		gauge(out, claimsDesc, status.Claims, label)
		return
	}
	gauge(out, tableVersionDesc, status.TableVersion)
	gauge(out, levelDesc, uint64(status.Level))
	if !leading {
		return
	}
	if status.InForceVersion > 0 {
		gauge(out, inForceDesc, status.InForceVersion)
	}
	behind := uint64(0)
	for _, holder := range status.Holders {
		behind += boolValue(holder.ActedVersion < status.TableVersion)
	}
	gauge(out, holdersDesc, uint64(len(status.Holders)))
	gauge(out, holdersBehindDesc, behind)
}

// collectFollowers collects how far the other nodes are behind this leader.
func collectFollowers(out chan<- prometheus.Metric, label string, status *wire.StatusView) {
	unreachable, lag := uint64(0), uint64(0)
	for _, node := range status.Nodes {
		if node.Node == status.Node {
			continue
		}
		unreachable += boolValue(!node.Active)
		if status.CommitIndex > node.MatchIndex {
			lag = max(lag, status.CommitIndex-node.MatchIndex)
		}
	}
	gauge(out, unreachableDesc, unreachable, label)
	gauge(out, lagDesc, lag, label)
}

// newSyncHistogram returns the histogram of the durations of synced writes.
func newSyncHistogram() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
		Name: "sync_duration_seconds", Help: "Time of one synced write of all groups' pending entries.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16)})
}

// timedStore records the durations of the synced writes of a store.
type timedStore struct {
	consensus.Store
	syncDurations prometheus.Histogram
}

// Write implements consensus.Store.
func (t timedStore) Write(batch []storage.GroupWrite) error {
	began := time.Now()
	err := t.Store.Write(batch)
	t.syncDurations.Observe(time.Since(began).Seconds())
	return err
}

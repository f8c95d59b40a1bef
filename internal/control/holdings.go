package control

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// holdingsInterval is how often a node logs the sizes of its groups, the same interval as for its memory use.
	holdingsInterval = 5 * time.Second
	// holdingsTimeout bounds the queries to one group. Other log lines report a group loop that is blocked.
	holdingsTimeout = time.Second
)

// readHoldings returns the sizes of what this node stores of a group: batch jobs, log and snapshot.
func (s *Server) readHoldings(ctx context.Context, group uint32) (*events.GroupHoldings, error) {
	ctx, cancel := context.WithTimeout(ctx, holdingsTimeout)
	defer cancel()
	held, err := s.replicas.Holdings(ctx, group)
	if err != nil {
		return nil, err
	}
	report := &events.GroupHoldings{
		Group: group, LogMB: events.Megabytes(uint64(held.Log)), SnapshotMB: events.Megabytes(uint64(held.Snapshot)),
		UnstoredMB: events.Megabytes(uint64(held.Unstored)),
	}
	if free, err := s.store.FreeBytes(); err == nil {
		report.DiskFreeMB = events.Megabytes(free)
	}
	if group == controlGroup {
		return report, nil
	}
	view, err := s.replicas.LocalQuery(ctx, group, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return nil, err
	}
	report.Jobs, report.JobsMB = view.GetStatus().GetJobs(), events.Megabytes(view.GetStatus().GetJobBytes())
	return report, nil
}

// logHoldings logs the sizes of all groups at regular intervals until ctx ends.
func (s *Server) logHoldings(ctx context.Context) {
	pause.Every(ctx, holdingsInterval, func(ctx context.Context) {
		for group := range s.states {
			if report, err := s.readHoldings(ctx, uint32(group)); err == nil {
				logging.Emit(s.log, report)
			}
		}
	})
}

var (
	logBytesDesc      = describe("log_bytes", "Data of the group's log entries that the node holds in memory.", "group")
	snapshotBytesDesc = describe("snapshot_bytes", "Size of the group's last snapshot here.", "group")
	unstoredBytesDesc = describe("snapshot_unstored_bytes", "Part of it that is in memory since it is on no disk.", "group")
	jobsDesc          = describe("jobs", "Batch jobs that the ledger group holds, open or ended.", "group")
	jobBytesDesc      = describe("job_bytes", "Size of the batch jobs that the ledger group holds.", "group")
	jobsRefusedDesc   = describe("jobs_refused_total", "Batch jobs that this node refused for want of room while it led their group.")

	holdingsDescs = []*prometheus.Desc{logBytesDesc, snapshotBytesDesc, unstoredBytesDesc, jobsDesc, jobBytesDesc, jobsRefusedDesc}
)

// collectHoldings collects the metrics of what this node stores of a group.
func (c *collector) collectHoldings(ctx context.Context, out chan<- prometheus.Metric, group uint32, status *wire.StatusView) {
	held, err := c.server.replicas.Holdings(ctx, group)
	if err != nil {
		return
	}
	label := strconv.FormatUint(uint64(group), 10)
	gauge(out, logBytesDesc, uint64(held.Log), label)
	gauge(out, snapshotBytesDesc, uint64(held.Snapshot), label)
	gauge(out, unstoredBytesDesc, uint64(held.Unstored), label)
	if group != controlGroup {
		gauge(out, jobsDesc, status.GetJobs(), label)
		gauge(out, jobBytesDesc, status.GetJobBytes(), label)
	}
}

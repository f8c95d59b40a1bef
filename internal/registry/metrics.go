package registry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/metrics"
)

// counts holds the registry's metrics for this node since its start.
type counts struct {
	metrics.Set
	restarts *prometheus.CounterVec
	skipped  *prometheus.CounterVec
	rejected *prometheus.CounterVec
}

func newCounts() *counts {
	part := metrics.Part("registry")
	c := &counts{restarts: part.Counter("replica_restarts_total", "Back ends that started again under their names, as this node registered them.")}
	c.skipped = part.Counter("entries_skipped_total", "Entries of other writers that named no back end, by source and reason.", "source", "reason")
	c.rejected = part.Counter("heartbeats_rejected_total", "Heartbeats that were rejected unread because too many others were being processed.")
	c.Set = metrics.Set{c.restarts, c.skipped, c.rejected}
	return c
}

// Collector returns the registry's metrics.
func (s *Service) Collector() prometheus.Collector { return s.counts }

// CountRejected counts a heartbeat that was rejected because this node has too many others to process.
func (s *Service) CountRejected() {
	s.counts.rejected.WithLabelValues().Inc()
	s.rejected.Add(1)
}

// logRejected logs the heartbeats that were rejected since the last call, if there were any.
func (s *Service) logRejected() {
	if rejected := s.rejected.Swap(0); rejected > 0 {
		logging.Emit(s.config.Log, &events.HeartbeatsRejected{Rejected: rejected})
	}
}

// The labels under which a heartbeat of a former start is counted as skipped.
const (
	sourceHeartbeat = "heartbeat"
	reasonFormer    = "former_start"
)

// SkippedEntry is a message that is ignored because it does not name a valid replica, for instance because another
// program wrote it.
type SkippedEntry struct {
	Source  string // kind of message
	Reason  string // why it was ignored; one of a few values, as it is a metric label
	Replica string // replica that the message names; limited in length
	Cause   string // details; limited in length
}

// Skipped counts an ignored entry and logs it, unless one of the same kind was logged recently.
func (s *Service) Skipped(entry SkippedEntry) {
	s.counts.skipped.WithLabelValues(entry.Source, entry.Reason).Inc()
	logging.Emit(s.config.Log, &events.EntrySkipped{Source: entry.Source, Reason: entry.Reason, Replica: entry.Replica, Cause: entry.Cause})
}

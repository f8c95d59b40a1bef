package executor

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// counts are the metrics of the runs that this process drives for leaders.
type counts struct {
	metrics.Set
	running   prometheus.Gauge
	ended     *prometheus.CounterVec
	refused   *prometheus.CounterVec
	ignored   *prometheus.CounterVec
	abandoned prometheus.Counter
}

func newCounts() *counts {
	part := metrics.Part("executor")
	abandoned := part.Counter("runs_abandoned_total", "Runs that were ended because no leader asked for them any more.")
	c := &counts{
		running:   part.Gauge("runs", "Runs of batch items that this process drives now."),
		ended:     part.Counter("runs_total", "Runs that are over, by how they ended: whole, broken, refused, stopped or not_admitted.", "ending"),
		refused:   part.Counter("orders_refused_total", "Orders to begin a run that were not carried out, by reason.", "reason"),
		ignored:   part.Counter("orders_ignored_total", "Orders to attach to a run or to stop it that named one which is not held, by kind.", "kind"),
		abandoned: abandoned.WithLabelValues(),
	}
	c.Set = metrics.Set{c.running, c.ended, c.refused, c.ignored, abandoned}
	return c
}

// Collector returns the executor's metrics.
func (s *Server) Collector() prometheus.Collector { return s.counts }

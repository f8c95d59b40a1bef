package metering

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// Outcomes of reports.
const (
	reportTaken   = "taken"
	reportRefused = "superseded"
	reportFailed  = "failed"
)

// reporterCounts are a reporter's metrics, of this node since its start.
type reporterCounts struct {
	metrics.Set
	sealed  *prometheus.CounterVec
	reports *prometheus.CounterVec
	pending prometheus.Gauge
}

func newReporterCounts() *reporterCounts {
	part := metrics.Part("usage")
	c := &reporterCounts{
		sealed:  part.Counter("windows_sealed_total", "Windows of usage that this node sealed."),
		reports: part.Counter("reports_total", "Reports of sealed windows by outcome: taken, superseded (another node reports) or failed.", "outcome"),
		pending: part.Gauge("windows_pending", "Sealed windows that are not reported yet, as this node saw last."),
	}
	c.Set = metrics.Set{c.sealed, c.reports, c.pending}
	return c
}

func (c *reporterCounts) reported(err error) {
	outcome := reportTaken
	switch {
	case errors.Is(err, ErrSuperseded):
		outcome = reportRefused
	case err != nil:
		outcome = reportFailed
	}
	c.reports.WithLabelValues(outcome).Inc()
}

// Collector returns the reporter's metrics.
func (r *Reporter) Collector() prometheus.Collector { return r.counts }

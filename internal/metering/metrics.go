package metering

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// Outcomes of reports, as values of a metric label.
const (
	reportTaken      = "taken"
	reportSuperseded = "superseded"
	reportFailed     = "failed"
)

// reporterMetrics are a reporter's metrics, counted on this node since its start.
type reporterMetrics struct {
	metrics.Set
	sealed  *prometheus.CounterVec
	reports *prometheus.CounterVec
	pending prometheus.Gauge
}

func newReporterMetrics() *reporterMetrics {
	part := metrics.Part("usage")
	c := &reporterMetrics{
		sealed:  part.Counter("windows_sealed_total", "Windows of usage that this node sealed."),
		reports: part.Counter("reports_total", "Reports of sealed windows by outcome: taken, superseded (another node reports) or failed.", "outcome"),
		pending: part.Gauge("windows_pending", "Sealed windows that are not reported yet, as this node saw last."),
	}
	c.Set = metrics.Set{c.sealed, c.reports, c.pending}
	return c
}

func (c *reporterMetrics) countReport(err error) {
	outcome := reportTaken
	switch {
	case errors.Is(err, ErrSuperseded):
		outcome = reportSuperseded
	case err != nil:
		outcome = reportFailed
	}
	c.reports.WithLabelValues(outcome).Inc()
}

// Collector returns the reporter's metrics.
func (r *Reporter) Collector() prometheus.Collector { return r.metrics }

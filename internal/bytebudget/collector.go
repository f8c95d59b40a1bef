package bytebudget

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

const subsystem = "held"

var (
	heldBytes    = metrics.Describe(subsystem, "bytes", "Bytes that are held for callers and replicas, by class.", "class")
	refusedTotal = metrics.Describe(subsystem, "refused_total", "Reservations of bytes that did not fit, by class.", "class")
	limitBytes   = metrics.Describe(subsystem, "limit_bytes", "Bytes that may be held for callers and replicas.")
	peakBytes    = metrics.Describe(subsystem, "peak_bytes", "The most bytes that were held at once since the start.")
	waitingCount = metrics.Describe(subsystem, "waiting", "Reservations that wait for room, by class.", "class")
)

// Describe implements prometheus.Collector.
func (b *Budget) Describe(descriptions chan<- *prometheus.Desc) {
	for _, one := range []*prometheus.Desc{heldBytes, refusedTotal, limitBytes, peakBytes, waitingCount} {
		descriptions <- one
	}
}

// Collect implements prometheus.Collector.
func (b *Budget) Collect(samples chan<- prometheus.Metric) {
	now := b.usage()
	for class := range classCount {
		samples <- prometheus.MustNewConstMetric(heldBytes, prometheus.GaugeValue, float64(now.held[class]), class.String())
		samples <- prometheus.MustNewConstMetric(waitingCount, prometheus.GaugeValue, float64(now.waiting[class]), class.String())
		samples <- prometheus.MustNewConstMetric(refusedTotal, prometheus.CounterValue, float64(now.refused[class]), class.String())
	}
	samples <- prometheus.MustNewConstMetric(limitBytes, prometheus.GaugeValue, float64(b.limit))
	samples <- prometheus.MustNewConstMetric(peakBytes, prometheus.GaugeValue, float64(now.peak))
}

package metrics

import "github.com/prometheus/client_golang/prometheus"

// Set combines several collectors into one.
type Set []prometheus.Collector

// Describe implements prometheus.Collector.
func (s Set) Describe(descs chan<- *prometheus.Desc) {
	for _, collector := range s {
		collector.Describe(descs)
	}
}

// Collect implements prometheus.Collector.
func (s Set) Collect(samples chan<- prometheus.Metric) {
	for _, collector := range s {
		collector.Collect(samples)
	}
}

// Part creates the metrics of one part of the program. Its value is the subsystem in the names of the metrics.
type Part string

// Counter returns a counter with labels.
func (p Part) Counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Subsystem: string(p), Name: name, Help: help}, labels)
}

// Gauge returns a gauge without labels.
func (p Part) Gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Subsystem: string(p), Name: name, Help: help})
}

// All latency histograms have the same buckets. The first bucket ends at firstLatencyBucket seconds, and each further one at
// twice the bound before, so that the buckets reach from half a millisecond to over a minute.
const (
	firstLatencyBucket = 0.0005
	latencyBuckets     = 18
)

// Gauges returns a gauge with labels.
func (p Part) Gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: Namespace, Subsystem: string(p), Name: name, Help: help}, labels)
}

// Latency returns a histogram of durations in seconds, with labels.
func (p Part) Latency(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: Namespace, Subsystem: string(p), Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(firstLatencyBucket, 2, latencyBuckets)}, labels)
}

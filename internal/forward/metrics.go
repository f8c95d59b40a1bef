package forward

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
	"github.com/tamarindring/tamarindring/internal/table"
)

const metricsSubsystem = "forward"

// outcomeAnswered is the outcome of a request that got a back end's whole answer; others are named by Reason.
const outcomeAnswered = "answered"

// counts are the forwarder's metrics.
type counts struct {
	requests *prometheus.CounterVec
	inFlight prometheus.Gauge
	latency  *prometheus.HistogramVec
}

func newCounts() *counts {
	return &counts{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
			Name: "requests_total", Help: "Requests by kind of route (empty: no route) and outcome: answered, or the reason why not."},
			[]string{"kind", "outcome"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
			Name: "requests_in_flight", Help: "Requests that are being answered."}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
			Name: "request_duration_seconds", Help: "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18)}, []string{"kind"}),
	}
}

// count records a request that is over. Routes come and go with configurations, so their names are no labels.
func (c *counts) count(kind table.RouteKind, failure *Failure, took time.Duration) {
	outcome := outcomeAnswered
	if failure != nil {
		outcome = failure.Reason.String()
	}
	c.requests.WithLabelValues(string(kind), outcome).Inc()
	c.latency.WithLabelValues(string(kind)).Observe(took.Seconds())
}

// Process returns the forwarder as operators see it.
func (f *Forwarder) Process() metrics.Process { return process{f} }

type process struct{ forwarder *Forwarder }

var errNotReady = errors.New("no lease on a configuration")

// Ready implements metrics.Process.
func (p process) Ready(context.Context) error {
	if !p.forwarder.Ready() {
		return errNotReady
	}
	return nil
}

// Collector implements metrics.Process.
func (p process) Collector() prometheus.Collector { return p.forwarder.counts }

// Describe implements prometheus.Collector.
func (c *counts) Describe(descs chan<- *prometheus.Desc) {
	c.requests.Describe(descs)
	c.inFlight.Describe(descs)
	c.latency.Describe(descs)
}

// Collect implements prometheus.Collector.
func (c *counts) Collect(samples chan<- prometheus.Metric) {
	c.requests.Collect(samples)
	c.inFlight.Collect(samples)
	c.latency.Collect(samples)
}

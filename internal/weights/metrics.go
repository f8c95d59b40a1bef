package weights

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// Outcomes of orders.
const (
	orderLoaded = "loaded"
	orderFailed = "failed"
)

// counts are the driver's metrics, of this node since its start.
type counts struct {
	metrics.Set
	orders  *prometheus.CounterVec
	latency *prometheus.HistogramVec
	loading prometheus.Gauge
	waiting prometheus.Gauge
}

func newCounts() *counts {
	part := metrics.Part("weights")
	c := &counts{
		orders:  part.Counter("orders_total", "Orders to load a version that are over, by outcome: loaded or failed.", "outcome"),
		latency: part.Latency("order_duration_seconds", "Time from an order to its end, by outcome.", "outcome"),
		loading: part.Gauge("orders_in_flight", "Back ends that load now; 0 where the control group is not led."),
		waiting: part.Gauge("orders_waiting", "Orders that wait for others to end; 0 where the control group is not led."),
	}
	c.Set = metrics.Set{c.orders, c.latency, c.loading, c.waiting}
	return c
}

func (c *counts) ended(err error, took time.Duration) {
	outcome := orderLoaded
	if err != nil {
		outcome = orderFailed
	}
	c.orders.WithLabelValues(outcome).Inc()
	c.latency.WithLabelValues(outcome).Observe(took.Seconds())
}

// Collector returns the driver's metrics.
func (d *Driver) Collector() prometheus.Collector { return d.counts }

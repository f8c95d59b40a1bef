package weights

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// Values of the outcome label.
const (
	orderLoaded = "loaded"
	orderFailed = "failed"
)

// driverMetrics holds the metrics of the driver of this node since the process started.
type driverMetrics struct {
	metrics.Set
	orders  *prometheus.CounterVec
	latency *prometheus.HistogramVec
	loading prometheus.Gauge
	waiting prometheus.Gauge
}

func newDriverMetrics() *driverMetrics {
	part := metrics.Part("weights")
	c := &driverMetrics{
		orders:  part.Counter("orders_total", "Orders to load a version that are over, by outcome: loaded or failed.", "outcome"),
		latency: part.Latency("order_duration_seconds", "Time from an order to its end, by outcome.", "outcome"),
		loading: part.Gauge("orders_in_flight", "Back ends that load now; 0 where the control group is not led."),
		waiting: part.Gauge("orders_waiting", "Orders that wait for others to end; 0 where the control group is not led."),
	}
	c.Set = metrics.Set{c.orders, c.latency, c.loading, c.waiting}
	return c
}

func (c *driverMetrics) recordResult(err error, took time.Duration) {
	outcome := orderLoaded
	if err != nil {
		outcome = orderFailed
	}
	c.orders.WithLabelValues(outcome).Inc()
	c.latency.WithLabelValues(outcome).Observe(took.Seconds())
}

// Collector returns the metrics of the driver for registration.
func (d *Driver) Collector() prometheus.Collector { return d.metrics }

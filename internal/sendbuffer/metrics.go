package sendbuffer

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// causeNames holds the names of the causes in logs and metrics.
var causeNames = map[string]error{"still": ErrStill, "blocked": ErrBlocked, "shed": ErrShed}

// CauseName returns the name of a Cut's cause in logs and metrics, or an empty string for any other error.
func CauseName(cause error) string {
	for name, one := range causeNames {
		if errors.Is(cause, one) {
			return name
		}
	}
	return ""
}

// setMetrics holds the metrics of a set.
type setMetrics struct {
	metrics.Set
	cuts *prometheus.CounterVec
}

func newSetMetrics(set *Set) *setMetrics {
	part := metrics.Part("callers")
	c := &setMetrics{cuts: part.Counter("cut_total", "Connections cut off because their callers did not read, by cause.", "cause")}
	for name := range causeNames {
		c.cuts.WithLabelValues(name)
	}
	slow := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metrics.Namespace, Subsystem: "callers", Name: "slow",
		Help: "Connections whose callers have not read yet what was sent to them."}, func() float64 { return float64(set.Slow()) })
	blocked := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metrics.Namespace, Subsystem: "callers", Name: "blocked",
		Help: "Answers that wait for their callers to read, since there is no room to hold them."}, func() float64 { return float64(set.blocked.Load()) })
	c.Set = metrics.Set{c.cuts, slow, blocked}
	return c
}

func (c *setMetrics) countCut(cause error) { c.cuts.WithLabelValues(CauseName(cause)).Inc() }

// Collector returns the set's metrics.
func (s *Set) Collector() prometheus.Collector { return s.counts }

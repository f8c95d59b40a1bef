package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gateway's counters, served in the Prometheus text form.
type metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	dispatches *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	stages     *prometheus.HistogramVec
}

func newMetrics() *metrics {
	buckets := prometheus.ExponentialBuckets(0.0005, 2, 18)
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarindring_gateway_requests_total",
			Help: "Requests by pool, class, verdict and error code (empty for an answer of the back end)."}, []string{"pool", "class", "verdict", "code"}),
		dispatches: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarindring_gateway_dispatches_total",
			Help: "Sends, resumes and replays to back ends."}, []string{"pool"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarindring_gateway_tokens_total",
			Help: "Streamed tokens passed to callers."}, []string{"pool", "class"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "tamarindring_gateway_request_seconds",
			Help: "Time from a request's arrival to its last byte handed to the connection.", Buckets: buckets}, []string{"pool", "class"}),
		stages: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "tamarindring_gateway_stage_seconds",
			Help: "Time of one stage of a request with a claim.", Buckets: buckets}, []string{"stage"}),
	}
	m.registry.MustRegister(m.requests, m.dispatches, m.tokens, m.latency, m.stages)
	return m
}

// count records a request that is over.
func (m *metrics) count(x *exchange, took time.Duration) {
	pool, class := x.poolLabel(), x.classLabel()
	m.requests.WithLabelValues(pool, class, x.outcome.Verdict.String(), x.outcome.Code).Inc()
	m.latency.WithLabelValues(pool, class).Observe(took.Seconds())
	if tokens := x.machine.Tokens() - x.machine.Request().FirstToken; tokens > 0 {
		m.tokens.WithLabelValues(pool, class).Add(float64(tokens))
	}
	if x.machine.Request().Key == "" {
		return
	}
	for which, spent := range x.stages {
		m.stages.WithLabelValues(stageNames[which]).Observe(spent.Seconds())
	}
}

// poolLabel bounds the label values to pools of the table.
func (x *exchange) poolLabel() string {
	if x.pool == nil {
		return "unknown"
	}
	return x.call.pool
}

// classLabel bounds the label values to the classes that the pool's row names.
func (x *exchange) classLabel() string {
	if x.pool != nil && x.priority < len(x.pool.settings().ClassOrder) {
		return x.call.class
	}
	return "other"
}

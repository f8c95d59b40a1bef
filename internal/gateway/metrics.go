package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/metrics"
)

const metricsSubsystem = "gateway"

// serverMetrics holds the gateway's counters and histograms.
type serverMetrics struct {
	requests           *prometheus.CounterVec
	dispatches         *prometheus.CounterVec
	tokens             *prometheus.CounterVec
	latency            *prometheus.HistogramVec
	stages             *prometheus.HistogramVec
	refusedRetries     prometheus.Counter // retries that the retry budget did not allow
	refusedConnections *prometheus.CounterVec
	// refusedTokens counts requests that were refused because of their token.
	refusedTokens *prometheus.CounterVec
}

func newServerMetrics() *serverMetrics {
	buckets := prometheus.ExponentialBuckets(0.0005, 2, 18)
	return &serverMetrics{
		requests: newCounterVec("requests_total",
			"Requests by pool, class, verdict and error code (empty for an answer of the back end).", "pool", "class", "verdict", "code"),
		dispatches: newCounterVec("dispatches_total",
			"Dispatches to back ends by kind: send, resume of a stream, replay at another back end.", "pool", "kind"),
		tokens: newCounterVec("tokens_total", "Streamed tokens passed to callers.", "pool", "class"),
		latency: newHistogramVec("request_duration_seconds",
			"Time from a request's arrival to its last byte handed to the connection.", buckets, "pool", "class"),
		stages: newHistogramVec("stage_duration_seconds", "Time of one stage of a request with a claim.", buckets, "stage"),
		refusedConnections: newCounterVec("connections_refused_total",
			"Connections refused because too many were open: in total, or from one address.", "limit"),
		refusedTokens: newCounterVec("tokens_refused_total",
			"Requests refused for their token: unauthenticated (none, unknown, wrong, expired) or forbidden (another role).", "code"),
		refusedRetries: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
			Name: "retries_refused_total", Help: "Retries that were not made because the retry budget was used up."}),
	}
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
		Name: name, Help: help}, labels)
}

func newHistogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
		Name: name, Help: help, Buckets: buckets}, labels)
}

// collectors returns all counters and histograms.
func (m *serverMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.dispatches, m.tokens, m.latency, m.stages, m.refusedRetries, m.refusedConnections, m.refusedTokens}
}

// recordRequest records a finished request.
func (m *serverMetrics) recordRequest(x *exchange, took time.Duration) {
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

// recordRefusedConnection records a refused connection and the limit that refused it.
func (m *serverMetrics) recordRefusedConnection(limit string) {
	m.refusedConnections.WithLabelValues(limit).Inc()
}

// recordDispatch records one dispatch.
func (m *serverMetrics) recordDispatch(x *exchange, kind dispatch.ActionKind) {
	m.dispatches.WithLabelValues(x.call.pool, dispatchKinds[kind]).Inc()
}

// poolLabel limits the label values to the pools of the table.
func (x *exchange) poolLabel() string {
	if x.pool == nil {
		return "unknown"
	}
	return x.call.pool
}

// classLabel limits the label values to the classes in the pool's class order.
func (x *exchange) classLabel() string {
	if x.pool != nil && x.priority < len(x.pool.tableRow().ClassOrder) {
		return x.call.class
	}
	return "other"
}

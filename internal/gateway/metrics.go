package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/metrics"
)

const metricsSubsystem = "gateway"

// counts are the gateway's counters, served in the Prometheus text form.
type counts struct {
	requests   *prometheus.CounterVec
	dispatches *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	stages     *prometheus.HistogramVec
	refused    prometheus.Counter // retries that the budget did not allow
	turnedAway *prometheus.CounterVec
	// refusedTokens counts requests without a token that permits them.
	refusedTokens *prometheus.CounterVec
}

func newCounts() *counts {
	buckets := prometheus.ExponentialBuckets(0.0005, 2, 18)
	return &counts{
		requests: counters("requests_total",
			"Requests by pool, class, verdict and error code (empty for an answer of the back end).", "pool", "class", "verdict", "code"),
		dispatches: counters("dispatches_total",
			"Dispatches to back ends by kind: send, resume of a stream, replay at another back end.", "pool", "kind"),
		tokens: counters("tokens_total", "Streamed tokens passed to callers.", "pool", "class"),
		latency: histograms("request_duration_seconds",
			"Time from a request's arrival to its last byte handed to the connection.", buckets, "pool", "class"),
		stages: histograms("stage_duration_seconds", "Time of one stage of a request with a claim.", buckets, "stage"),
		turnedAway: counters("connections_refused_total",
			"Connections refused because too many were open: in total, or from one address.", "limit"),
		refusedTokens: counters("tokens_refused_total",
			"Requests refused for their token: unauthenticated (none, unknown, wrong, expired) or forbidden (another role).", "code"),
		refused: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
			Name: "retries_refused_total", Help: "Retries that were not made because the retry budget was used up."}),
	}
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
		Name: name, Help: help}, labels)
}

func histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
		Name: name, Help: help, Buckets: buckets}, labels)
}

// all lists the collectors.
func (m *counts) all() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.dispatches, m.tokens, m.latency, m.stages, m.refused, m.turnedAway, m.refusedTokens}
}

// count records a request that is over.
func (m *counts) count(x *exchange, took time.Duration) {
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

// countRefusedConnection records a connection that was refused.
func (m *counts) countRefusedConnection(limit string) { m.turnedAway.WithLabelValues(limit).Inc() }

// countDispatch records one dispatch.
func (m *counts) countDispatch(x *exchange, kind dispatch.ActionKind) {
	m.dispatches.WithLabelValues(x.call.pool, dispatchKinds[kind]).Inc()
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

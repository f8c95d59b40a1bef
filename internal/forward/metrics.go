package forward

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/metrics"
	"github.com/tamarindring/tamarindring/internal/replicabytes"
	"github.com/tamarindring/tamarindring/internal/table"
)

// outcomeAnswered is the outcome of a request that received a back end's whole answer. All others are named by their
// Reason.
const outcomeAnswered = "answered"

// Outcomes of sends in addition to refusalNames.
const (
	sendWhole    = "whole"
	sendFailed   = "failed"
	sendUnproven = "unproven" // see unprovenRefusal
)

// forwarderMetrics holds the forwarder's metrics.
type forwarderMetrics struct {
	metrics.Set
	requests    *prometheus.CounterVec
	inFlight    prometheus.Gauge
	latency     *prometheus.HistogramVec
	sends       *prometheus.CounterVec
	sendLatency *prometheus.HistogramVec
	hedges      *prometheus.CounterVec
	retries     *prometheus.CounterVec
	quarantines *prometheus.CounterVec
	share       *prometheus.GaugeVec
	admissions  *prometheus.HistogramVec

	largeBytes   *prometheus.GaugeVec
	largeLimit   *prometheus.GaugeVec
	largeWaiting *prometheus.GaugeVec
	largeWaits   *prometheus.HistogramVec
	crashes      *prometheus.CounterVec
}

func newForwarderMetrics() *forwarderMetrics {
	part := metrics.Part("forward")
	c := &forwarderMetrics{
		requests:    part.Counter("requests_total", "Requests by kind of route (empty: no route) and outcome: answered, or the reason why not.", "kind", "outcome"),
		inFlight:    part.Gauge("requests_in_flight", "Requests that are being answered."),
		latency:     part.Latency("request_duration_seconds", "Time from a request's arrival to its end.", "kind"),
		sends:       part.Counter("sends_total", "Sends to back ends by outcome: whole, failed, unproven (a refusal that does not say that the request did not run), or why it did not run there.", "outcome"),
		sendLatency: part.Latency("send_duration_seconds", "Time from a send to its end, by outcome.", "outcome"),
		hedges:      part.Counter("hedges_total", "Second sends beside a slow first one."),
		retries:     part.Counter("retries_total", "Sends of requests after their first one, by kind and by whether the pool's retry budget permitted them.", "kind", "outcome"),
		quarantines: part.Counter("quarantines_total", "Back ends that got nothing for a while, by what the last failure was.", "health"),
		share:       part.Gauges("shared_slots", "Slots of a pool that this process may fill by its share.", "pool"),
	}
	c.admissions = part.Latency("admission_wait_seconds",
		"Time that a request waited for a slot of its pool, by outcome: granted, caller_gone, or why it was refused.", "outcome")
	c.largeBytes = part.Gauges("large_body_bytes", "Bytes of large bodies of this process at back ends, not answered yet.", "pool")
	c.largeLimit = part.Gauges("large_body_limit_bytes", "Bytes of large bodies of this process that one back end may hold, learned from crashes; 0: no limit is known.", "pool")
	c.largeWaiting = part.Gauges("large_bodies_waiting", "Large bodies that wait for room at a back end.", "pool")
	c.largeWaits = part.Latency("large_body_wait_seconds", "Time that a large body waited for room at a back end, by outcome: ended or refused.", "outcome")
	c.crashes = part.Counter("large_body_crashes_total", "Back ends that crashed while they held large bodies of this process, by the likelier cause: sum or request.", "cause")
	c.Set = metrics.Set{c.requests, c.inFlight, c.latency, c.sends, c.sendLatency, c.hedges, c.retries, c.quarantines, c.share, c.admissions,
		c.largeBytes, c.largeLimit, c.largeWaiting, c.largeWaits, c.crashes}
	return c
}

// countRequest records a finished request. Route names are not used as labels because routes come and go with
// configurations.
func (c *forwarderMetrics) countRequest(kind table.RouteKind, failure *Failure, took time.Duration) {
	outcome := outcomeAnswered
	if failure != nil {
		outcome = failure.Reason.String()
	}
	c.requests.WithLabelValues(string(kind), outcome).Inc()
	c.latency.WithLabelValues(string(kind)).Observe(took.Seconds())
}

// Outcomes of admission in addition to the reasons of refusals.
const (
	admissionGranted = "granted"
	admissionGone    = "caller_gone"
)

// countAdmission records how a request's wait for a slot ended.
func (c *forwarderMetrics) countAdmission(refused admission.Reason, err error, waited time.Duration) {
	outcome := admissionGranted
	switch {
	case err != nil:
		outcome = admissionGone
	case refused != 0:
		outcome = refused.Name()
	}
	c.admissions.WithLabelValues(outcome).Observe(waited.Seconds())
}

// Outcomes of a large body's wait for free space.
const (
	largeEnded   = "ended" // the body was sent, or its caller is gone
	largeRefused = "refused"
)

// countCrash records a back end that crashed while it held large bodies.
func (c *forwarderMetrics) countCrash(crash replicabytes.Crash) {
	cause := "request"
	if crash.ByTotal {
		cause = "sum"
	}
	c.crashes.WithLabelValues(cause).Inc()
}

// countSend records a finished send.
func (c *forwarderMetrics) countSend(a *attempt, took time.Duration) {
	outcome := refusalNames[a.outcome.Refused]
	switch {
	case a.outcome.Complete:
		outcome = sendWhole
	case errors.As(a.outcome.Err, new(unprovenRefusal)):
		outcome = sendUnproven
	case outcome == "":
		outcome = sendFailed
	}
	c.sends.WithLabelValues(outcome).Inc()
	c.sendLatency.WithLabelValues(outcome).Observe(took.Seconds())
}

// Process returns the forwarder's readiness and metrics for the operators' listener.
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
func (p process) Collector() prometheus.Collector { return p.forwarder.metrics }

package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// Reasons why a gateway is not ready.
var (
	errDraining = errors.New("draining: what is in flight is finished, new requests are refused")
	errNoLease  = errors.New("out of touch with the control nodes: the lease on the table has lapsed")
)

// Ready implements metrics.Process. A gateway is ready while it holds a lease and is not draining.
func (s *Server) Ready(context.Context) error {
	if s.draining.Load() {
		return errDraining
	}
	if _, leased := s.config.Control.Admit(); !leased {
		return errNoLease
	}
	return nil
}

// Collector implements metrics.Process.
func (s *Server) Collector() prometheus.Collector { return &collector{server: s} }

// collector exports the gateway's counters and, at each scrape, gauges of its state.
type collector struct{ server *Server }

func describe(name, help string, labels ...string) *prometheus.Desc {
	return metrics.Describe(metricsSubsystem, name, help, labels...)
}

var (
	inFlightDesc     = describe("requests_in_flight", "Requests whose life is not over, those that still have to tell the ledger included.")
	settlementsDesc  = describe("settlements_pending", "Answered requests that still have to tell the ledger how they ended.")
	connectionsDesc  = describe("connections", "Open connections of callers.")
	bufferedDesc     = describe("buffered_bytes", "Bytes of bodies and streamed texts that are held.")
	bufferLimitDesc  = describe("buffered_bytes_limit", "Most bytes of bodies and streamed texts that may be held.")
	leaseDesc        = describe("lease_held", "1 while the lease on the table holds; without it nothing is sent to back ends.")
	tableVersionDesc = describe("table_version", "Version of the table that this gateway acts on.")
	drainingDesc     = describe("draining", "1 while the gateway stops by plan.")
	slotsDesc        = describe("pool_slots", "This gateway's share of the pool's slots.", "pool")
	slotsInUseDesc   = describe("pool_slots_in_use", "Slots in use by live and rollout requests together.", "pool")
	rolloutsDesc     = describe("pool_rollout_slots_in_use", "Slots in use by rollout requests.", "pool")
	queueDesc        = describe("pool_queue_length", "Requests that wait for a slot.", "pool")
	backendsDesc     = describe("pool_backends", "Back ends of the pool by condition: serving, draining (by table, load report or refusal), quarantined after failures, or silent: it answers no load poll.", "pool", "condition")
)

// stateDescs are the descriptions of the gauges that Collect reads from the gateway's state.
var stateDescs = []*prometheus.Desc{inFlightDesc, settlementsDesc, connectionsDesc, bufferedDesc, bufferLimitDesc, leaseDesc,
	tableVersionDesc, drainingDesc, slotsDesc, slotsInUseDesc, rolloutsDesc, queueDesc, backendsDesc}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range stateDescs {
		ch <- desc
	}
	for _, counter := range c.server.metrics.collectors() {
		counter.Describe(ch)
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s := c.server
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	version, leased := s.config.Control.Admit()
	gauge(inFlightDesc, float64(s.inFlight.Load()))
	gauge(settlementsDesc, float64(s.settlements.Load()))
	gauge(connectionsDesc, float64(s.callers.count()))
	gauge(bufferedDesc, float64(s.memory.used.Load()))
	gauge(bufferLimitDesc, float64(s.memory.limit))
	gauge(leaseDesc, metrics.Bool(leased))
	gauge(tableVersionDesc, float64(version))
	gauge(drainingDesc, metrics.Bool(s.draining.Load()))
	for name, p := range s.pools.Load().byName {
		status := p.status(s.now())
		gauge(slotsDesc, float64(status.slots), name)
		gauge(slotsInUseDesc, float64(status.inFlight), name)
		gauge(rolloutsDesc, float64(status.rollouts), name)
		gauge(queueDesc, float64(status.waiting), name)
		gauge(backendsDesc, float64(status.serving), name, "serving")
		gauge(backendsDesc, float64(status.draining), name, "draining")
		gauge(backendsDesc, float64(status.quarantined), name, "quarantined")
		gauge(backendsDesc, float64(status.silent), name, "silent")
	}
	for _, counter := range s.metrics.collectors() {
		counter.Collect(ch)
	}
}

// poolStatus is a snapshot of a pool's slots and back ends, as exported in metrics.
type poolStatus struct {
	slots, inFlight, rollouts, waiting     int
	serving, draining, quarantined, silent int
}

func (p *pool) status(now time.Duration) poolStatus {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	status := poolStatus{slots: p.queue.Slots(), inFlight: p.queue.InFlight(), rollouts: p.queue.Rollouts(), waiting: p.queue.Waiting()}
	for i := range p.replicas.Len() {
		switch {
		case p.replicas.Leaving(i):
			status.draining++
		case p.replicas.IsSilent(i):
			status.silent++
		case p.replicas.Quarantined(i, now):
			status.quarantined++
		default:
			status.serving++
		}
	}
	return status
}

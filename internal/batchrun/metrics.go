package batchrun

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const metricsSubsystem = "batch"

// States of results, as metrics name them.
const (
	stateCompleted  = "completed"
	stateTerminated = "terminated"
)

// counts are the runner's metrics. All are of this node since its start: a node that does not lead runs nothing.
type counts struct {
	results *prometheus.CounterVec
	running prometheus.Gauge
	jobs    prometheus.Gauge
}

func newCounts() *counts {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem, Name: name, Help: help})
	}
	return &counts{
		results: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: metricsSubsystem,
			Name: "results_total", Help: "Results of items that this node made while it led, by state: completed or terminated."}, []string{"state"}),
		running: gauge("items_running", "Items that run at a back end now."),
		jobs:    gauge("jobs_open", "Batch jobs that have not ended, as the leader knows them; 0 on other nodes."),
	}
}

func (c *counts) result(result *wire.JobResult) {
	state := stateTerminated
	if result.GetState() == wire.JobItemState_JOB_ITEM_STATE_COMPLETED {
		state = stateCompleted
	}
	c.results.WithLabelValues(state).Inc()
}

// Collector returns the runner's metrics.
func (r *Runner) Collector() prometheus.Collector { return r.counts }

// Describe implements prometheus.Collector.
func (c *counts) Describe(descs chan<- *prometheus.Desc) {
	c.results.Describe(descs)
	c.running.Describe(descs)
	c.jobs.Describe(descs)
}

// Collect implements prometheus.Collector.
func (c *counts) Collect(samples chan<- prometheus.Metric) {
	c.results.Collect(samples)
	c.running.Collect(samples)
	c.jobs.Collect(samples)
}

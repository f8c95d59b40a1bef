package poisonguard

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// counts holds the guard's metrics.
type counts struct {
	metrics.Set
	suspects prometheus.Gauge
	crashes  *prometheus.CounterVec
	refused  *prometheus.CounterVec
	steps    *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	// unclaimed counts owed runs whose claim was not answered in time.
	unclaimed *prometheus.CounterVec
}

func newCounts() *counts {
	part := metrics.Part("suspects")
	c := &counts{
		suspects: part.Gauge("known", "Requests under which back ends crashed, as this process knows them."),
		crashes:  part.Counter("crashes_total", "Runs of this process under which their back ends crashed."),
		refused:  part.Counter("refused_total", "Runs that were not permitted: the request rests, or its one trial is claimed by another process.", "permission"),
		steps:    part.Counter("steps_total", "Steps on the record of suspects, by step and outcome: taken, overtaken by another process, or failed.", "step", "outcome"),
		dropped:  part.Counter("steps_dropped_total", "Steps that are not on record because there is no room for them, by step.", "step"),
	}
	c.unclaimed = part.Counter("runs_unclaimed_total", "Runs of owed requests that began although the claim was not answered in time.")
	c.Set = metrics.Set{c.suspects, c.crashes, c.refused, c.steps, c.dropped, c.unclaimed}
	return c
}

package coordinator

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

const metricsSubsystem = "coordinator"

// Reasons why a coordinator is not ready.
var (
	errDraining = errors.New("draining: running samples are finished, then other coordinators take the trainers over")
	errNoLease  = errors.New("out of touch with the control nodes: the lease on the table has lapsed")
)

// Ready implements metrics.Process. A coordinator accepts work while it holds a lease and is not draining.
func (s *Server) Ready(context.Context) error {
	if s.draining.Load() {
		return errDraining
	}
	if _, leased := s.session.Admit(); !leased {
		return errNoLease
	}
	return nil
}

// Collector implements metrics.Process.
func (s *Server) Collector() prometheus.Collector { return &collector{server: s} }

// collector reads the server's statistics at each scrape.
type collector struct{ server *Server }

// statsMetric is a metric whose value is read from Stats.
type statsMetric struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(*Stats) float64
}

func newStatsMetric(kind prometheus.ValueType, name, help string, value func(*Stats) float64) statsMetric {
	return statsMetric{desc: metrics.Describe(metricsSubsystem, name, help), kind: kind, value: value}
}

func newCounter(name, help string, value func(*Stats) uint64) statsMetric {
	return newStatsMetric(prometheus.CounterValue, name, help, func(s *Stats) float64 { return float64(value(s)) })
}

func newGauge(name, help string, value func(*Stats) float64) statsMetric {
	return newStatsMetric(prometheus.GaugeValue, name, help, value)
}

const millisPerSecond = 1000

var statsMetrics = []statsMetric{
	newGauge("trainers", "Trainers owned now.", func(s *Stats) float64 { return float64(s.Trainers) }),
	newGauge("samples_running", "Samples in generation, scoring or storing now.", func(s *Stats) float64 { return float64(s.Running) }),
	newGauge("last_wave_seconds", "Longest time that the last weight version of a pool took to reach all replicas.",
		func(s *Stats) float64 { return float64(s.LastWaveMillis) / millisPerSecond }),
	newCounter("steps_opened_total", "Steps opened.", func(s *Stats) uint64 { return s.StepsOpened }),
	newCounter("steps_completed_total", "Steps handed over wholly.", func(s *Stats) uint64 { return s.StepsCompleted }),
	newCounter("samples_finished_total", "Samples generated, scored and stored.", func(s *Stats) uint64 { return s.SamplesFinished }),
	newCounter("samples_handed_over_total", "Samples that their trainers have acknowledged.", func(s *Stats) uint64 { return s.HandedOver }),
	newCounter("samples_discarded_stale_total", "Samples thrown away as older than the staleness bound.", func(s *Stats) uint64 { return s.DiscardedStale }),
	newCounter("tokens_total", "Tokens of finished samples.", func(s *Stats) uint64 { return s.Tokens }),
	newCounter("tokens_discarded_total", "Tokens generated and never handed over.", func(s *Stats) uint64 { return s.DiscardedTokens }),
	newCounter("attempts_interrupted_total", "Attempts at a sample that ended early.", func(s *Stats) uint64 { return s.Interrupted }),
	newCounter("attempts_continued_total", "Attempts that went on from kept tokens.", func(s *Stats) uint64 { return s.Continued }),
	newCounter("attempts_moved_total", "Attempts taken off a replica or gateway that leaves.", func(s *Stats) uint64 { return s.Moved }),
	newCounter("attempts_transferred_total", "Attempts taken off a replica that leaves with their KV cache.",
		func(s *Stats) uint64 { return s.Transferred }),
	newCounter("samples_inherited_total", "Begun samples that a former owner handed over.", func(s *Stats) uint64 { return s.Inherited }),
	newCounter("takeovers_total", "Trainers adopted with open steps.", func(s *Stats) uint64 { return s.Takeovers }),
	newCounter("deposed_total", "Trainers that another coordinator took over.", func(s *Stats) uint64 { return s.Deposed }),
	newCounter("requests_redirected_total", "Trainers' requests sent on to the owner.", func(s *Stats) uint64 { return s.Redirected }),
	newCounter("requests_refused_total", "Trainers' requests refused.", func(s *Stats) uint64 { return s.Refused }),
	newCounter("versions_released_total", "Weight versions that trainers told of.", func(s *Stats) uint64 { return s.VersionsReleased }),
	newCounter("waves_total", "Weight versions that every replica came to serve.", func(s *Stats) uint64 { return s.Waves }),
	newCounter("swaps_total", "Weight swaps of replicas.", func(s *Stats) uint64 { return s.Swaps }),
	newCounter("swap_failures_total", "Weight swaps that failed.", func(s *Stats) uint64 { return s.SwapFailures }),
	newCounter("swap_repairs_total", "Replicas found on a wrong version and ordered again.", func(s *Stats) uint64 { return s.Repairs }),
	newCounter("load_polls_total", "Load reports asked of replicas.", func(s *Stats) uint64 { return s.LoadPolls }),
	newCounter("weight_store_throttled_total", "Orders delayed because the weight store throttled.", func(s *Stats) uint64 { return s.Throttled }),
}

// trainerMetric is a metric with one time series for each owned trainer.
type trainerMetric struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(TrainerStats) float64
}

func newTrainerMetric(kind prometheus.ValueType, name, help string, value func(TrainerStats) float64) trainerMetric {
	return trainerMetric{desc: metrics.Describe(metricsSubsystem, name, help, "trainer"), kind: kind, value: value}
}

var trainerMetrics = []trainerMetric{
	newTrainerMetric(prometheus.CounterValue, "trainer_observed_seconds_total", "Time since the trainer's first fetch here.",
		func(t TrainerStats) float64 { return t.ObservedSeconds }),
	newTrainerMetric(prometheus.CounterValue, "trainer_waited_seconds_total", "Time of it in which a fetch waited: idle, unless the trainer fetches ahead.",
		func(t TrainerStats) float64 { return t.WaitedSeconds }),
	newTrainerMetric(prometheus.GaugeValue, "trainer_staleness_mean", "Mean age of the trainer's samples when handed over, in versions.",
		func(t TrainerStats) float64 { return t.StalenessMean }),
	newTrainerMetric(prometheus.GaugeValue, "trainer_staleness_max", "Age of the oldest of the trainer's samples when handed over, in versions.",
		func(t TrainerStats) float64 { return float64(t.StalenessMax) }),
}

var (
	leaseDesc    = metrics.Describe(metricsSubsystem, "lease_held", "1 while the lease on the table holds; without it nothing is handed over.")
	drainingDesc = metrics.Describe(metricsSubsystem, "draining", "1 while the coordinator stops by plan.")
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(descs chan<- *prometheus.Desc) {
	descs <- leaseDesc
	descs <- drainingDesc
	for _, one := range statsMetrics {
		descs <- one.desc
	}
	for _, one := range trainerMetrics {
		descs <- one.desc
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(found chan<- prometheus.Metric) {
	stats := c.server.Stats()
	_, leased := c.server.session.Admit()
	found <- prometheus.MustNewConstMetric(leaseDesc, prometheus.GaugeValue, metrics.Bool(leased))
	found <- prometheus.MustNewConstMetric(drainingDesc, prometheus.GaugeValue, metrics.Bool(c.server.draining.Load()))
	for _, one := range statsMetrics {
		found <- prometheus.MustNewConstMetric(one.desc, one.kind, one.value(&stats))
	}
	for _, trainer := range stats.TrainerStats {
		for _, one := range trainerMetrics {
			found <- prometheus.MustNewConstMetric(one.desc, one.kind, one.value(trainer), trainer.Trainer)
		}
	}
}

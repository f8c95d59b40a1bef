package coordinator

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

const metricsSubsystem = "coordinator"

// The reasons why a coordinator is not ready.
var (
	errDraining = errors.New("draining: running samples are finished, then other coordinators take the trainers over")
	errNoLease  = errors.New("out of touch with the control nodes: the lease on the table has lapsed")
)

// Ready implements metrics.Process: a coordinator takes work while it holds a lease and does not drain.
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

// collector reads the counts at each scrape.
type collector struct{ server *Server }

// figure is one metric that is read from Stats.
type figure struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(*Stats) float64
}

func newFigure(kind prometheus.ValueType, name, help string, value func(*Stats) float64) figure {
	return figure{desc: metrics.Describe(metricsSubsystem, name, help), kind: kind, value: value}
}

func total(name, help string, value func(*Stats) uint64) figure {
	return newFigure(prometheus.CounterValue, name, help, func(s *Stats) float64 { return float64(value(s)) })
}

func current(name, help string, value func(*Stats) float64) figure {
	return newFigure(prometheus.GaugeValue, name, help, value)
}

const millisPerSecond = 1000

var figures = []figure{
	current("trainers", "Trainers owned now.", func(s *Stats) float64 { return float64(s.Trainers) }),
	current("samples_running", "Samples in generation, scoring or storing now.", func(s *Stats) float64 { return float64(s.Running) }),
	current("last_wave_seconds", "Longest time that the last weight version of a pool took to reach all replicas.",
		func(s *Stats) float64 { return float64(s.LastWaveMillis) / millisPerSecond }),
	total("steps_opened_total", "Steps opened.", func(s *Stats) uint64 { return s.StepsOpened }),
	total("steps_completed_total", "Steps handed over wholly.", func(s *Stats) uint64 { return s.StepsCompleted }),
	total("samples_finished_total", "Samples generated, scored and stored.", func(s *Stats) uint64 { return s.SamplesFinished }),
	total("samples_handed_over_total", "Samples that their trainers have acknowledged.", func(s *Stats) uint64 { return s.HandedOver }),
	total("samples_discarded_stale_total", "Samples thrown away as older than the staleness bound.", func(s *Stats) uint64 { return s.DiscardedStale }),
	total("tokens_total", "Tokens of finished samples.", func(s *Stats) uint64 { return s.Tokens }),
	total("tokens_discarded_total", "Tokens generated and never handed over.", func(s *Stats) uint64 { return s.DiscardedTokens }),
	total("attempts_interrupted_total", "Attempts at a sample that ended early.", func(s *Stats) uint64 { return s.Interrupted }),
	total("attempts_continued_total", "Attempts that went on from kept tokens.", func(s *Stats) uint64 { return s.Continued }),
	total("attempts_moved_total", "Attempts taken off a replica or gateway that leaves.", func(s *Stats) uint64 { return s.Moved }),
	total("attempts_transferred_total", "Attempts taken off a replica that leaves with their KV cache.",
		func(s *Stats) uint64 { return s.Transferred }),
	total("samples_inherited_total", "Begun samples that a former owner handed over.", func(s *Stats) uint64 { return s.Inherited }),
	total("takeovers_total", "Trainers adopted with open steps.", func(s *Stats) uint64 { return s.Takeovers }),
	total("deposed_total", "Trainers that another coordinator took over.", func(s *Stats) uint64 { return s.Deposed }),
	total("requests_redirected_total", "Trainers' requests sent on to the owner.", func(s *Stats) uint64 { return s.Redirected }),
	total("requests_refused_total", "Trainers' requests refused.", func(s *Stats) uint64 { return s.Refused }),
	total("versions_released_total", "Weight versions that trainers told of.", func(s *Stats) uint64 { return s.VersionsReleased }),
	total("waves_total", "Weight versions that every replica came to serve.", func(s *Stats) uint64 { return s.Waves }),
	total("swaps_total", "Weight swaps of replicas.", func(s *Stats) uint64 { return s.Swaps }),
	total("swap_failures_total", "Weight swaps that failed.", func(s *Stats) uint64 { return s.SwapFailures }),
	total("swap_repairs_total", "Replicas found on a wrong version and ordered again.", func(s *Stats) uint64 { return s.Repairs }),
	total("load_polls_total", "Load reports asked of replicas.", func(s *Stats) uint64 { return s.LoadPolls }),
	total("weight_store_throttled_total", "Orders delayed because the weight store throttled.", func(s *Stats) uint64 { return s.Throttled }),
}

// trainerFigure is one metric of each owned trainer.
type trainerFigure struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(TrainerStats) float64
}

func newTrainerFigure(kind prometheus.ValueType, name, help string, value func(TrainerStats) float64) trainerFigure {
	return trainerFigure{desc: metrics.Describe(metricsSubsystem, name, help, "trainer"), kind: kind, value: value}
}

var trainerFigures = []trainerFigure{
	newTrainerFigure(prometheus.CounterValue, "trainer_observed_seconds_total", "Time since the trainer's first fetch here.",
		func(t TrainerStats) float64 { return t.ObservedSeconds }),
	newTrainerFigure(prometheus.CounterValue, "trainer_waited_seconds_total", "Time of it in which a fetch waited: idle, unless the trainer fetches ahead.",
		func(t TrainerStats) float64 { return t.WaitedSeconds }),
	newTrainerFigure(prometheus.GaugeValue, "trainer_staleness_mean", "Mean age of the trainer's samples when handed over, in versions.",
		func(t TrainerStats) float64 { return t.StalenessMean }),
	newTrainerFigure(prometheus.GaugeValue, "trainer_staleness_max", "Age of the oldest of the trainer's samples when handed over, in versions.",
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
	for _, one := range figures {
		descs <- one.desc
	}
	for _, one := range trainerFigures {
		descs <- one.desc
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(found chan<- prometheus.Metric) {
	stats := c.server.Stats()
	_, leased := c.server.session.Admit()
	found <- prometheus.MustNewConstMetric(leaseDesc, prometheus.GaugeValue, metrics.Bool(leased))
	found <- prometheus.MustNewConstMetric(drainingDesc, prometheus.GaugeValue, metrics.Bool(c.server.draining.Load()))
	for _, one := range figures {
		found <- prometheus.MustNewConstMetric(one.desc, one.kind, one.value(&stats))
	}
	for _, trainer := range stats.TrainerStats {
		for _, one := range trainerFigures {
			found <- prometheus.MustNewConstMetric(one.desc, one.kind, one.value(trainer), trainer.Trainer)
		}
	}
}

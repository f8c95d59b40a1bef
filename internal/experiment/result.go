package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Seconds is a duration in seconds.
type Seconds float64

// Latency summarizes a distribution of latencies.
type Latency struct {
	P50  Seconds `json:"p50_seconds"`
	P99  Seconds `json:"p99_seconds"`
	P999 Seconds `json:"p999_seconds"`
	Max  Seconds `json:"max_seconds"`
}

// Run holds the results of one policy with one seed. Unless stated otherwise they cover the time after the warm-up.
type Run struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// IdleShare is the share of their time that the trainers waited, 0 to 1.
	IdleShare float64 `json:"idle_share"`
	// Bound holds the lower bounds for the work of this run.
	Bound Bound `json:"lower_bound"`
	// StepTime is the mean time between two delivered steps of a trainer.
	StepTime Seconds `json:"step_time_seconds"`
	Steps    int     `json:"steps"`
	// Staleness is the distribution of the delivered samples' staleness.
	Staleness Staleness `json:"staleness"`
	// WaitP99 is the 99th percentile of a trainer's wait for one step.
	WaitP99 Seconds `json:"wait_p99_seconds"`
	// RolloutRate is the rate of generated rollout tokens per second, including those that are not delivered.
	// CapacityUsed is RolloutRate divided by Bound.Capacity.
	RolloutRate  float64 `json:"rollout_tokens_per_second"`
	CapacityUsed float64 `json:"capacity_used"`
	// DiscardedShare is the share of the generated rollout tokens that was discarded, 0 to 1.
	DiscardedShare float64 `json:"thrown_away"`
	// SlotPreemptions is the number of times that a sample lost its slot because its gateway preempted it.
	// EnginePreemptions is the number of preemptions within the engines, of all traffic.
	SlotPreemptions   uint64 `json:"yields"`
	EnginePreemptions uint64 `json:"preemptions"`
	// Migrations is the number of times that a sample was migrated from a leaving replica.
	Migrations uint64 `json:"moves"`
	// PrefixReuse is the share of all prompt tokens that were found in the engines' prefix caches, over all traffic
	// of the whole run, including the warm-up.
	PrefixReuse float64 `json:"prefix_reuse"`
	Live        Live    `json:"live"`
	// WeightPropagation is the time from the release of weights until all replicas serve them.
	WeightPropagation Latency `json:"weights_everywhere"`
	// WallTime is the wall-clock time of the run. Unlike the other results it differs between runs with the same seed.
	WallTime Seconds `json:"-"`

	measurement *measurement
}

// Staleness summarizes a distribution of staleness, in weight versions.
type Staleness struct {
	Mean    float64  `json:"mean"`
	P99     int      `json:"p99"`
	Max     int      `json:"max"`
	Samples []uint64 `json:"samples_by_age"`
}

// Live holds the results of the live traffic.
type Live struct {
	// Calls is the number of calls that arrived. Refused counts those that admission rejected, and Lost those without an
	// answer after all attempts.
	Calls      uint64  `json:"calls"`
	Answered   uint64  `json:"answered"`
	Refused    uint64  `json:"refused"`
	Lost       uint64  `json:"lost"`
	Latency    Latency `json:"latency"`
	FirstToken Latency `json:"first_token"`
	// InWaves is the latency of the calls that arrived while some replica did not serve the newest weights yet.
	InWaves Latency `json:"latency_in_waves"`
}

func newRun(s *simulation, wall time.Duration) Run {
	m := s.measurement
	measured := (s.scenario.Duration - s.scenario.Warmup).Seconds()
	run := Run{
		Policy: s.policy.Name, Seed: s.seed, SlotPreemptions: m.slotPreemptions, EnginePreemptions: m.enginePreemptions,
		Migrations: m.migrations, WallTime: Seconds(wall.Seconds()),
		RolloutRate: float64(m.rollouts.tokens) / measured, measurement: m, WeightPropagation: summarizeDurations(m.weightDelays),
		Live: Live{
			Calls: m.live.arrived, Answered: m.live.answered, Refused: m.live.rejected, Lost: m.live.lost,
			Latency: summarizeHistogram(m.live.latency), FirstToken: summarizeHistogram(m.live.firstToken),
			InWaves: summarizeHistogram(m.live.latencyInWaves),
		},
	}
	run.PrefixReuse = s.prefixReuse()
	if m.rollouts.tokens > 0 {
		run.DiscardedShare = float64(m.rollouts.discarded) / float64(m.rollouts.tokens)
	}
	if s.policy.Scheduling == SchedulingNone {
		return run
	}
	run.Bound = m.computeBound()
	if run.Bound.Capacity > 0 {
		run.CapacityUsed = run.RolloutRate / run.Bound.Capacity
	}
	run.addTrainers(m, measured)
	return run
}

func (s *simulation) prefixReuse() float64 {
	hits, computed := 0.0, 0.0
	for _, r := range s.replicas {
		load := r.engine.Load(s.now)
		hits += float64(load.PrefixHits)
		computed += float64(load.Prefilled)
	}
	return ratio(hits, hits+computed)
}

func (r *Run) addTrainers(m *measurement, measured float64) {
	idle := 0.0
	var ages []uint64
	var waits []time.Duration
	for index := range m.trainers {
		one := &m.trainers[index]
		idle += one.idle.Seconds()
		r.Steps += len(one.steps)
		for age, count := range one.samplesByAge {
			for len(ages) <= age {
				ages = append(ages, 0)
			}
			ages[age] += count
		}
		for _, step := range one.steps {
			waits = append(waits, step.wait)
		}
	}
	trainers := float64(len(m.trainers))
	r.IdleShare = idle / measured / trainers
	if r.Steps > 0 {
		r.StepTime = Seconds(measured * trainers / float64(r.Steps))
	}
	r.Staleness = summarizeStaleness(ages)
	r.WaitP99 = quantile(waits, 0.99)
}

func summarizeStaleness(ages []uint64) Staleness {
	result := Staleness{Samples: ages, Max: max(len(ages)-1, 0)}
	total, sum := uint64(0), uint64(0)
	for age, count := range ages {
		total += count
		sum += count * uint64(age)
	}
	if total == 0 {
		return result
	}
	result.Mean = float64(sum) / float64(total)
	below := uint64(0)
	for age, count := range ages {
		below += count
		if float64(below) >= 0.99*float64(total) {
			result.P99 = age
			break
		}
	}
	return result
}

func summarizeHistogram(histogram *hdrhistogram.Histogram) Latency {
	at := func(percent float64) Seconds {
		return Seconds(float64(histogram.ValueAtQuantile(percent)) / 1e6)
	}
	return Latency{P50: at(50), P99: at(99), P999: at(99.9), Max: Seconds(float64(histogram.Max()) / 1e6)}
}

func summarizeDurations(times []time.Duration) Latency {
	return Latency{P50: quantile(times, 0.5), P99: quantile(times, 0.99), P999: quantile(times, 0.999), Max: quantile(times, 1)}
}

func quantile(times []time.Duration, part float64) Seconds {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	position := int(math.Ceil(part*float64(len(sorted)))) - 1
	return Seconds(sorted[max(position, 0)].Seconds())
}

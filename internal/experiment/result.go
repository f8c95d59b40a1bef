package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Seconds is a length of time in seconds.
type Seconds float64

// Latency is a distribution of latencies.
type Latency struct {
	P50  Seconds `json:"p50_seconds"`
	P99  Seconds `json:"p99_seconds"`
	P999 Seconds `json:"p999_seconds"`
	Max  Seconds `json:"max_seconds"`
}

// Run is what one policy did with one seed, after the warm-up.
type Run struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// IdleShare is the part of the trainers' time that they waited, and the bound's.
	IdleShare float64 `json:"idle_share"`
	Bound     Bound   `json:"lower_bound"`
	// StepTime is the mean time from one delivered step to the next.
	StepTime Seconds `json:"step_time_seconds"`
	Steps    int     `json:"steps"`
	// Staleness of the delivered samples, in versions.
	Staleness Staleness `json:"staleness"`
	// LongestWait is the 99th percentile of a trainer's wait for one step.
	LongestWait Seconds `json:"wait_p99_seconds"`
	// RolloutRate is the delivered and undelivered rollout tokens a second; CapacityUsed is its part of what
	// live traffic leaves.
	RolloutRate  float64 `json:"rollout_tokens_per_second"`
	CapacityUsed float64 `json:"capacity_used"`
	// ThrownAway is the part of the generated tokens that was dropped.
	ThrownAway  float64 `json:"thrown_away"`
	Yields      uint64  `json:"yields"`
	Preemptions uint64  `json:"preemptions"`
	// Moves counts the samples that were taken off leaving replicas.
	Moves uint64 `json:"moves"`
	// PrefixReuse is the part of all prompt tokens that were found in the engines' prefix caches, over the
	// whole run and all traffic.
	PrefixReuse float64 `json:"prefix_reuse"`
	Live        Live    `json:"live"`
	// WeightsEverywhere is the time from a release to the last replica serving it.
	WeightsEverywhere Latency `json:"weights_everywhere"`
	// WallTime is how long the run took; not part of what equal seeds repeat.
	WallTime Seconds `json:"-"`

	measure *measurement
}

// Staleness is a distribution of ages in versions.
type Staleness struct {
	Mean    float64  `json:"mean"`
	P99     int      `json:"p99"`
	Max     int      `json:"max"`
	Samples []uint64 `json:"samples_by_age"`
}

// Live is what callers of live traffic saw.
type Live struct {
	Calls      uint64  `json:"calls"`
	Answered   uint64  `json:"answered"`
	Refused    uint64  `json:"refused"`
	Lost       uint64  `json:"lost"`
	Latency    Latency `json:"latency"`
	FirstToken Latency `json:"first_token"`
	// InWaves is the latency of the calls that arrived while new weights were on their way to some replica.
	InWaves Latency `json:"latency_in_waves"`
}

func newRun(s *simulation, wall time.Duration) Run {
	m := s.measure
	measured := (s.scenario.Duration - s.scenario.Warmup).Seconds()
	run := Run{
		Policy: s.policy.Name, Seed: s.seed, Yields: m.yields, Preemptions: m.preempts, Moves: m.moves, WallTime: Seconds(wall.Seconds()),
		RolloutRate: float64(m.generate.tokens) / measured, measure: m, WeightsEverywhere: spread(m.spread),
		Live: Live{
			Calls: m.live.arrived, Answered: m.live.answered, Refused: m.live.refused, Lost: m.live.lost,
			Latency: latency(m.live.latency), FirstToken: latency(m.live.firstToken), InWaves: latency(m.live.inWaves),
		},
	}
	run.PrefixReuse = s.prefixReuse()
	if m.generate.tokens > 0 {
		run.ThrownAway = float64(m.generate.thrown) / float64(m.generate.tokens)
	}
	if s.policy.Scheduling == SchedulingNone {
		return run
	}
	run.Bound = m.bound()
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
		for age, count := range one.staleness {
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
	r.Staleness = staleness(ages)
	r.LongestWait = quantile(waits, 0.99)
}

func staleness(ages []uint64) Staleness {
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

func latency(histogram *hdrhistogram.Histogram) Latency {
	at := func(percent float64) Seconds {
		return Seconds(float64(histogram.ValueAtQuantile(percent)) / 1e6)
	}
	return Latency{P50: at(50), P99: at(99), P999: at(99.9), Max: Seconds(float64(histogram.Max()) / 1e6)}
}

func spread(times []time.Duration) Latency {
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

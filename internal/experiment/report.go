package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

// Report holds the results of one experiment: a summary of each policy, and all runs.
type Report struct {
	Scenario    string    `json:"scenario"`
	Description string    `json:"description"`
	Duration    Seconds   `json:"duration_seconds"`
	Warmup      Seconds   `json:"warmup_seconds"`
	Seeds       []uint64  `json:"seeds"`
	Policies    []Summary `json:"policies"`
	Runs        []Run     `json:"runs"`

	scenario *Scenario
}

// Spread holds the mean, minimum and maximum of a figure over the seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Summary aggregates the runs of one policy over all seeds. Its figures are defined by the fields of Run.
type Summary struct {
	Policy         string `json:"policy"`
	IdleShare      Spread `json:"idle_share"`
	BoundIdleShare Spread `json:"lower_bound_idle_share"`
	StepTime       Spread `json:"step_time_seconds"`
	// StepTimeOverBound is the step time as a multiple of its lower bound.
	StepTimeOverBound Spread `json:"step_time_over_lower_bound"`
	StalenessMean     Spread `json:"staleness_mean"`
	StalenessMax      Spread `json:"staleness_max"`
	DiscardedShare    Spread `json:"thrown_away"`
	RolloutRate       Spread `json:"rollout_tokens_per_second"`
	CapacityUsed      Spread `json:"capacity_used"`
	PrefixReuse       Spread `json:"prefix_reuse"`
	LiveP50           Spread `json:"live_p50_seconds"`
	LiveP99           Spread `json:"live_p99_seconds"`
	LiveP999          Spread `json:"live_p999_seconds"`
	FirstTokenP99     Spread `json:"live_first_token_p99_seconds"`
	// LiveP99OverNoRollouts is the live p99 latency as a multiple of the p99 latency without rollouts and with the
	// same seed. It is 0 if no policy runs without rollouts.
	LiveP99OverNoRollouts Spread `json:"live_p99_over_rollouts_off"`
	// LiveP99InWavesOverNoRollouts is the p99 latency of live calls that arrived while new weights were being rolled
	// out, as a multiple of the p99 latency of all live calls without rollouts and with the same seed. It is 0 if no
	// policy runs without rollouts.
	LiveP99InWavesOverNoRollouts Spread `json:"live_p99_in_waves_over_rollouts_off"`
	// LiveFailed is the number of live calls that were refused or lost.
	LiveFailed           Spread `json:"live_refused_or_lost"`
	WeightPropagationP99 Spread `json:"weights_everywhere_p99_seconds"`
	// Speed is the virtual time simulated per wall-clock time. It depends on the machine.
	Speed float64 `json:"-"`
}

func newReport(scenario *Scenario, runs []Run) *Report {
	report := &Report{
		Scenario: scenario.Name, Description: scenario.Description, Seeds: scenario.Seeds, Runs: runs, scenario: scenario,
		Duration: Seconds(scenario.Duration.Seconds()), Warmup: Seconds(scenario.Warmup.Seconds()),
	}
	seeds := len(scenario.Seeds)
	var noRollouts []Run
	for index := range scenario.Policies {
		if scenario.Policies[index].Scheduling == SchedulingNone {
			noRollouts = runs[index*seeds : (index+1)*seeds]
		}
	}
	for index := range scenario.Policies {
		report.Policies = append(report.Policies, summarize(scenario, runs[index*seeds:(index+1)*seeds], noRollouts))
	}
	return report
}

func summarize(scenario *Scenario, runs, noRollouts []Run) Summary {
	spreadOver := func(figure func(index int, run *Run) float64) Spread {
		values := make([]float64, len(runs))
		for index := range runs {
			values[index] = figure(index, &runs[index])
		}
		return newSpread(values)
	}
	spreadOfRuns := func(figure func(run *Run) float64) Spread {
		return spreadOver(func(_ int, run *Run) float64 { return figure(run) })
	}
	spreadOverNoRollouts := func(figure func(run *Run) Seconds) Spread {
		return spreadOver(func(index int, r *Run) float64 {
			if noRollouts == nil {
				return 0
			}
			return ratio(float64(figure(r)), float64(noRollouts[index].Live.Latency.P99))
		})
	}
	wall := 0.0
	for index := range runs {
		wall += float64(runs[index].WallTime)
	}
	return Summary{
		Policy:                       runs[0].Policy,
		IdleShare:                    spreadOfRuns(func(r *Run) float64 { return r.IdleShare }),
		BoundIdleShare:               spreadOfRuns(func(r *Run) float64 { return r.Bound.IdleShare }),
		StepTime:                     spreadOfRuns(func(r *Run) float64 { return float64(r.StepTime) }),
		StepTimeOverBound:            spreadOfRuns(func(r *Run) float64 { return ratio(float64(r.StepTime), float64(r.Bound.StepTime)) }),
		StalenessMean:                spreadOfRuns(func(r *Run) float64 { return r.Staleness.Mean }),
		StalenessMax:                 spreadOfRuns(func(r *Run) float64 { return float64(r.Staleness.Max) }),
		DiscardedShare:               spreadOfRuns(func(r *Run) float64 { return r.DiscardedShare }),
		RolloutRate:                  spreadOfRuns(func(r *Run) float64 { return r.RolloutRate }),
		CapacityUsed:                 spreadOfRuns(func(r *Run) float64 { return r.CapacityUsed }),
		PrefixReuse:                  spreadOfRuns(func(r *Run) float64 { return r.PrefixReuse }),
		LiveP50:                      spreadOfRuns(func(r *Run) float64 { return float64(r.Live.Latency.P50) }),
		LiveP99:                      spreadOfRuns(func(r *Run) float64 { return float64(r.Live.Latency.P99) }),
		LiveP999:                     spreadOfRuns(func(r *Run) float64 { return float64(r.Live.Latency.P999) }),
		FirstTokenP99:                spreadOfRuns(func(r *Run) float64 { return float64(r.Live.FirstToken.P99) }),
		LiveP99OverNoRollouts:        spreadOverNoRollouts(func(r *Run) Seconds { return r.Live.Latency.P99 }),
		LiveP99InWavesOverNoRollouts: spreadOverNoRollouts(func(r *Run) Seconds { return r.Live.InWaves.P99 }),
		LiveFailed:                   spreadOfRuns(func(r *Run) float64 { return float64(r.Live.Refused + r.Live.Lost) }),
		WeightPropagationP99:         spreadOfRuns(func(r *Run) float64 { return float64(r.WeightPropagation.P99) }),
		Speed:                        ratio(scenario.Duration.Seconds()*float64(len(runs)), wall),
	}
}

func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return value / base
}

func newSpread(values []float64) Spread {
	spread := Spread{Min: values[0], Max: values[0]}
	for _, value := range values {
		spread.Mean += value / float64(len(values))
		spread.Min = min(spread.Min, value)
		spread.Max = max(spread.Max, value)
	}
	return spread
}

// Write writes report.json, report.md and the plots into folder, and creates the folder if it does not exist.
func (r *Report) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "report.json"), append(content, '\n'), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "report.md"), []byte(r.Markdown()), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	return r.writePlots(folder)
}

package experiment

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/strictyaml"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// Scenario describes one experiment: a fleet, its load, its faults and the policies to compare.
type Scenario struct {
	// Name appears in the report. Required.
	Name string `yaml:"name"`
	// Description is a one-line summary of the modelled system.
	Description string `yaml:"description"`
	// Duration is the length of each run in virtual time. Default 30m.
	Duration time.Duration `yaml:"duration"`
	// Warmup is the time at the start of each run that is excluded from the results. Default a fifth of the duration.
	Warmup time.Duration `yaml:"warmup"`
	// Seeds lists the random seeds. Each policy runs once with each seed. Default 1, 2, 3.
	Seeds []uint64 `yaml:"seeds"`
	// Fleet describes the replicas, the gateways and the delays between them.
	Fleet Fleet `yaml:"fleet"`
	// Table holds the pool settings that operators would set.
	Table Table `yaml:"table"`
	// Live lists the sources of live traffic. Default none.
	Live []workload.Source `yaml:"live"`
	// Trainers lists the trainers, which generate the rollout demand. At least one.
	Trainers []Trainer `yaml:"trainers"`
	// Weights describes how new weights reach the replicas.
	Weights Weights `yaml:"weights"`
	// Faults lists the faults to inject. Default none.
	Faults []Fault `yaml:"faults"`
	// Policies lists the policies to compare, including the baselines. At least one.
	Policies []Policy `yaml:"policies"`
}

// Fleet describes the replicas, the gateways and the delays between them.
type Fleet struct {
	// Zones lists the zones that hold the replicas and gateways. At least one.
	Zones []Zone `yaml:"zones"`
	// Gateways is the number of gateways, assigned to the zones round-robin. Default 3.
	Gateways int `yaml:"gateways"`
	// Engine holds the parameters of the simulated engines. Each has a default.
	Engine engine.Parameters `yaml:"engine"`
	// ZoneDelay is the one-way network delay between zones of a region. Within a zone the delay is a tenth of it.
	// Default 500µs.
	ZoneDelay time.Duration `yaml:"zone_delay"`
	// RegionDelay is the one-way network delay between regions. Default 15ms.
	RegionDelay time.Duration `yaml:"region_delay"`
	// ReportInterval is the time between two load reports of a replica. Default 500ms.
	ReportInterval time.Duration `yaml:"report_interval"`
	// ReportLag is the age of a load report when it arrives at a gateway. Default 500ms.
	ReportLag time.Duration `yaml:"report_lag"`
}

// Zone describes one zone and its replicas.
type Zone struct {
	// Name identifies the zone. Required, unique.
	Name string `yaml:"name"`
	// Region is the region of the zone. Required.
	Region string `yaml:"region"`
	// Replicas is the number of replicas in the zone.
	Replicas int `yaml:"replicas"`
}

// Table holds the pool's row of the settings table, under the column names of that table.
type Table struct {
	// MaxInFlight is the maximum number of requests in flight per replica. Default the engine's max_batch.
	MaxInFlight int `yaml:"max_in_flight"`
	// RolloutShare is the maximum share of the slots that rollouts may hold, in percent. Default 90.
	RolloutShare int `yaml:"rollout_share"`
	// QueueLimit is the maximum number of queued requests, summed over all gateways. Default 2000.
	QueueLimit int `yaml:"queue_limit"`
	// QueueWait is the maximum time that a request waits for a slot. Default 10s.
	QueueWait time.Duration `yaml:"queue_wait"`
	// StalenessBound is the maximum staleness of a sample on delivery, in weight versions. Default 2.
	StalenessBound uint64 `yaml:"staleness_bound"`
}

// Trainer describes the rollout demand of one trainer.
type Trainer struct {
	// Name identifies the trainer. Required, unique.
	Name string `yaml:"name"`
	// Share is the trainer's relative share of the rollout capacity. Default 1.
	Share float64 `yaml:"share"`
	// PromptsPerStep is the number of prompts in a step. Default 64.
	PromptsPerStep int `yaml:"prompts_per_step"`
	// SamplesPerPrompt is the number of samples generated for each prompt, which form a group. Default 8.
	SamplesPerPrompt int `yaml:"samples_per_prompt"`
	// PromptTokens is the distribution of prompt lengths. The samples of a group share their prompt.
	// Default median 512, sigma 0.3.
	PromptTokens workload.Length `yaml:"prompt_tokens"`
	// OutputTokens is the distribution of the typical sample length of a group. Default median 600, sigma 0.6.
	OutputTokens workload.Length `yaml:"output_tokens"`
	// GroupSigma is the sigma of the lognormal factor by which a sample's length differs from the typical length of
	// its group. Default 0.3.
	GroupSigma float64 `yaml:"group_sigma"`
	// TrainTime is the time to train on one step. Default 2m.
	TrainTime time.Duration `yaml:"train_time"`
	// TrainJitter is the sigma of the lognormal factor applied to TrainTime. Default 0.05.
	TrainJitter float64 `yaml:"train_jitter"`
	// StepsAhead is the number of steps that are open beyond the one that the trainer waits for. Default the
	// staleness bound.
	StepsAhead int `yaml:"steps_ahead"`
	// ScoreTime is the time to score a sample. Default 300ms.
	ScoreTime time.Duration `yaml:"score_time"`
}

// Weights describes the distribution of new weights to the replicas.
type Weights struct {
	// FetchTime is the time that a replica takes to copy the weights, from the store or from another replica.
	// Default 2s.
	FetchTime time.Duration `yaml:"fetch_time"`
	// StoreStreams is the number of copies that the rate-limited store serves concurrently. Each replica that has
	// the weights serves one further copy. Default 4.
	StoreStreams int `yaml:"store_streams"`
	// SwapShare is the maximum share of the replicas that swap weights concurrently, in percent. Default 20.
	SwapShare int `yaml:"swap_share"`
}

// Load reads a scenario from a file and fills in the defaults. The error for an unknown field or an invalid value
// names file, line and field.
func Load(path string) (Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, trace.ConvertSystemError(err)
	}
	return Parse(path, content)
}

// Parse reads a scenario from YAML, fills in the defaults and validates it. Errors refer to the content by the name
// file.
func Parse(file string, content []byte) (Scenario, error) {
	var parsed Scenario
	if err := strictyaml.Decode(file, content, &parsed); err != nil {
		return Scenario{}, err
	}
	parsed.setDefaults()
	if err := parsed.Validate(); err != nil {
		return Scenario{}, strictyaml.Locate(file, content, err)
	}
	return parsed, nil
}

func (s *Scenario) setDefaults() {
	defaults.Set(&s.Duration, 30*time.Minute)
	defaults.Set(&s.Warmup, s.Duration/5)
	if len(s.Seeds) == 0 {
		s.Seeds = []uint64{1, 2, 3}
	}
	s.Fleet.setDefaults()
	defaults.Set(&s.Table.MaxInFlight, s.Fleet.Engine.MaxBatch)
	defaults.Set(&s.Table.RolloutShare, 90)
	defaults.Set(&s.Table.QueueLimit, 2000)
	defaults.Set(&s.Table.QueueWait, 10*time.Second)
	defaults.Set(&s.Table.StalenessBound, 2)
	defaults.Set(&s.Weights.FetchTime, 2*time.Second)
	defaults.Set(&s.Weights.StoreStreams, 4)
	defaults.Set(&s.Weights.SwapShare, 20)
	for index := range s.Live {
		defaults.Set(&s.Live[index].Pool, "model")
	}
	live := workload.Workload{Sources: s.Live}
	live.SetDefaults()
	for index := range s.Trainers {
		s.Trainers[index].setDefaults(int(s.Table.StalenessBound))
	}
	for index := range s.Faults {
		s.Faults[index].setDefaults()
	}
	for index := range s.Policies {
		s.Policies[index].setDefaults()
	}
}

func (f *Fleet) setDefaults() {
	defaults.Set(&f.Gateways, 3)
	f.Engine.SetDefaults()
	f.Engine.CacheEvents = -1
	defaults.Set(&f.ZoneDelay, 500*time.Microsecond)
	defaults.Set(&f.RegionDelay, 15*time.Millisecond)
	defaults.Set(&f.ReportInterval, 500*time.Millisecond)
	defaults.Set(&f.ReportLag, 500*time.Millisecond)
}

func (t *Trainer) setDefaults(stepsAhead int) {
	defaults.Set(&t.Share, 1)
	defaults.Set(&t.PromptsPerStep, 64)
	defaults.Set(&t.SamplesPerPrompt, 8)
	if t.PromptTokens.Median == 0 {
		defaults.Set(&t.PromptTokens.Sigma, 0.3)
	}
	t.PromptTokens.SetDefaults(512)
	t.OutputTokens.SetDefaults(600)
	defaults.Set(&t.GroupSigma, 0.3)
	defaults.Set(&t.TrainTime, 2*time.Minute)
	defaults.Set(&t.TrainJitter, 0.05)
	defaults.Set(&t.StepsAhead, stepsAhead)
	defaults.Set(&t.ScoreTime, 300*time.Millisecond)
}

// Replicas returns the number of replicas in all zones.
func (f *Fleet) Replicas() int {
	count := 0
	for _, zone := range f.Zones {
		count += zone.Replicas
	}
	return count
}

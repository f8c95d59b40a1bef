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

// Scenario is one experiment: a fleet, its load, its faults and the policies to compare on it.
type Scenario struct {
	// Name appears in the report. Required.
	Name string `yaml:"name"`
	// Description is one line on what is modelled.
	Description string `yaml:"description"`
	// Duration is the virtual time of each run. Default 30m.
	Duration time.Duration `yaml:"duration"`
	// Warmup is the part at the start that is not measured. Default a fifth of the duration.
	Warmup time.Duration `yaml:"warmup"`
	// Seeds are the seeds of the runs: each policy runs once with each. Default 1, 2, 3.
	Seeds []uint64 `yaml:"seeds"`
	// Fleet is the machines and the platform's manners.
	Fleet Fleet `yaml:"fleet"`
	// Table is the cells that operators would set.
	Table Table `yaml:"table"`
	// Live is the sources of live traffic. Default none.
	Live []workload.Source `yaml:"live"`
	// Trainers are the rollout demand. At least one.
	Trainers []Trainer `yaml:"trainers"`
	// Weights is how new weights reach the replicas.
	Weights Weights `yaml:"weights"`
	// Faults are what goes wrong. Default nothing.
	Faults []Fault `yaml:"faults"`
	// Policies are what is compared, the baselines included. At least one.
	Policies []Policy `yaml:"policies"`
}

// Fleet describes the machines.
type Fleet struct {
	// Zones are the halls that hold the replicas and gateways. At least one.
	Zones []Zone `yaml:"zones"`
	// Gateways is the number of gateways, spread over the zones in turn. Default 3.
	Gateways int `yaml:"gateways"`
	// Engine is the engine's parameters; each has a default.
	Engine engine.Parameters `yaml:"engine"`
	// ZoneDelay is the one-way delay inside a region. Default 500µs; inside a zone it is a tenth of it.
	ZoneDelay time.Duration `yaml:"zone_delay"`
	// RegionDelay is the one-way delay between regions. Default 15ms.
	RegionDelay time.Duration `yaml:"region_delay"`
	// ReportInterval is the time between a replica's load reports. Default 500ms.
	ReportInterval time.Duration `yaml:"report_interval"`
	// ReportLag is how old a report is on arrival. Default 500ms.
	ReportLag time.Duration `yaml:"report_lag"`
}

// Zone is one hall.
type Zone struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Region is the region that the zone is in. Required.
	Region string `yaml:"region"`
	// Replicas is the number of engines there.
	Replicas int `yaml:"replicas"`
}

// Table is the pool's row, under the table's column names.
type Table struct {
	// MaxInFlight is the limit of each replica. Default the engine's max_batch.
	MaxInFlight int `yaml:"max_in_flight"`
	// RolloutShare is the part of the slots that rollouts may hold, in percent. Default 90.
	RolloutShare int `yaml:"rollout_share"`
	// QueueLimit is how many requests may wait at all gateways together. Default 2000.
	QueueLimit int `yaml:"queue_limit"`
	// QueueWait is the longest wait for a slot. Default 10s.
	QueueWait time.Duration `yaml:"queue_wait"`
	// StalenessBound is the greatest age of a sample on delivery, in versions. Default 2.
	StalenessBound uint64 `yaml:"staleness_bound"`
}

// Trainer is one trainer's demand.
type Trainer struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Share is its relative part of the room for rollouts. Default 1.
	Share float64 `yaml:"share"`
	// PromptsPerStep is the number of prompts of a step. Default 64.
	PromptsPerStep int `yaml:"prompts_per_step"`
	// SamplesPerPrompt is the size of a group. Default 8.
	SamplesPerPrompt int `yaml:"samples_per_prompt"`
	// PromptTokens is the length of a prompt, which its group shares. Default median 512, sigma 0.3.
	PromptTokens workload.Length `yaml:"prompt_tokens"`
	// OutputTokens is the typical length of a group's samples, with its tail. Default median 600, sigma 0.6.
	OutputTokens workload.Length `yaml:"output_tokens"`
	// GroupSigma is the sigma of the lognormal factor between the samples of one group. Default 0.3.
	GroupSigma float64 `yaml:"group_sigma"`
	// TrainTime is the time of training on one step. Default 2m.
	TrainTime time.Duration `yaml:"train_time"`
	// TrainJitter is the sigma of its lognormal factor. Default 0.05.
	TrainJitter float64 `yaml:"train_jitter"`
	// StepsAhead is how many steps are open beyond the one that is wanted. Default the staleness bound.
	StepsAhead int `yaml:"steps_ahead"`
	// ScoreTime is how long a sample's score takes. Default 300ms.
	ScoreTime time.Duration `yaml:"score_time"`
}

// Weights describes the way of new weights to the replicas.
type Weights struct {
	// FetchTime is how long one replica's copy from the weight store takes. Default 2s.
	FetchTime time.Duration `yaml:"fetch_time"`
	// StoreStreams is how many copies the rate-limited store serves at once. Default 4; replicas that have
	// the weights pass them on to others.
	StoreStreams int `yaml:"store_streams"`
	// SwapShare is the part of the replicas that may swap at once, in percent. Default 20.
	SwapShare int `yaml:"swap_share"`
}

// Load reads a scenario; unknown fields and impossible values are refused with file, line and field.
func Load(path string) (Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, trace.ConvertSystemError(err)
	}
	return Parse(path, content)
}

// Parse reads a scenario from YAML, fills in the defaults and checks it. Errors call the content file.
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

// Replicas is the number of replicas of all zones.
func (f *Fleet) Replicas() int {
	count := 0
	for _, zone := range f.Zones {
		count += zone.Replicas
	}
	return count
}

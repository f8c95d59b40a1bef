package fleet

import (
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// Pools in the table of every deployment.
const (
	poolModel = "model" // engines, for live completions and rollouts
	// poolNarrow contains the application replicas with a limit of one request each and without a queue, so that
	// bursts are rejected as not run.
	poolNarrow = "narrow"
)

// Names of the callers' traffic sources.
const (
	sourceLive   = "live"
	sourceBursts = "bursts" // some of its requests are expected to be rejected
)

// Deployment describes a user's fleet at its present size.
type Deployment struct {
	Name            string
	Zones           []string
	ControlNodes    int
	Gateways        int
	Coordinators    int
	Engines         int
	Applications    int
	ApplicationPool string
	Operation       string // operation of the application pool: push or join
	// Trainer describes the deployment's training.
	Trainer TrainerShape
}

// TrainerShape contains the settings in which the users' trainers differ.
type TrainerShape struct {
	Prompts          int // per step
	SamplesPerPrompt int
	MaxTokens        int
	TrainTime        time.Duration
	StepsAhead       int
	StalenessBound   uint64 // initial bound in weight versions; the operator changes it
}

// Deployments returns the known deployments.
func Deployments() []Deployment {
	today := Deployment{ControlNodes: 3, Gateways: 3, Coordinators: 2, Engines: 10, Applications: 3}
	vltava, dalanet := today, today
	vltava.Name, vltava.Zones = "vltava", []string{"prague-1", "prague-2", "brno-1"}
	vltava.ApplicationPool, vltava.Operation = "push", "push"
	vltava.Trainer = TrainerShape{Prompts: 8, SamplesPerPrompt: 4, MaxTokens: 192, TrainTime: 800 * time.Millisecond,
		StepsAhead: 1, StalenessBound: 2}
	dalanet.Name, dalanet.Zones = "dalanet", []string{"almaty-1", "almaty-2", "almaty-3"}
	dalanet.ApplicationPool, dalanet.Operation = "bridge", "join"
	dalanet.Trainer = TrainerShape{Prompts: 8, SamplesPerPrompt: 4, MaxTokens: 256, TrainTime: 800 * time.Millisecond,
		StepsAhead: 2, StalenessBound: 3}
	return []Deployment{vltava, dalanet}
}

// FindDeployment returns the deployment with the given name, or a BadParameter error that lists the known names.
func FindDeployment(name string) (Deployment, error) {
	var names []string
	for _, known := range Deployments() {
		if known.Name == name {
			return known, nil
		}
		names = append(names, known.Name)
	}
	return Deployment{}, trace.BadParameter("deployment %q is unknown: want %s", name, strings.Join(names, " or "))
}

// zone assigns the parts of one kind to the zones in turn.
func (d Deployment) zone(index int) string { return d.Zones[index%len(d.Zones)] }

// engineParameters returns the parameters of a fast engine, because the users' step times are unknown and a
// demonstration of 20 seconds should show several training steps and weight swaps.
func engineParameters() engine.Parameters {
	parameters := engine.DefaultParameters()
	parameters.StepBase = 10 * time.Millisecond
	parameters.SwapTime = 100 * time.Millisecond
	parameters.StageTime = 200 * time.Millisecond
	return parameters
}

// callers returns the callers' workload: live completions, the deployment's non-idempotent calls, and bursts of these
// to the narrow pool.
func (d Deployment) callers(liveRate, operationRate float64) workload.Workload {
	const (
		operationDeadline = 10 * time.Second
		burstRate         = 2
		burstEvery        = 400 * time.Millisecond
		burstSize         = 16
	)
	made := workload.Workload{Sources: []workload.Source{
		{Name: sourceLive, Pool: poolModel, Arrival: workload.Arrival{PerSecond: liveRate}, StreamedShare: 0.6, ChatShare: 0.3,
			Sharing: workload.Sharing{Prefixes: 4, PrefixTokens: 128}},
		{Name: d.Operation, Pool: d.ApplicationPool, Service: workload.ServiceApplication, Operation: d.Operation,
			Deadline: operationDeadline, Arrival: workload.Arrival{PerSecond: operationRate}},
		{Name: sourceBursts, Pool: poolNarrow, Service: workload.ServiceApplication, Operation: d.Operation,
			Deadline: operationDeadline, Arrival: workload.Arrival{Process: workload.ProcessBursts, PerSecond: burstRate,
				BurstEvery: burstEvery, BurstSize: burstSize}},
	}}
	made.SetDefaults()
	return made
}

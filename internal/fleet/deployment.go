package fleet

import (
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// The pools of every deployment's table.
const (
	poolModel = "model" // engines: live completions and rollouts
	// poolNarrow has the application replicas under a limit of one request each and no queue, so that
	// bursts are refused as not run.
	poolNarrow = "narrow"
)

// Names of the callers' sources.
const (
	sourceLive   = "live"
	sourceBursts = "bursts" // expected to be refused in part
)

// Deployment is one user's fleet at its size of today.
type Deployment struct {
	Name            string
	Zones           []string
	ControlNodes    int
	Gateways        int
	Coordinators    int
	Engines         int
	Applications    int
	ApplicationPool string
	Operation       string // of the application pool: push or join
	// Trainer is how the deployment trains.
	Trainer TrainerShape
}

// TrainerShape is what differs between the users' trainers.
type TrainerShape struct {
	Prompts          int // of a step
	SamplesPerPrompt int
	MaxTokens        int
	TrainTime        time.Duration
	StepsAhead       int
	StalenessBound   uint64 // versions, at the start; the operator changes it
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

// FindDeployment returns the deployment of a name.
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

// zone spreads the parts of one kind over the zones.
func (d Deployment) zone(index int) string { return d.Zones[index%len(d.Zones)] }

// engineParameters are a quick engine's: the users don't know their step times, and a demonstration of 20
// seconds is to see several training steps and weight swaps.
func engineParameters() engine.Parameters {
	parameters := engine.DefaultParameters()
	parameters.StepBase = 10 * time.Millisecond
	parameters.SwapTime = 100 * time.Millisecond
	parameters.StageTime = 200 * time.Millisecond
	return parameters
}

// callers is the callers' workload: live completions, the deployment's non-repeatable calls, and bursts of
// them at the narrow pool.
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

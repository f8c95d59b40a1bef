package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/bench/slope"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/coordinator"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/standin/scorer"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// The fitted quantities of one coordinator: a step is opened, generated through a gateway, scored, stored
// and handed over. Sizes are the step's samples, of coordinatorTokens tokens each.
const (
	CoordinatorCores  = "coordinator: processor time for a step's samples"
	CoordinatorMemory = "coordinator: live memory for a step's samples, all parts of the deployment"
)

const (
	roleCoordinator    = "coordinator"
	coordinatorEngines = 4
	coordinatorTokens  = 64
	stepTimeout        = 90 * time.Second
)

// stepSizes are the measured steps, in samples.
func stepSizes() []int { return []int{256, 512, 1024, 2048} }

// Coordinator is the result.
type Coordinator struct {
	Tokens int                `json:"tokens_per_sample"`
	Points []CoordinatorPoint `json:"points"`
	Lines  []slope.Line       `json:"lines"`
}

// CoordinatorPoint is one step.
type CoordinatorPoint struct {
	Samples          int     `json:"samples"`
	Seconds          float64 `json:"seconds"`
	CoordinatorCores float64 `json:"coordinator_cores"`
	ProcessCores     float64 `json:"process_cores"`
	LiveBytes        uint64  `json:"live_bytes"` // when the step was handed over
}

// rolloutFleet is one coordinator with what it needs.
type rolloutFleet struct {
	control     *rig.Control
	coordinator *coordinator.Server
	backends    []runner
	closers     []func()
	running     sync.WaitGroup
}

type runner interface {
	Address() string
	Run(ctx context.Context) error
}

func (r *run) coordinator(ctx context.Context, folder string) error {
	ctx, stop := context.WithCancel(ctx)
	f := &rolloutFleet{}
	defer f.close(stop)
	if err := f.start(ctx, folder); err != nil {
		return err
	}
	result := &Coordinator{Tokens: coordinatorTokens}
	for _, size := range stepSizes() {
		point, err := f.step(ctx, size)
		if err != nil {
			return trace.Wrap(err, "a step of %d samples", size)
		}
		result.Points = append(result.Points, point)
	}
	size := func(p CoordinatorPoint) float64 { return float64(p.Samples) }
	cpu, err := fitPoints(CoordinatorCores, "s", "sample", result.Points, size, func(p CoordinatorPoint) float64 { return p.CoordinatorCores * p.Seconds })
	if err != nil {
		return err
	}
	memory, err := fitPoints(CoordinatorMemory, "bytes", "sample", result.Points, size, func(p CoordinatorPoint) float64 { return float64(p.LiveBytes) })
	result.Lines = []slope.Line{cpu, memory}
	r.report.Coordinator = result
	return err
}

func (f *rolloutFleet) start(ctx context.Context, folder string) (err error) {
	if f.control, err = rig.StartControl(rig.Options{Nodes: 1, Folder: folder}); err != nil {
		return err
	}
	scores, err := scorer.New(scorer.Config{Listen: "127.0.0.1:0", Log: logging.Discard()})
	if err != nil {
		return err
	}
	f.runAs(ctx, roleBackend, scores)
	if err := f.startEngines(ctx); err != nil {
		return err
	}
	if err := f.fillTable(ctx); err != nil {
		return err
	}
	stopGateway, err := startGateway(ctx, f.control.Addresses)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, stopGateway)
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	rolecost.Do(startContext, roleCoordinator, func(startContext context.Context) {
		f.coordinator, err = coordinator.Open(startContext, coordinator.Config{Name: "coordinator-1", Listen: "127.0.0.1:0",
			Scorer: scores.Address(), Control: controlclient.Config{Addresses: f.control.Addresses}, Log: logging.Discard()})
	})
	if err != nil {
		return err
	}
	f.closers = append(f.closers, func() { _ = f.coordinator.Close() })
	f.runAs(ctx, roleCoordinator, f.coordinator)
	return nil
}

func (f *rolloutFleet) runAs(ctx context.Context, role string, server runner) {
	f.running.Go(func() { rolecost.Do(ctx, role, func(ctx context.Context) { _ = server.Run(ctx) }) })
}

func (f *rolloutFleet) startEngines(ctx context.Context) error {
	parameters := engine.DefaultParameters()
	parameters.StepBase, parameters.StepPerSequence, parameters.StepPerThousandContext = time.Millisecond, time.Microsecond, time.Microsecond
	parameters.MaxBatch, parameters.Blocks = 256, 1<<18
	for index := range coordinatorEngines {
		server, err := enginestandin.New(enginestandin.Config{Name: fmt.Sprint("replica-", index), Listen: "127.0.0.1:0", Parameters: parameters,
			InitialVersion: "w1", InitialVersionNumber: 1, Log: logging.Discard()})
		if err != nil {
			return err
		}
		f.backends = append(f.backends, server)
		f.runAs(ctx, roleBackend, server)
	}
	return nil
}

func (f *rolloutFleet) fillTable(ctx context.Context) error {
	client, err := controlclient.New(controlclient.Config{Addresses: f.control.Addresses})
	if err != nil {
		return err
	}
	defer client.Close()
	cells := []*wire.CellChange{{Row: "pool", Column: "kind", Value: "pool"}, {Row: "pool", Column: "service", Value: "engine"},
		{Row: "pool", Column: "queue_limit", Value: "10000"}}
	for index, backend := range f.backends {
		name := fmt.Sprint("replica-", index)
		cells = append(cells, &wire.CellChange{Row: name, Column: "kind", Value: "backend"}, &wire.CellChange{Row: name, Column: "pool", Value: "pool"},
			&wire.CellChange{Row: name, Column: "address", Value: backend.Address()}, &wire.CellChange{Row: name, Column: "max_in_flight", Value: "256"})
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	result, _, err := client.ChangeTable(ctx, &wire.TableChange{ChangeId: "coordinator", Operator: "bench", Cells: cells}, true)
	if err == nil && result.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		err = trace.BadParameter("the table was not accepted: %v", result)
	}
	return err
}

// step runs one step of a trainer of its own.
func (f *rolloutFleet) step(ctx context.Context, size int) (CoordinatorPoint, error) {
	name := fmt.Sprint("trainer-", size)
	made, err := trainer.New(trainer.Config{Name: name, Coordinators: []string{f.coordinator.Address()}, Pool: "pool",
		PromptsPerStep: size / samplesPerPrompt, SamplesPerPrompt: samplesPerPrompt, MaxTokens: coordinatorTokens, MaxSteps: 1,
		TrainTime: time.Millisecond, InitialVersionNumber: 1, Log: logging.Discard(),
		Prompt: func(_ uint64, index int) string {
			return fmt.Sprintf("%s prompt %d [tokens=%d]", name, index, coordinatorTokens)
		}})
	if err != nil {
		return CoordinatorPoint{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	recorder, err := rolecost.Start()
	if err != nil {
		return CoordinatorPoint{}, err
	}
	trainError := made.Run(ctx)
	cost, err := recorder.Stop()
	if err := trace.NewAggregate(trainError, err); err != nil {
		return CoordinatorPoint{}, err
	}
	if got := made.Stats().Samples; got != size {
		return CoordinatorPoint{}, trace.CompareFailed("%d samples were delivered", got)
	}
	return CoordinatorPoint{Samples: size, Seconds: cost.Wall.Seconds(), CoordinatorCores: cost.Apportioned(roleCoordinator),
		ProcessCores: cost.TotalCores, LiveBytes: rig.LiveBytes()}, nil
}

func (f *rolloutFleet) close(stop context.CancelFunc) {
	for index := len(f.closers) - 1; index >= 0; index-- {
		f.closers[index]()
	}
	stop()
	f.running.Wait()
	if f.control != nil {
		f.control.Close()
	}
}

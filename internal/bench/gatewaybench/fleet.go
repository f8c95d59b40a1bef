package gatewaybench

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	"github.com/tamarindring/tamarindring/internal/standin/application"
	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Names of the pools of the measured deployment.
const (
	poolCalls = "calls" // application replicas with a service time
	poolBare  = "bare"  // application replicas without a service time
	poolModel = "model" // engines whose steps take modelStep
	poolQuick = "quick" // engines with short steps, for the capacity measurement of tokens
	poolHeld  = "held"  // engines that run many slow streams, for the memory measurement
)

const (
	replicasPerPool = 3
	startTimeout    = 20 * time.Second
	// modelStep, quickStep and heldStep are the base times of a step of the engines of poolModel, poolQuick and
	// poolHeld.
	modelStep = 10 * time.Millisecond
	quickStep = time.Millisecond
	// quickStepIncrement is added to a step of poolQuick for each sequence, and for each thousand tokens of context.
	quickStepIncrement = time.Microsecond
	// quickMaxBatch and heldMaxBatch are how many sequences an engine of poolQuick or poolHeld runs at once.
	quickMaxBatch = 256
	heldStep      = 200 * time.Millisecond
	heldMaxBatch  = 512
)

// fleet is the measured deployment: a control group, one gateway, and the replicas of all pools.
type fleet struct {
	control   *rig.ControlGroup
	client    *controlclient.Client
	gateway   *gateway.Server
	backends  []backend
	addresses map[string][]string // of the replicas, by pool
	stop      context.CancelFunc
	running   sync.WaitGroup
}

// backend is the stand-in for one replica.
type backend interface {
	Address() string
	Run(context.Context) error
	Close() error
}

// startFleet starts a deployment whose control nodes keep their data under config.Folder, and waits until the gateway
// is open. The caller closes it.
func startFleet(ctx context.Context, config Config) (*fleet, error) {
	control, err := rig.StartControlGroup(rig.Options{Folder: filepath.Join(config.Folder, "control")})
	if err != nil {
		return nil, err
	}
	runContext, stop := context.WithCancel(context.Background())
	f := &fleet{control: control, addresses: map[string][]string{}, stop: stop}
	if err := f.start(ctx, runContext); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// start starts the replicas, makes the table and opens the gateway. ctx bounds the start, and the servers run until
// runContext ends.
func (f *fleet) start(ctx, runContext context.Context) error {
	cells, err := f.startBackends(runContext)
	if err != nil {
		return err
	}
	f.client, err = controlclient.New(controlclient.Config{Addresses: f.control.Addresses})
	if err != nil {
		return err
	}
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	result, _, err := f.client.ChangeTable(startContext, &wire.TableChange{ChangeId: "bench", Operator: "bench", Cells: cells}, true)
	if err != nil {
		return err
	}
	if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		return trace.BadParameter("the table was not accepted: %v", result)
	}
	rolecost.Do(runContext, roleGateway, func(labelled context.Context) {
		f.gateway, err = gateway.Open(startContext, gateway.Config{Name: "gateway-1", Listen: "127.0.0.1:0"},
			controlclient.Config{Addresses: f.control.Addresses})
		if err == nil {
			f.running.Go(func() { rolecost.Do(labelled, roleGateway, func(context.Context) { _ = f.gateway.Run(runContext) }) })
		}
	})
	return err
}

// startBackends starts the replicas of every pool and returns the table cells that describe pools and replicas.
func (f *fleet) startBackends(ctx context.Context) ([]*wire.CellChange, error) {
	var cells []*wire.CellChange
	add := func(row, column, value string) {
		cells = append(cells, &wire.CellChange{Row: row, Column: column, Value: value})
	}
	for _, pool := range []string{poolCalls, poolBare, poolModel, poolQuick, poolHeld} {
		service := "engine"
		if pool == poolCalls || pool == poolBare {
			service = "application"
		}
		for column, value := range map[string]string{"kind": "pool", "service": service, "max_in_flight": "1000", "queue_limit": "10000"} {
			add(pool, column, value)
		}
		for i := range replicasPerPool {
			name := pool + "-" + string(rune('1'+i))
			replica, err := newBackend(name, pool)
			if err != nil {
				return nil, err
			}
			f.backends = append(f.backends, replica)
			f.addresses[pool] = append(f.addresses[pool], replica.Address())
			f.running.Go(func() {
				rolecost.Do(ctx, "backend", func(ctx context.Context) { _ = replica.Run(ctx) })
			})
			add(name, "kind", "backend")
			add(name, "pool", pool)
			add(name, "address", replica.Address())
		}
	}
	return cells, nil
}

// newBackend returns a replica of a pool with the service or step times of that pool.
func newBackend(name, pool string) (backend, error) {
	parameters := engine.DefaultParameters()
	switch pool {
	case poolCalls:
		return application.New(application.Config{Name: name, Listen: "127.0.0.1:0", MaxConcurrent: 4096, Log: logging.Discard()})
	case poolBare:
		return application.New(application.Config{Name: name, Listen: "127.0.0.1:0", ServiceTime: -1, MaxConcurrent: 4096, Log: logging.Discard()})
	case poolModel:
		parameters.StepBase = modelStep
	case poolHeld:
		parameters.StepBase = heldStep
		parameters.MaxBatch, parameters.Blocks = heldMaxBatch, 1<<18
	default:
		parameters.StepBase, parameters.StepPerSequence, parameters.StepPerThousandContext = quickStep, quickStepIncrement, quickStepIncrement
		parameters.MaxBatch, parameters.Blocks = quickMaxBatch, 1<<18
	}
	return enginestandin.New(enginestandin.Config{Name: name, Listen: "127.0.0.1:0", Parameters: parameters,
		InitialVersion: "w1", InitialVersionNumber: 1, Log: logging.Discard()})
}

func (f *fleet) close() {
	if f.gateway != nil {
		_ = f.gateway.Close()
	}
	for _, backend := range f.backends {
		_ = backend.Close()
	}
	f.stop()
	if f.client != nil {
		_ = f.client.Close()
	}
	f.control.Close()
	f.running.Wait()
}

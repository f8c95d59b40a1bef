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

// The pools of the measured deployment.
const (
	poolCalls = "calls" // application replicas with a service time
	poolBare  = "bare"  // application replicas that answer at once
	poolModel = "model" // engines with steps of 10ms
	poolQuick = "quick" // engines that emit tokens as fast as they can
	poolHeld  = "held"  // engines that keep many slow streams
)

const (
	replicas     = 3
	startTimeout = 20 * time.Second
	// modelStep and quickStep are the engines' step times.
	modelStep = 10 * time.Millisecond
	quickStep = time.Millisecond
	quickPer  = time.Microsecond
	quickSize = 256 // sequences at once
	heldStep  = 200 * time.Millisecond
	heldSize  = 512 // sequences at once
)

// fleet is the deployment that is measured.
type fleet struct {
	control   *rig.Control
	client    *controlclient.Client
	gateway   *gateway.Server
	backends  []backend
	addresses map[string][]string // by pool
	stop      context.CancelFunc
	running   sync.WaitGroup
}

type backend interface {
	Address() string
	Run(context.Context) error
	Close() error
}

func startFleet(ctx context.Context, config Config) (*fleet, error) {
	control, err := rig.StartControl(rig.Options{Folder: filepath.Join(config.Folder, "control")})
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

// startBackends starts the replicas of every pool and returns the table's cells.
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
		for i := range replicas {
			name := pool + "-" + string(rune('1'+i))
			built, err := newBackend(name, pool)
			if err != nil {
				return nil, err
			}
			f.backends = append(f.backends, built)
			f.addresses[pool] = append(f.addresses[pool], built.Address())
			f.running.Go(func() {
				rolecost.Do(ctx, "backend", func(ctx context.Context) { _ = built.Run(ctx) })
			})
			add(name, "kind", "backend")
			add(name, "pool", pool)
			add(name, "address", built.Address())
		}
	}
	return cells, nil
}

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
		parameters.MaxBatch, parameters.Blocks = heldSize, 1<<18
	default:
		parameters.StepBase, parameters.StepPerSequence, parameters.StepPerThousandContext = quickStep, quickPer, quickPer
		parameters.MaxBatch, parameters.Blocks = quickSize, 1<<18
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

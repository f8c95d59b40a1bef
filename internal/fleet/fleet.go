package fleet

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/control"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/standin/application"
	"github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/standin/scorer"
	"github.com/tamarindring/tamarindring/internal/standin/weightstore"
)

const (
	clusterID      = "fleet"
	gatewayPrefix  = "gateway-" // prefix of the gateways' names
	startLimit     = 30 * time.Second
	initialVersion = 1
	loadReportLag  = 100 * time.Millisecond
	cacheEventLag  = 100 * time.Millisecond
	cacheEventLoss = 0.05
	storeReadTime  = 50 * time.Millisecond
)

// fleet is a running deployment.
type fleet struct {
	config   Config
	registry *invariant.Registry
	started  time.Time

	control      []*process[*control.Server]
	gateways     []*process[*gateway.Server]
	engines      []*process[*engine.Server]
	applications []*process[*application.Server]
	scorer       *process[*scorer.Server]
	store        *process[*weightstore.Server]
	rollouts     *rollouts
	client       *controlclient.Client

	directory directory
	evidence  evidence
	events    eventLog
}

// newFleet creates the parts without starting them.
func newFleet(config Config) *fleet {
	f := &fleet{config: config, started: time.Now(), registry: invariant.NewRegistry(
		invariant.SampleVersions, invariant.StalenessBound, invariant.SampleOnce, invariant.WholeAnswer, invariant.NotRunIsFinal,
		invariant.RunAtMostOnce, invariant.LeavingBackend, invariant.PlannedStop, invariant.TableInForce, invariant.TableNoReversal)}
	f.events.started = f.started
	f.addControl()
	f.addBackends()
	f.addGateways()
	f.rollouts = newRollouts(f)
	return f
}

func (f *fleet) log(part string) *logrus.Entry { return logging.Part(f.config.Log, part) }

func (f *fleet) addControl() {
	for index := range f.config.Deployment.ControlNodes {
		node := &process[*control.Server]{name: fmt.Sprintf("control-%d", index+1), zone: f.config.Deployment.zone(index),
			cable: newCable(), cuttable: true}
		node.open = func(_ context.Context, listener net.Listener) (*control.Server, error) {
			return control.New(control.Config{Name: node.name, NodeID: uint64(index + 1), ClusterID: clusterID, Listener: listener,
				Peers: f.peers(), Zone: node.zone, DataFolder: filepath.Join(f.config.Folder, node.name), Dial: node.cable.dial, Log: f.log(node.name)})
		}
		f.control = append(f.control, node)
	}
}

func (f *fleet) peers() []control.Peer {
	var peers []control.Peer
	for index, node := range f.control {
		peers = append(peers, control.Peer{ID: uint64(index + 1), Name: node.name, Address: node.address})
	}
	return peers
}

func (f *fleet) controlAddresses() []string {
	var addresses []string
	for _, node := range f.control {
		addresses = append(addresses, node.address)
	}
	return addresses
}

// controlConfig returns the client settings with which a part reaches the control nodes over its cable.
func (f *fleet) controlConfig(part string, over *cable) controlclient.Config {
	return controlclient.Config{Addresses: f.controlAddresses(), Dial: over.dial, Log: f.log(part)}
}

func (f *fleet) addGateways() {
	for index := range f.config.Deployment.Gateways {
		part := &process[*gateway.Server]{name: fmt.Sprintf(gatewayPrefix+"%d", index+1), zone: f.config.Deployment.zone(index), cable: newCable()}
		part.open = func(ctx context.Context, listener net.Listener) (*gateway.Server, error) {
			return gateway.Open(ctx, gateway.Config{Name: part.name, Listener: listener, Zone: part.zone, Log: f.log(part.name)},
				f.controlConfig(part.name, part.cable))
		}
		f.gateways = append(f.gateways, part)
	}
}

func (f *fleet) addBackends() {
	deployment := f.config.Deployment
	f.store = &process[*weightstore.Server]{name: "weight-store"}
	f.store.open = func(_ context.Context, listener net.Listener) (*weightstore.Server, error) {
		return weightstore.New(weightstore.Config{Listener: listener, ReadTime: storeReadTime, Log: f.log("weight-store")})
	}
	f.scorer = &process[*scorer.Server]{name: "scorer"}
	f.scorer.open = func(_ context.Context, listener net.Listener) (*scorer.Server, error) {
		return scorer.New(scorer.Config{Listener: listener, ServiceTime: 10 * time.Millisecond, PerSample: time.Millisecond, Log: f.log("scorer")})
	}
	for index := range deployment.Engines {
		part := &process[*engine.Server]{name: fmt.Sprintf("engine-%d", index+1), zone: deployment.zone(index),
			cable: newCable(), cuttable: f.config.Faults}
		part.open = func(_ context.Context, listener net.Listener) (*engine.Server, error) {
			return engine.New(engine.Config{Name: part.name, Listener: listener, Zone: part.zone, Parameters: engineParameters(),
				InitialVersion: versionName(initialVersion), InitialVersionNumber: initialVersion, WeightStore: f.store.address,
				LoadReportLag: loadReportLag, CacheEventLag: cacheEventLag, CacheEventLoss: cacheEventLoss,
				Seed: uint64(f.config.Seed) + uint64(index), Log: f.log(part.name)})
		}
		f.engines = append(f.engines, part)
	}
	for index := range deployment.Applications {
		part := &process[*application.Server]{name: fmt.Sprintf("%s-%d", deployment.ApplicationPool, index+1), zone: deployment.zone(index)}
		part.open = func(_ context.Context, listener net.Listener) (*application.Server, error) {
			return application.New(application.Config{Name: part.name, Listener: listener, Zone: part.zone, ServiceJitter: 2 * time.Millisecond,
				LoadReportLag: loadReportLag, Seed: uint64(f.config.Seed) + uint64(index), Log: f.log(part.name)})
		}
		f.applications = append(f.applications, part)
	}
}

func versionName(number uint64) string { return fmt.Sprintf("v%d", number) }

// start starts the control nodes, the back ends, the table, the gateways and the coordinators in this order.
func (f *fleet) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := f.startControl(ctx); err != nil {
		return err
	}
	if err := f.startBackends(ctx); err != nil {
		return err
	}
	if err := f.createTable(ctx); err != nil {
		return err
	}
	if err := startAll(ctx, f.gateways); err != nil {
		return err
	}
	for _, part := range f.gateways {
		f.directory.add(part.address)
	}
	return f.rollouts.start(ctx)
}

func (f *fleet) startControl(ctx context.Context) error {
	for _, node := range f.control {
		if err := node.bind(); err != nil {
			return err
		}
	}
	if err := startAll(ctx, f.control); err != nil {
		return err
	}
	client, err := controlclient.New(f.controlConfig("operator", newCable()))
	f.client = client
	return trace.Wrap(err)
}

func (f *fleet) startBackends(ctx context.Context) error {
	for _, start := range []func(context.Context) error{f.store.startNew, f.scorer.startNew} {
		if err := start(ctx); err != nil {
			return err
		}
	}
	if err := startAll(ctx, f.engines); err != nil {
		return err
	}
	return startAll(ctx, f.applications)
}

func startAll[S server](ctx context.Context, parts []*process[S]) error {
	for _, part := range parts {
		if err := part.startNew(ctx); err != nil {
			return err
		}
	}
	return nil
}

// stop stops all parts. The callers and trainers have ended before.
func (f *fleet) stop(ctx context.Context) error {
	var problems []error
	problems = append(problems, f.rollouts.stop(ctx)...)
	problems = append(problems, stopAll(ctx, f.gateways)...)
	if f.client != nil {
		problems = append(problems, f.client.Close())
	}
	problems = append(problems, killAll(f.engines)...)
	problems = append(problems, killAll(f.applications)...)
	problems = append(problems, f.scorer.kill(), f.store.kill())
	problems = append(problems, killAll(f.control)...)
	return trace.NewAggregate(problems...)
}

func stopAll[S server](ctx context.Context, parts []*process[S]) []error {
	var problems []error
	for _, part := range parts {
		problems = append(problems, part.drain(ctx))
		part.release()
	}
	return problems
}

func killAll[S server](parts []*process[S]) []error {
	var problems []error
	for _, part := range parts {
		problems = append(problems, part.kill())
		part.release()
	}
	return problems
}

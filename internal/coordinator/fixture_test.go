package coordinator

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/logging"
	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/standin/scorer"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
	"github.com/tamarindring/tamarindring/internal/standin/weightstore"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestMain checks for leaked goroutines. Those of fasthttp, which the gateway and the stand-ins use, sleep for up to
// ten seconds after their server has ended and are ignored.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const testTimeout = 60 * time.Second

// fixture is a small deployment of real servers: control node, gateway, engines, scorer, weight store and coordinators.
type fixture struct {
	control      *rig.ControlGroup
	client       *controlclient.Client
	engines      []*enginestandin.Server
	scorer       *scorer.Server
	store        *weightstore.Server
	gateway      *gateway.Server
	coordinators []*Server
	context      context.Context
	running      sync.WaitGroup
	changes      int
}

type runner interface{ Run(context.Context) error }

func (f *fixture) run(server runner) {
	f.running.Go(func() { _ = server.Run(f.context) })
}

func testLog() *logrus.Entry {
	if os.Getenv("COORDINATOR_TEST_LOG") == "" {
		return logging.Discard()
	}
	logger, _ := logging.New(logging.Config{Level: "debug", Output: os.Stderr})
	return logging.Part(logger, "coordinator")
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Lease durations of the fixtures. Tests that wait for a killed owner's lease to end use the short one. A pause of a
// busy machine can cost a live owner a short lease, but not a long one.
const (
	shortLease = 400 * time.Millisecond
	longLease  = 3 * time.Second
)

// newFixture starts a deployment with engines that swap in 50ms and generate a token every few milliseconds.
func newFixture(t *testing.T, engines, coordinators int) *fixture {
	t.Helper()
	return newLeasedFixture(t, shortLease, engines, coordinators)
}

func newLeasedFixture(t *testing.T, lease time.Duration, engines, coordinators int) *fixture {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	f := &fixture{context: ctx}
	t.Cleanup(func() { f.stop(stop) })
	var err error
	f.control, err = rig.StartControlGroup(rig.Options{Nodes: 1, Folder: t.TempDir(), LedgerGroups: 1, Lease: lease})
	must(t, err)
	f.client, err = controlclient.New(controlclient.Config{Addresses: f.control.Addresses, LedgerGroups: 1})
	must(t, err)
	f.store, err = weightstore.New(weightstore.Config{Listen: "127.0.0.1:0", Log: logging.Discard()})
	must(t, err)
	f.run(f.store)
	f.scorer, err = scorer.New(scorer.Config{Listen: "127.0.0.1:0", Log: logging.Discard()})
	must(t, err)
	f.run(f.scorer)
	cells := [][3]string{{"copy", "kind", "pool"}, {"copy", "service", "engine"}, {"copy", "max_in_flight", "16"}, {"copy", "queue_limit", "1000"}}
	for index := range engines {
		name := fmt.Sprintf("e%d", index)
		f.startEngine(t, name)
		cells = append(cells, [3]string{name, "kind", "backend"}, [3]string{name, "pool", "copy"}, [3]string{name, "address", f.engines[index].Address()})
	}
	f.change(t, cells...)
	startContext, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	f.gateway, err = gateway.Open(startContext, gateway.Config{Name: "g0", Listen: "127.0.0.1:0"},
		controlclient.Config{Addresses: f.control.Addresses, LedgerGroups: 1})
	must(t, err)
	f.run(f.gateway)
	for index := range coordinators {
		f.startCoordinator(t, fmt.Sprintf("c%d", index), "127.0.0.1:0")
	}
	return f
}

func (f *fixture) startEngine(t *testing.T, name string) {
	t.Helper()
	parameters := engine.DefaultParameters()
	parameters.StepBase, parameters.StepPerSequence = 2*time.Millisecond, 10*time.Microsecond
	parameters.StageTime, parameters.SwapTime = 50*time.Millisecond, 50*time.Millisecond
	server, err := enginestandin.New(enginestandin.Config{Name: name, Listen: "127.0.0.1:0", Parameters: parameters,
		InitialVersion: "base", WeightStore: f.store.Address(), Log: logging.Discard()})
	must(t, err)
	f.engines = append(f.engines, server)
	f.run(server)
}

func (f *fixture) startCoordinator(t *testing.T, name, listen string) *Server {
	t.Helper()
	ctx, cancel := context.WithTimeout(f.context, testTimeout)
	defer cancel()
	config := Config{Name: name, Listen: listen, Scorer: f.scorer.Address(), WeightStore: f.store.Address(),
		Control: controlclient.Config{Addresses: f.control.Addresses, LedgerGroups: 1}, LoadInterval: 50 * time.Millisecond, Log: testLog()}
	config.DrainPatience = 50 * time.Millisecond
	config.Wave.StageTime, config.Wave.ReportGrace = 50*time.Millisecond, 500*time.Millisecond
	server, err := Open(ctx, config)
	must(t, err)
	f.coordinators = append(f.coordinators, server)
	f.run(server)
	return server
}

// stall makes every answer that starts from now on stop after the given number of tokens. 0 lets all answers continue.
func (f *fixture) stall(tokens int) {
	for _, one := range f.engines {
		one.SetFaults(enginestandin.Faults{StallAfterTokens: tokens})
	}
}

// await waits until a condition holds that stays true once it is reached.
func (f *fixture) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// change makes a table change and waits until it is in force.
func (f *fixture) change(t *testing.T, cells ...[3]string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(f.context, testTimeout)
	defer cancel()
	f.changes++
	change := &wire.TableChange{ChangeId: "test-" + strconv.Itoa(f.changes), Operator: "test", BaseVersion: uint64(f.changes - 1)}
	for _, cell := range cells {
		change.Cells = append(change.Cells, &wire.CellChange{Row: cell[0], Column: cell[1], Value: cell[2]})
	}
	result, _, err := f.client.ChangeTable(ctx, change, true)
	must(t, err)
	if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatalf("table change was not accepted: %v", result)
	}
}

func (f *fixture) stop(stop context.CancelFunc) {
	for _, server := range f.coordinators {
		_ = server.Close()
	}
	if f.gateway != nil {
		_ = f.gateway.Close()
	}
	stop()
	f.running.Wait()
	if f.client != nil {
		_ = f.client.Close()
	}
	if f.control != nil {
		f.control.Close()
	}
}

func (f *fixture) addresses() []string {
	var all []string
	for _, server := range f.coordinators {
		all = append(all, server.Address())
	}
	return all
}

// truth returns the record of what the engines generated, against which trainers check their samples.
func (f *fixture) truth() trainer.SampleChecker { return trainer.NewEngineLogs(f.engines...) }

// runTrainer runs a trainer to its end and checks its statistics.
func (f *fixture) runTrainer(t *testing.T, config trainer.Config) trainer.Stats {
	t.Helper()
	made := f.newTrainer(t, config)
	ctx, cancel := context.WithTimeout(f.context, testTimeout)
	defer cancel()
	must(t, made.Run(ctx))
	return checkTrainer(t, made, config)
}

func (f *fixture) newTrainer(t *testing.T, config trainer.Config) *trainer.Trainer {
	t.Helper()
	if config.Coordinators == nil {
		config.Coordinators = f.addresses()
	}
	if config.Checker == nil {
		config.Checker = f.truth()
	}
	config.Pool, config.WeightStore, config.Log = "copy", f.store.Address(), logging.Discard()
	if config.FetchWait == 0 {
		config.FetchWait = 500 * time.Millisecond
	}
	if config.TrainTime == 0 {
		config.TrainTime = 50 * time.Millisecond
	}
	made, err := trainer.New(config)
	must(t, err)
	return made
}

// checkTrainer fails on any violation that the trainer found, and if the trainer examined nothing.
func checkTrainer(t *testing.T, made *trainer.Trainer, config trainer.Config) trainer.Stats {
	t.Helper()
	stats := made.Stats()
	for _, violation := range stats.Violations {
		t.Errorf("the trainer found a violation: %+v", violation)
	}
	want := int(config.MaxSteps) * max(config.PromptsPerStep, 1) * max(config.SamplesPerPrompt, 1)
	if config.PromptsPerStep > 0 && stats.Samples != want {
		t.Errorf("got %d samples, want %d (%+v)", stats.Samples, want, stats)
	}
	if stats.Steps != config.MaxSteps || stats.Outstanding != 0 || stats.SegmentsExamined == 0 || stats.StalenessExamined == 0 {
		t.Errorf("trainer's stats %+v: want all steps done, nothing outstanding, segments and staleness examined", stats)
	}
	return stats
}

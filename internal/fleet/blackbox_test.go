package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/operator"
	"github.com/tamarindring/tamarindring/internal/standin/application"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/workload/caller"
)

// Names of the back ends that run as real processes, so that they can be killed. The other back ends run in the test
// process, and their logs are the reference for the checks.
const (
	realEngine      = "engine-real"
	realApplication = "application-real"
)

const (
	downTime   = 500 * time.Millisecond
	stopSettle = 300 * time.Millisecond
	// pauseTime is longer than the lease of 1.2 s and the bound of 2 s.
	pauseTime = 2500 * time.Millisecond
)

// blackBox is a deployment of real processes under load from the test.
type blackBox struct {
	*fleet
	t                  *testing.T
	binary             string
	controlDaemons     []*daemon
	gatewayDaemons     []*daemon
	coordinatorDaemons []*daemon // coordinators
	backendDaemons     []*daemon
	calls              *caller.Caller

	mutex          sync.Mutex
	lastDispatch   map[string]uint64 // sequence of the last dispatch read, by gateway process
	dispatchCounts map[string]int    // number of dispatches read, by gateway
	keyRuns        map[string]int    // runs at the application replica that is a real process, by key
	lastRun        uint64
}

func newBlackBox(t *testing.T) *blackBox {
	t.Helper()
	deployment := Deployments()[0]
	deployment.Gateways, deployment.Engines, deployment.Applications = 2, 4, 2
	deployment.Trainer = TrainerShape{Prompts: 4, SamplesPerPrompt: 4, MaxTokens: 96, TrainTime: 300 * time.Millisecond, StalenessBound: 2}
	config := Config{Deployment: deployment, Folder: t.TempDir(), Seed: 1, LiveRate: 25, OperationRate: 40}
	if err := config.setDefaults(); err != nil {
		t.Fatal(err)
	}
	b := &blackBox{fleet: newFleet(config), t: t, binary: buildBinary(t), lastDispatch: map[string]uint64{}, dispatchCounts: map[string]int{}, keyRuns: map[string]int{}}
	t.Cleanup(b.stopAll)
	return b
}

func (b *blackBox) stopAll() {
	for _, group := range [][]*daemon{b.gatewayDaemons, b.coordinatorDaemons, b.controlDaemons, b.backendDaemons} {
		for _, one := range group {
			one.kill()
		}
	}
	if b.client != nil {
		_ = b.client.Close()
	}
	for _, problem := range append(append(killAll(b.engines), killAll(b.applications)...), b.scorer.kill(), b.store.kill()) {
		if problem != nil {
			b.t.Error(problem)
		}
	}
}

func (b *blackBox) daemon(name string, ready func(context.Context, *daemon) error, arguments ...string) *daemon {
	made := &daemon{t: b.t, name: name, binary: b.binary, address: freeAddress(b.t), ready: ready}
	made.arguments = append(arguments, "--listen", made.address, "--log-level", "info")
	return made
}

// startControl starts the control nodes as processes.
func (b *blackBox) startControl() {
	var peers []string
	for index, node := range b.control {
		made := b.daemon(node.name, b.nodeReady, "control", "--name", node.name, "--id", fmt.Sprint(index+1), "--cluster", clusterID,
			"--data", filepath.Join(b.config.Folder, node.name))
		node.address = made.address
		b.controlDaemons = append(b.controlDaemons, made)
		peers = append(peers, fmt.Sprintf("%d=%s@%s", index+1, made.name, made.address))
	}
	client, err := controlclient.New(b.controlConfig("test", newCable()))
	if err != nil {
		b.t.Fatal(err)
	}
	b.client = client
	var starting sync.WaitGroup
	for _, node := range b.controlDaemons {
		node.arguments = append(node.arguments, "--peers", strings.Join(peers, ","))
		starting.Go(node.start) // none is ready without a quorum
	}
	starting.Wait()
}

var errNoLeader = errors.New("a group has no leader")

// nodeReady returns nil if a control node knows a leader of each group.
func (b *blackBox) nodeReady(ctx context.Context, node *daemon) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	for group := range uint32(b.client.LedgerGroups() + 1) {
		status, err := b.client.NodeStatus(ctx, node.address, group)
		if err != nil {
			return err
		}
		if status.GetLeader() == 0 {
			return errNoLeader
		}
	}
	return nil
}

// startBackends starts the simulated back ends, one of each kind as a process, and creates the table.
func (b *blackBox) startBackends(ctx context.Context) {
	if err := b.fleet.startBackends(ctx); err != nil {
		b.t.Fatal(err)
	}
	b.backendDaemons = []*daemon{
		b.daemon(realEngine, readyAt("/v1/load"), "standin", "engine", "--name", realEngine, "--weight-store", b.store.address),
		b.daemon(realApplication, readyAt("/v1/load"), "standin", "application", "--name", realApplication),
	}
	for _, one := range b.backendDaemons {
		one.start()
	}
	if err := b.createTable(ctx); err != nil {
		b.t.Fatal(err)
	}
	edits := []operator.Edit{}
	for row, pool := range map[string]string{realEngine: poolModel, realApplication: b.config.Deployment.ApplicationPool} {
		address := b.backendDaemons[0].address
		if row == realApplication {
			address = b.backendDaemons[1].address
		}
		edits = append(edits, operator.Edit{Row: row, Column: table.ColumnKind, To: string(table.Backend)},
			operator.Edit{Row: row, Column: table.ColumnPool, To: pool}, operator.Edit{Row: row, Column: table.ColumnAddress, To: address})
	}
	made := newTableOperator(b.fleet)
	if !made.change(ctx, 0, "test", b.evidence.table.latestVersion(), edits...) {
		b.t.Fatal("the real back ends were not added to the table")
	}
}

// startServers starts the gateways and coordinators.
func (b *blackBox) startServers() {
	control := strings.Join(b.controlAddresses(), ",")
	for _, part := range b.gateways {
		b.gatewayDaemons = append(b.gatewayDaemons, b.daemon(part.name, readyAt("/readyz"), "gateway", "--name", part.name, "--zone", part.zone, "--control", control))
	}
	for _, part := range b.rollouts.coordinators {
		made := b.daemon(part.name, readyAt("/v1/stats"), "coordinator", "--name", part.name, "--zone", part.zone, "--control", control,
			"--scorer", b.scorer.address, "--weight-store", b.store.address)
		part.address = made.address
		b.coordinatorDaemons = append(b.coordinatorDaemons, made)
	}
	for _, one := range append(append([]*daemon{}, b.gatewayDaemons...), b.coordinatorDaemons...) {
		one.start()
	}
	for _, one := range b.gatewayDaemons {
		b.directory.add(one.address)
	}
}

// knownEngines checks only the segments generated by engines in the test process. The records of the engine that runs
// as a process are lost when it is killed.
type knownEngines struct{ trainer.SampleChecker }

// Check implements trainer.SampleChecker.
func (k knownEngines) Check(prompt string, sample trainer.Sample) error {
	known := sample
	known.Segments = nil
	for _, segment := range sample.Segments {
		if segment.Replica != realEngine {
			known.Segments = append(known.Segments, segment)
		}
	}
	return k.SampleChecker.Check(prompt, known)
}

// load starts callers, operator, trainer and the collection of evidence. The returned function ends them.
func (b *blackBox) load(ctx context.Context) func() {
	calls, err := b.newCaller()
	if err != nil {
		b.t.Fatal(err)
	}
	b.calls = calls
	if err := b.rollouts.startTrainer(knownEngines{trainer.NewEngineLogs(servers(b.engines)...)}); err != nil {
		b.t.Fatal(err)
	}
	loading, stopLoad := context.WithCancel(ctx)
	collecting, stopCollecting := context.WithCancel(ctx)
	var acting, collectors sync.WaitGroup
	acting.Go(func() { newTableOperator(b.fleet).run(loading) })
	acting.Go(func() { _ = calls.Run(loading) })
	collectors.Go(func() {
		for pause(collecting, collectInterval) {
			b.collect()
		}
	})
	return func() {
		stopLoad()
		acting.Wait()
		b.rollouts.finish()
		stopCollecting()
		collectors.Wait()
		b.collect()
	}
}

// collect reads the logs of the gateways and of the application replica that runs as a process.
func (b *blackBox) collect() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, gate := range b.gatewayDaemons {
		content, err := get(context.Background(), fmt.Sprintf("http://%s/v1/log?after=%d", gate.address, b.lastDispatch[gate.name]))
		var log struct{ Dispatches []gateway.Dispatch }
		if err != nil || json.Unmarshal(content, &log) != nil {
			continue // it is down or paused
		}
		for _, dispatch := range log.Dispatches {
			b.lastDispatch[gate.name] = dispatch.Sequence
			b.dispatchCounts[gate.name]++
			b.examineDispatch(dispatch)
		}
	}
	b.collectRuns()
}

func (b *blackBox) collectRuns() {
	content, err := get(context.Background(), fmt.Sprintf("http://%s/v1/log?after=%d", b.backendDaemons[1].address, b.lastRun))
	var log struct{ Executions []application.Execution }
	if err != nil || json.Unmarshal(content, &log) != nil {
		return
	}
	for _, execution := range log.Executions {
		b.lastRun = execution.Sequence
		if execution.Outcome == application.OutcomeRan {
			b.keyRuns[execution.Key]++
		}
	}
}

// runsAnywhere counts the known runs of a key at all replicas.
func (b *blackBox) runsAnywhere(key string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.runs(key) + b.keyRuns[key]
}

// killEach kills and restarts one process of each role under load.
func (b *blackBox) killEach() {
	leader := b.leader()
	for _, victim := range []*daemon{b.gatewayDaemons[0], b.coordinatorDaemons[0], leader, b.backendDaemons[0], b.backendDaemons[1]} {
		b.collect() // a killed process loses its log
		victim.kill()
		time.Sleep(downTime)
		b.mutex.Lock()
		b.lastDispatch[victim.name] = 0
		if victim.name == realApplication {
			b.lastRun = 0
		}
		b.mutex.Unlock()
		victim.start()
	}
}

// electionLimit bounds the wait for a leader. An election takes a second, and several on a busy machine.
const electionLimit = 30 * time.Second

// leader returns the control node that leads the control group. It waits for an election in progress.
func (b *blackBox) leader() *daemon {
	b.t.Helper()
	for end := time.Now().Add(electionLimit); time.Now().Before(end); time.Sleep(stopSettle) {
		for _, node := range operator.ReadStatus(context.Background(), b.client).Nodes {
			for _, group := range node.Groups {
				if group.Group == 0 && group.Role == "leader" {
					return b.controlDaemons[node.ID-1]
				}
			}
		}
	}
	b.t.Fatal("no control node became leader within the limit")
	return nil
}

// restartAll stops and restarts every process by plan, one after another. No call may fail meanwhile.
func (b *blackBox) restartAll() {
	for _, one := range append(append(append([]*daemon{}, b.gatewayDaemons...), b.coordinatorDaemons...), b.controlDaemons...) {
		before := b.calls.Stats()
		b.collect()
		forget := time.AfterFunc(directoryLag, func() { b.directory.remove(one.address) })
		one.drain()
		b.mutex.Lock()
		b.lastDispatch[one.name] = 0
		b.mutex.Unlock()
		one.start()
		forget.Stop()
		if strings.HasPrefix(one.name, "gateway") {
			b.directory.add(one.address)
		}
		time.Sleep(stopSettle)
		b.examineStop(one.name, before, b.calls.Stats())
	}
}

// waitFor waits up to electionLimit for a condition and reports whether it holds.
func (b *blackBox) waitFor(holds func() bool) bool {
	for end := time.Now().Add(electionLimit); !holds() && time.Now().Before(end); time.Sleep(stopSettle) {
	}
	return holds()
}

// pauseBeyondTheLease pauses a gateway and the leading control node and resumes them. They must not act on outdated
// state after that. The pause lasts until a change was accepted without them.
func (b *blackBox) pauseBeyondTheLease() {
	gate, leader := b.gatewayDaemons[1], b.leader()
	version := b.evidence.table.latestVersion()
	for _, victim := range []*daemon{gate, leader} {
		victim.signal(syscall.SIGSTOP)
	}
	time.Sleep(pauseTime)
	if !b.waitFor(func() bool { return b.evidence.table.latestVersion() != version }) {
		b.t.Errorf("no change was accepted while %s was paused", leader.name)
	}
	before := b.dispatched(gate)
	for _, victim := range []*daemon{gate, leader} {
		victim.signal(syscall.SIGCONT)
	}
	if !b.waitFor(func() bool { return b.dispatched(gate) != before }) {
		b.t.Errorf("%s dispatched nothing after it was resumed", gate.name)
	}
}

// dispatched reads the logs and returns how many dispatches of a gateway have been read so far.
func (b *blackBox) dispatched(gate *daemon) int {
	b.collect()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.dispatchCounts[gate.name]
}

// TestRealProcessesBreakAPromiseUnderKillsRestartsAndPauses checks the promised invariants on processes of the built
// binary that are restarted, killed, and paused beyond their lease.
func TestRealProcessesBreakAPromiseUnderKillsRestartsAndPauses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and runs for half a minute")
	}
	ctx := context.Background()
	b := newBlackBox(t)
	b.startControl()
	b.startBackends(ctx)
	b.startServers()
	finish := b.load(ctx)
	time.Sleep(time.Second)
	b.leaveBackends()
	b.restartAll() // before the kills, because a call affected by a kill may fail much later
	b.killEach()
	b.pauseBeyondTheLease()
	finish()
	b.examineAnswers(b.calls.Stats())
	b.examineVerdicts(b.calls.Calls(), b.runsAnywhere)
	b.examineLateArrivals()
	for _, one := range b.rollouts.trainers {
		b.examineTrainer(one.Stats())
	}
	if err := b.examineHistory(ctx); err != nil {
		t.Error(err)
	}
	stats := b.calls.Stats()
	t.Logf("%d calls, %d answered, %d refused, %d lost, %d cut and sent again; %d samples", stats.Total.Requests, stats.Total.Answered,
		stats.Total.Refused, stats.Total.Lost, stats.Total.Cut, b.rollouts.trainers[0].Stats().Samples)
	for _, result := range b.registry.Results() {
		t.Logf("%-18s examined %6d violated %d", result.Name, result.Examined, result.Violated)
		for _, detail := range result.Details {
			t.Errorf("%s: %s", result.Name, detail)
		}
	}
	if !b.registry.Summary().Passed() {
		t.Errorf("%+v", b.registry.Summary())
	}
}

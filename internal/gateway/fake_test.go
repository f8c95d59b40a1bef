package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/standin/application"
	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// ledgerGroup is the fake's only ledger group.
const ledgerGroup = 1

// fakeCluster is an in-memory control group: the real state machines behind one lock, without consensus.
type fakeCluster struct {
	mutex    sync.Mutex
	machine  *state.Machine
	ledger   *state.Machine
	index    uint64
	controls []*fakeControl
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{machine: state.New(), ledger: state.New()}
}

// change applies a table change and passes the update to every control session.
func (c *fakeCluster) change(t *testing.T, cells ...[3]string) {
	t.Helper()
	change := &wire.TableChange{ChangeId: time.Now().String(), Operator: "test", Note: table.ForceNote}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change.BaseVersion = c.machine.TableVersion()
	for _, cell := range cells {
		change.Cells = append(change.Cells, &wire.CellChange{Row: cell[0], Column: cell[1], Value: cell[2]})
	}
	c.index++
	result := c.machine.Apply(c.index, &wire.Command{Kind: &wire.Command_TableChange{TableChange: change}})
	if result.GetTable().GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatalf("table change was not accepted: %v", result)
	}
	for _, control := range c.controls {
		control.applyUpdate(c.machine)
	}
}

func (c *fakeCluster) control(name string) *fakeControl {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	control := &fakeControl{cluster: c, name: name, view: table.NewView(), leased: true}
	control.applyUpdate(c.machine)
	c.controls = append(c.controls, control)
	return control
}

// fakeControl is one gateway's session with a fakeCluster.
type fakeControl struct {
	cluster *fakeCluster
	name    string

	mutex                  sync.Mutex
	view                   *table.View
	listeners              []func(*table.View)
	leased                 bool
	ticket                 uint64
	left                   bool
	lostReplies            map[string]int // by kind of ledger command: replies still to be lost
	ledgerDown             bool           // the ledger answers no command
	settlementsInFlight    int            // finish and release commands in flight
	maxSettlementsInFlight int            // highest value of settlementsInFlight so far
}

func (f *fakeControl) applyUpdate(machine *state.Machine) {
	f.mutex.Lock()
	view, err := f.view.Apply(machine.TableUpdate(f.view.Version()))
	if err != nil {
		panic(err)
	}
	f.view = view
	listeners := f.listeners
	f.mutex.Unlock()
	for _, listener := range listeners {
		listener(view)
	}
}

func (f *fakeControl) Admit() (uint64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.Version(), f.leased
}

func (f *fakeControl) View() *table.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view
}

func (f *fakeControl) OnUpdate(listener func(*table.View)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listeners = append(f.listeners, listener)
}

func (f *fakeControl) Members() *wire.MembersView  { return &wire.MembersView{} }
func (f *fakeControl) Owner() string               { return f.name + "#1" }
func (f *fakeControl) ClaimGroup(string) uint32    { return ledgerGroup }
func (f *fakeControl) Leave(context.Context) error { f.set(func() { f.left = true }); return nil }
func (f *fakeControl) Close() error                { return nil }
func (f *fakeControl) set(change func())           { f.mutex.Lock(); defer f.mutex.Unlock(); change() }
func (f *fakeControl) loseReplies(kind string, n int) {
	f.set(func() { f.lostReplies = map[string]int{kind: n} })
}

func (f *fakeControl) LearnedIndex(uint32) uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ticket
}

func commandKind(command *wire.Command) string {
	switch command.Kind.(type) {
	case *wire.Command_ClaimBegin:
		return "begin"
	case *wire.Command_ClaimFinish:
		return "finish"
	case *wire.Command_ClaimRelease:
		return "release"
	case *wire.Command_ClaimRefuse:
		return "refuse"
	}
	return ""
}

func (f *fakeControl) Execute(ctx context.Context, _ uint32, command *wire.Command) (*wire.Result, error) {
	f.mutex.Lock()
	down, lose := f.ledgerDown, f.lostReplies[commandKind(command)] > 0
	if lose {
		f.lostReplies[commandKind(command)]--
	}
	if kind := commandKind(command); kind == "release" || kind == "finish" {
		f.settlementsInFlight++
		f.maxSettlementsInFlight = max(f.maxSettlementsInFlight, f.settlementsInFlight)
		defer f.set(func() { f.settlementsInFlight-- })
	}
	f.mutex.Unlock()
	if down {
		<-ctx.Done()
		return nil, verdict.New(verdict.MayHaveRun, "no answer")
	}
	f.cluster.mutex.Lock()
	f.cluster.index++
	result := f.cluster.ledger.Apply(f.cluster.index, command)
	f.cluster.mutex.Unlock()
	if lose {
		return nil, verdict.New(verdict.MayHaveRun, "the reply was lost")
	}
	f.set(func() { f.ticket = max(f.ticket, result.GetClaim().GetIndex()) })
	return result, nil
}

func (f *fakeControl) Query(_ context.Context, _ uint32, query *wire.Query) (*wire.View, error) {
	f.cluster.mutex.Lock()
	defer f.cluster.mutex.Unlock()
	return f.cluster.ledger.Query(query)
}

// fixture is a small fleet on the loopback interface.
type fixture struct {
	cluster  *fakeCluster
	engines  []*enginestandin.Server
	apps     []*application.Server
	gateways []*Server
	controls []*fakeControl
}

// engineStepTime keeps the emulated engines fast.
const engineStepTime = time.Millisecond

// detachGrace is so long that an unread stream ends only when a gateway cancels it.
const detachGrace = time.Hour

func fastEngineParameters() engine.Parameters {
	parameters := engine.DefaultParameters()
	parameters.StepBase = engineStepTime
	return parameters
}

// newFixture starts the given numbers of engines in the pool copy, applications in the pool push, and gateways.
// configure, unless nil, adjusts the settings of each gateway.
func newFixture(t *testing.T, engines, apps, gateways int, configure func(*Config)) *fixture {
	t.Helper()
	f := &fixture{cluster: newFakeCluster()}
	cells := [][3]string{{"copy", "kind", "pool"}, {"push", "kind", "pool"}, {"push", "service", "application"}}
	add := func(name, pool, address string) {
		cells = append(cells, [3]string{name, "kind", "backend"}, [3]string{name, "pool", pool}, [3]string{name, "address", address})
	}
	for i := range engines {
		server, err := enginestandin.New(enginestandin.Config{Name: "e" + string(rune('0'+i)), Listen: "127.0.0.1:0",
			Parameters: fastEngineParameters(), DetachGrace: detachGrace, InitialVersion: "w1", InitialVersionNumber: 1, Log: logging.Discard()})
		if err != nil {
			t.Fatal(err)
		}
		run(t, server)
		f.engines = append(f.engines, server)
		add("e"+string(rune('0'+i)), "copy", server.Address())
	}
	for i := range apps {
		server, err := application.New(application.Config{Name: "a" + string(rune('0'+i)), Listen: "127.0.0.1:0", Log: logging.Discard()})
		if err != nil {
			t.Fatal(err)
		}
		run(t, server)
		f.apps = append(f.apps, server)
		add("a"+string(rune('0'+i)), "push", server.Address())
	}
	f.cluster.change(t, cells...)
	for i := range gateways {
		name := "g" + string(rune('0'+i))
		control := f.cluster.control(name)
		config := Config{Name: name, Listen: "127.0.0.1:0", Control: control, LoadInterval: 20 * time.Millisecond}
		if configure != nil {
			configure(&config)
		}
		server, err := New(config)
		if err != nil {
			t.Fatal(err)
		}
		run(t, server)
		f.gateways = append(f.gateways, server)
		f.controls = append(f.controls, control)
	}
	return f
}

type runnable interface {
	Run(context.Context) error
	Close() error
}

// run serves until the test ends.
func run(t *testing.T, server runnable) {
	t.Helper()
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		<-done
	})
}

// answer is the answer that a caller got.
type answer struct {
	status int
	header http.Header
	body   string
}

// post sends a request to a gateway. headers are pairs of name and value.
func (f *fixture) post(t *testing.T, gateway int, path, body string, headers ...string) answer {
	t.Helper()
	return f.postAndNotify(t, gateway, path, body, func() {}, headers...)
}

// postAndNotify sends a request to a gateway and calls onFirstByte once the first bytes of the answer's body have
// arrived.
func (f *fixture) postAndNotify(t *testing.T, gateway int, path, body string, onFirstByte func(), headers ...string) answer {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.gateways[gateway].Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	_, _ = reader.Peek(1) // an error here recurs in the read below
	onFirstByte()
	content, err := io.ReadAll(reader)
	if err != nil {
		t.Fatalf("reading the answer: %v", err)
	}
	return answer{status: response.StatusCode, header: response.Header, body: string(content)}
}

// push sends a request with an idempotency key to the application pool.
func (f *fixture) push(t *testing.T, gateway int, key, body string, headers ...string) answer {
	t.Helper()
	return f.post(t, gateway, "/v1/pools/push/push", body, append([]string{HeaderKey, key}, headers...)...)
}

// executions returns how often a key ran, summed over all application replicas.
func (f *fixture) executions(key string) int {
	count := 0
	for _, app := range f.apps {
		count += app.Executions(key)
	}
	return count
}

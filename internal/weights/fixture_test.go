package weights

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// fakeControl runs the state machine of the control group without consensus.
type fakeControl struct {
	mutex   sync.Mutex
	machine *state.Machine
	index   uint64
	queries atomic.Int64
	// loseFenceReplies makes fence acquisitions time out for their caller although they are applied.
	loseFenceReplies atomic.Bool
}

func (f *fakeControl) Execute(_ context.Context, _ uint32, command *wire.Command) (*wire.Result, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.index++
	result := f.machine.Apply(f.index, command)
	if f.loseFenceReplies.Load() && command.GetFenceAcquire() != nil {
		return nil, context.DeadlineExceeded
	}
	return result, nil
}

func (f *fakeControl) Query(_ context.Context, _ uint32, query *wire.Query) (*wire.View, error) {
	f.queries.Add(1)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.machine.Query(query)
}

// fakeSender simulates replicas that execute orders immediately, and checks the orders that they get.
type fakeSender struct {
	t              *testing.T
	mutex          sync.Mutex
	replicas       map[string]*fakeReplica
	loading        int
	maxLoading     int
	highestFence   uint64         // highest fencing token seen
	refusedByFence map[uint64]int // orders rejected because of a lower fencing token, by token
	reports        int            // number of status requests
	reportGate     chan struct{}  // if not nil, status requests block until it is closed
}

// waitForReports waits until the given number of status requests were sent.
func (f *fakeSender) waitForReports(count int) {
	for {
		f.mutex.Lock()
		reached := f.reports >= count
		f.mutex.Unlock()
		if reached {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

type fakeReplica struct {
	taken         uint64
	serving       map[string]uint64
	answersToLose int // number of further accepted orders whose answer is lost
}

func (f *fakeSender) Report(_ context.Context, target replica.Target, model string) (Report, error) {
	f.mutex.Lock()
	f.reports++
	f.mutex.Unlock()
	if f.reportGate != nil {
		<-f.reportGate
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	one := f.replicas[target.Instance]
	report := Report{OrdersAccepted: one.taken, Serving: one.serving[model]}
	for name, number := range one.serving {
		report.Models = append(report.Models, registry.ModelVersion{Model: name, Number: number})
	}
	return report, nil
}

func (f *fakeSender) Order(_ context.Context, order Order) (Acceptance, error) {
	f.mutex.Lock()
	f.loading++
	f.maxLoading = max(f.maxLoading, f.loading)
	f.mutex.Unlock()
	time.Sleep(5 * time.Millisecond)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loading--
	one := f.replicas[order.Instance]
	switch {
	case order.Fence < f.highestFence:
		f.refusedByFence[order.Fence]++
		return 0, ErrSuperseded
	case order.ExpectedOrders != one.taken:
		return OrderRejected, nil
	}
	f.highestFence = order.Fence
	one.taken++
	if one.serving[order.Model] > order.Number {
		f.t.Errorf("%s was ordered to load the older version %d", order.Instance, order.Number)
	}
	one.serving[order.Model] = order.Number
	if one.answersToLose > 0 {
		one.answersToLose--
		return 0, errors.New("answer lost")
	}
	return AlreadyServing, nil
}

func (f *fakeSender) serve(model string, number uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, one := range f.replicas {
		if one.serving[model] != number {
			return false
		}
	}
	return true
}

// count returns the number of replicas that serve the version.
func (f *fakeSender) count(model string, number uint64) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, one := range f.replicas {
		if one.serving[model] == number {
			count++
		}
	}
	return count
}

type fixture struct {
	control *fakeControl
	sender  *fakeSender
	leading atomic.Bool
	driver  *Driver
}

func startFixture(t *testing.T, replicas int) *fixture {
	t.Helper()
	f := newFixture(t, replicas)
	f.run(t)
	return f
}

func (f *fixture) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.driver.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func newFixture(t *testing.T, replicas int) *fixture {
	t.Helper()
	f := &fixture{control: &fakeControl{machine: state.New()}, sender: &fakeSender{t: t, replicas: map[string]*fakeReplica{}, refusedByFence: map[uint64]int{}}}
	f.leading.Store(true)
	made := table.New()
	change := &wire.TableChange{ChangeId: "make", Operator: "test", Cells: []*wire.CellChange{{Row: "pool", Column: "kind", Value: "pool"}}}
	for number := range replicas {
		name := fmt.Sprint("i-", number)
		f.sender.replicas[name] = &fakeReplica{serving: map[string]uint64{"m0": 1, "m1": 1}, answersToLose: number % 2}
		for column, value := range map[string]string{"kind": "backend", "pool": "pool", "address": fmt.Sprint("10.0.0.1:", number+1)} {
			change.Cells = append(change.Cells, &wire.CellChange{Row: name, Column: column, Value: value})
		}
	}
	made.Apply(change)
	view, err := table.NewView().Apply(made.UpdateSince(0))
	if err != nil || len(view.Backends("pool")) != replicas {
		t.Fatal(err, view.Rows())
	}
	driver, err := NewDriver(Config{Control: f.control, Sender: f.sender, View: func() *table.View { return view },
		IsLeader: f.leading.Load, Owner: "node", PollInterval: 5 * time.Millisecond, Takeover: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	f.driver = driver
	for name := range f.sender.replicas {
		driver.ObserveHeartbeat(&registry.Registration{Instance: name, Models: []registry.ModelVersion{{Model: "m0", Number: 1}, {Model: "m1", Number: 1}}})
	}
	return f
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		if t.Context().Err() != nil {
			t.Fatal(what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

package weights

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wave"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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

// TestAllReplicasReachNewestVersion checks that all replicas reach the newest version of two models with at most
// DefaultMaxConcurrentLoads loads at a time, also if answers are lost, and that the first leader ever does not wait.
func TestAllReplicasReachNewestVersion(t *testing.T) {
	f := startFixture(t, 5)
	for _, version := range []struct {
		model  string
		number uint64
	}{{"m0", 2}, {"m1", 2}, {"m0", 3}, {"m0", 2}, {"m0", 3}} {
		if err := RegisterVersion(t.Context(), f.control, version.model, version.number, "trainer"); err != nil {
			t.Fatal(err)
		}
		f.driver.RequestVersionRead()
	}
	eventually(t, "timed out waiting for all replicas to serve the newest version of m0", func() bool { return f.sender.serve("m0", 3) })
	eventually(t, "timed out waiting for all replicas to serve the newest version of m1", func() bool { return f.sender.serve("m1", 2) })
	if f.sender.maxLoading > DefaultMaxConcurrentLoads {
		t.Fatalf("%d concurrent loads, outside the allowed range", f.sender.maxLoading)
	}
	if err := RegisterVersion(t.Context(), f.control, "", 1, "trainer"); !trace.IsBadParameter(err) {
		t.Fatalf("RegisterVersion without a model: got error %v, want BadParameter", err)
	}
}

// reviewedSlots returns the number of load slots after a review of all replicas.
func reviewedSlots(d *Driver) int {
	d.resetPlans()
	d.reviewReplicas(d.config.View())
	return d.loadSlots
}

// TestLoadSlotsScaleWithReplicas checks that the number of load slots grows with the fleet. With a fixed number a
// large fleet falls behind its trainers.
func TestLoadSlotsScaleWithReplicas(t *testing.T) {
	for replicas, want := range map[int]int{1: 2, 5: 2, 9: 2, 11: 2, 30: 6, 45: 9, 48: 10} {
		f := newFixture(t, replicas)
		if got := reviewedSlots(f.driver); got != want {
			t.Errorf("got %d load slots for %d replicas, want %d", got, replicas, want)
		}
	}
	f := startFixture(t, 30)
	if err := RegisterVersion(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.driver.RequestVersionRead()
	eventually(t, "timed out waiting for all replicas to serve the newest version of m0", func() bool { return f.sender.serve("m0", 2) })
	if f.sender.maxLoading <= DefaultMaxConcurrentLoads || f.sender.maxLoading > 6 {
		t.Fatalf("%d concurrent loads, outside the allowed range", f.sender.maxLoading)
	}
}

// TestFinishedLoadsDoNotQueryVersions checks that versions are read at each poll interval and on request, but not
// after each of many loads.
func TestFinishedLoadsDoNotQueryVersions(t *testing.T) {
	f := newFixture(t, 60)
	f.driver.config.PollInterval = time.Hour
	if err := RegisterVersion(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.run(t)
	before := f.control.queries.Load()
	f.driver.RequestVersionRead()
	eventually(t, "timed out waiting for all replicas to serve the newest version of m0", func() bool { return f.sender.serve("m0", 2) })
	if asked := f.control.queries.Load() - before; asked > 8 {
		t.Fatalf("60 loads caused %d queries to the control group, want at most 8", asked)
	}
}

// TestFrequentReleasesDoNotStarveReplicas registers a new version as soon as one replica serves the last one, and
// checks that each replica is updated nevertheless.
func TestFrequentReleasesDoNotStarveReplicas(t *testing.T) {
	const replicas = 6
	f := startFixture(t, replicas)
	for number := uint64(2); number < 2+2*replicas; number++ {
		if err := RegisterVersion(t.Context(), f.control, "m0", number, "trainer"); err != nil {
			t.Fatal(err)
		}
		f.driver.RequestVersionRead()
		eventually(t, "timed out waiting for a replica to serve the version", func() bool { return f.sender.count("m0", number) > 0 })
	}
	if left := f.sender.count("m0", 1); left > 0 {
		t.Fatalf("%d replicas still serve the first version, want 0", left)
	}
}

// TestNewLeaderWaits checks that a leader sends no orders before the takeover time has passed if another machine sent
// the last ones, and that it offers the leadership to that machine until an offer succeeds.
func TestNewLeaderWaits(t *testing.T) {
	f := newFixture(t, 2)
	acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: "other", RequestId: "other"}
	if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
		t.Fatal(err)
	}
	_ = RegisterVersion(t.Context(), f.control, "m0", 2, "trainer")
	var offered atomic.Int64
	f.driver.config.HandOver = func(_ context.Context, owner string) error {
		if owner != "other" {
			t.Errorf("the leadership was offered to %q, want other", owner)
		}
		if offered.Add(1) == 1 {
			return errors.New("not back yet")
		}
		return nil
	}
	f.run(t)
	eventually(t, "timed out waiting for two offers of the leadership", func() bool { return offered.Load() == 2 })
	eventually(t, "timed out waiting for more than 10 queries to the control group", func() bool { return f.control.queries.Load() > 10 })
	f.sender.mutex.Lock()
	defer f.sender.mutex.Unlock()
	if f.sender.highestFence != 0 || offered.Load() != 2 {
		t.Fatalf("a new leader sent orders within the takeover time, or made %d offers instead of 2", offered.Load())
	}
}

// TestSupersededTokenIsNotReused checks that after a replica has seen a higher token than that of this leader, only
// the orders already sent are rejected and later ones carry a new token.
func TestSupersededTokenIsNotReused(t *testing.T) {
	const seen = 4
	f := newFixture(t, 6)
	f.sender.highestFence = seen
	if err := RegisterVersion(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.run(t)
	eventually(t, "timed out waiting for all replicas to serve the version", func() bool { return f.sender.serve("m0", 2) })
	f.sender.mutex.Lock()
	defer f.sender.mutex.Unlock()
	if len(f.sender.refusedByFence) == 0 {
		t.Fatal("no order was rejected, want some with the old token")
	}
	for token, times := range f.sender.refusedByFence {
		if token >= seen || times > DefaultMaxConcurrentLoads {
			t.Errorf("token %d was rejected %d times, want only older tokens and at most one rejection per load slot", token, times)
		}
	}
}

// TestPreviousOwnerResumesWithoutWaiting checks that the machine that sent the last orders does not wait when it
// leads again.
func TestPreviousOwnerResumesWithoutWaiting(t *testing.T) {
	f := newFixture(t, 3)
	for _, owner := range []string{"other", "node"} {
		acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: owner, RequestId: owner}
		if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
			t.Fatal(err)
		}
	}
	_ = RegisterVersion(t.Context(), f.control, "m0", 2, "trainer")
	f.run(t)
	eventually(t, "timed out waiting for all replicas to serve the version", func() bool { return f.sender.serve("m0", 2) })
}

// TestTakeoverWaitRestartsWithNewOwner checks that the takeover wait starts again if another machine acquires the
// orders during it.
func TestTakeoverWaitRestartsWithNewOwner(t *testing.T) {
	f := newFixture(t, 1)
	now := time.Duration(0)
	f.driver.config.Clock, f.driver.config.Takeover = func() time.Duration { return now }, 4*time.Second
	owned := func(owner string) {
		acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: owner, RequestId: owner}
		if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
			t.Fatal(err)
		}
	}
	owned("first")
	for ; now < 6*time.Second; now += time.Second {
		if now == 3*time.Second {
			owned("second")
		}
		if f.driver.takeOver(t.Context()) {
			t.Fatalf("took over the orders after %s, want 7s", now)
		}
	}
	if now = 7 * time.Second; !f.driver.takeOver(t.Context()) {
		t.Fatal("did not take over the orders after 7s")
	}
}

// TestSilentOwnerIsReplacedEarly checks that the orders of a silent owner are taken early if replicas check fencing
// tokens. The full takeover time applies if the owner stops by plan or if replicas check no tokens, and an answer of
// the owner restarts the silence timeout.
func TestSilentOwnerIsReplacedEarly(t *testing.T) {
	stops := errors.New("the owner stops")
	const step = 100 * time.Millisecond
	for name, one := range map[string]struct {
		unchecked bool
		answers   func(now time.Duration) error
		want      time.Duration
	}{
		"silent":              {false, func(time.Duration) error { return ErrOwnerSilent }, handOverDelay + ownerSilenceTimeout},
		"silent, not checked": {true, func(time.Duration) error { return ErrOwnerSilent }, 4 * time.Second},
		"stops":               {false, func(time.Duration) error { return stops }, 4 * time.Second},
		"heard in between": {false, func(now time.Duration) error {
			if now < time.Second {
				return stops
			}
			return ErrOwnerSilent
		}, time.Second + ownerSilenceTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			now := time.Duration(0)
			f.driver.config.Clock, f.driver.config.Takeover = func() time.Duration { return now }, 4*time.Second
			f.driver.config.ReplicasCheckFences = !one.unchecked
			f.driver.config.HandOver = func(context.Context, string) error { return one.answers(now) }
			acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: "other", RequestId: "other"}
			if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
				t.Fatal(err)
			}
			for !f.driver.takeOver(t.Context()) {
				if now += step; now > one.want {
					t.Fatalf("orders not taken after %s", now)
				}
			}
			if now < one.want {
				t.Fatalf("orders taken after %s, want %s", now, one.want)
			}
		})
	}
}

// TestLoadSlotIsFreedAtExpectedEndOfLoad checks that an order occupies its load slot until the expected end of its
// load, and that its replica gets no other order before the first has ended.
func TestLoadSlotIsFreedAtExpectedEndOfLoad(t *testing.T) {
	f := newFixture(t, 3)
	d := f.driver
	view := d.config.View()
	d.planners = map[string]*wave.Planner{"m0": wave.New(wave.Config{})}
	d.planners["m0"].Release(0, wave.Version{Name: "newest", Number: 2})
	first, later := &load{order: Order{Target: replica.Target{Instance: "i-0"}}}, &load{order: Order{Target: replica.Target{Instance: "i-0"}}}
	d.loadSlots, d.loadingModels["i-0"], d.slotHolders["i-0"] = 1, "m0", first
	next := func(instance string) queuedOrder {
		return queuedOrder{"m0", wave.Order{Replica: instance, Version: d.planners["m0"].Target()}}
	}
	d.queue = []queuedOrder{next("i-0"), next("i-1")}
	if d.sendNext(t.Context(), view, d.countSupplies()) {
		t.Fatal("an order was sent without a free load slot")
	}
	d.releaseSlot(later)
	if d.sendNext(t.Context(), view, d.countSupplies()) {
		t.Fatal("a load that holds no slot freed the slot of another load")
	}
	d.releaseSlot(first)
	if !d.sendNext(t.Context(), view, d.countSupplies()) || d.slotHolders["i-1"] == nil || d.loadingModels["i-0"] == "" {
		t.Fatalf("no order was sent to i-1, or i-0 is no longer loading: slot holders %v, loading models %v", d.slotHolders, d.loadingModels)
	}
	d.background.Wait()
	d.handleResult(<-d.results)
	if d.sendNext(t.Context(), view, d.countSupplies()) {
		t.Fatal("an order was sent to a replica whose previous order has not ended")
	}
}

// TestBlockedVersionReadsDoNotDelayLoads checks that loads continue while the control group answers no read of
// versions.
func TestBlockedVersionReadsDoNotDelayLoads(t *testing.T) {
	f := newFixture(t, 8)
	if err := RegisterVersion(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	blocked := make(chan struct{})
	release := make(chan struct{})
	f.driver.config.Control = &silentControl{fakeControl: f.control, answers: 6, blocked: blocked, release: release}
	f.run(t)
	t.Cleanup(func() { close(release) }) // registered last, so that it runs before the driver is stopped
	f.driver.RequestVersionRead()
	<-blocked
	eventually(t, "timed out waiting for all replicas to serve the newest version of m0", func() bool { return f.sender.serve("m0", 2) })
}

// silentControl answers the given number of reads of versions and blocks the later ones.
type silentControl struct {
	*fakeControl
	mutex   sync.Mutex
	answers int
	blocked chan struct{} // closed when the first read blocks
	release chan struct{} // closed to end the blocked reads
}

func (s *silentControl) Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	s.mutex.Lock()
	s.answers--
	left := s.answers
	s.mutex.Unlock()
	if left >= 0 || query.GetVersions() == nil {
		return s.fakeControl.Query(ctx, group, query)
	}
	if left == -1 {
		close(s.blocked)
	}
	<-s.release
	return nil, errors.New("no answer")
}

// TestNewLeaderSurveysReplicas checks that a single heartbeat reveals which pool holds models and that the replicas
// themselves supply the rest. A new leadership surveys them again, and a report with an older version changes
// nothing.
func TestNewLeaderSurveysReplicas(t *testing.T) {
	f := newFixture(t, 6)
	f.driver.reportedVersions, f.driver.reported = map[string][]registry.ModelVersion{}, map[string]bool{}
	f.sender.reportGate = make(chan struct{})
	for number := range 6 {
		f.sender.replicas[fmt.Sprint("i-", number)].serving["m0"] = 3
	}
	f.run(t)
	known := func(number uint64) bool {
		serving := f.driver.Serving()
		if len(serving.Replicas("m0")) != 6 {
			return false
		}
		for _, served := range serving.Replicas("m0") {
			if served.Version != number {
				return false
			}
		}
		return true
	}
	f.driver.ObserveHeartbeat(&registry.Registration{Instance: "i-0", Models: []registry.ModelVersion{{Model: "m0", Number: 3}}})
	f.sender.waitForReports(5)
	if serving := f.driver.Serving(); serving.HasVersions() {
		t.Error("versions are published after a report of one replica of six")
	}
	eventually(t, "timed out waiting for Serving to be nil during the survey", func() bool { return f.driver.Serving() == nil })
	close(f.sender.reportGate)
	eventually(t, "timed out waiting for all replicas to be known", func() bool { return known(3) })
	f.driver.ObserveHeartbeat(&registry.Registration{Instance: "i-0", Models: []registry.ModelVersion{{Model: "m0", Number: 1}}})
	f.driver.mutex.Lock()
	if held := f.driver.reportedVersions["i-0"]; len(held) != 1 || held[0].Number != 3 {
		t.Errorf("versions after an older report: got %v, want version 3", held)
	}
	f.driver.mutex.Unlock()
	f.leading.Store(false)
	eventually(t, "timed out waiting for the Serving to be withdrawn after the loss of the leadership", func() bool { return f.driver.published.Load() == nil })
	f.sender.mutex.Lock()
	for _, one := range f.sender.replicas {
		one.serving["m0"] = 4
	}
	f.sender.mutex.Unlock()
	f.leading.Store(true)
	eventually(t, "timed out waiting for all replicas to be known after the second survey", func() bool { return known(4) })
}

// TestQueueOrderFollowsScarcityAndDemand checks that orders of scarce models come first, and then those of the model
// whose newest version is served or being loaded by fewer replicas relative to its demand.
func TestQueueOrderFollowsScarcityAndDemand(t *testing.T) {
	for name, one := range map[string]struct {
		serving map[string]map[string]uint64
		loading map[string]string
		demand  map[string]uint64
		want    []string
	}{
		"m1 is scarce": {map[string]map[string]uint64{
			"m0": {"i-0": 8, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 9, "i-1": 9, "i-2": 11, "i-3": 9}},
			nil, nil, []string{"m1", "m1", "m0", "m0"}},
		"neither is scarce and no replica serves the newest version of m0": {map[string]map[string]uint64{
			"m0": {"i-0": 8, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 9, "i-1": 10, "i-2": 11, "i-3": 9}},
			nil, nil, []string{"m0", "m0", "m1", "m1"}},
		"m1 has three times the demand": {map[string]map[string]uint64{
			"m0": {"i-0": 9, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 11, "i-1": 11, "i-2": 10, "i-3": 10}},
			nil, map[string]uint64{"m0": 100, "m1": 300}, []string{"m1", "m1", "m0", "m0"}},
		"m1 has the same demand": {map[string]map[string]uint64{
			"m0": {"i-0": 9, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 11, "i-1": 11, "i-2": 10, "i-3": 10}},
			nil, map[string]uint64{"m0": 300, "m1": 300}, []string{"m0", "m0", "m1", "m1"}},
		"m1 has far more demand but no replica serves the newest version of m0": {map[string]map[string]uint64{
			"m0": {"i-0": 8, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 11, "i-1": 10, "i-2": 10, "i-3": 10}},
			nil, map[string]uint64{"m0": 1, "m1": 1_000_000}, []string{"m0", "m0", "m1", "m1"}},
		"the ratio of demands is bounded at four": {map[string]map[string]uint64{
			"m0": {"i-0": 9, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 11, "i-1": 11, "i-2": 11, "i-3": 11}},
			map[string]string{"i-0": "m1"}, map[string]uint64{"m0": 1, "m1": 1_000_000}, []string{"m0", "m0", "m1", "m1"}},
		"m0 is loading": {map[string]map[string]uint64{
			"m0": {"i-0": 8, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 9, "i-1": 10, "i-2": 11, "i-3": 9}},
			map[string]string{"i-0": "m0", "i-1": "m0"}, nil, []string{"m1", "m1", "m0", "m0"}},
	} {
		d := newFixture(t, 4).driver
		d.resetPlans()
		for model, versions := range one.serving {
			for instance, version := range versions {
				d.served.setVersion(model, instance, version)
			}
		}
		for instance, model := range one.loading {
			d.setLoading(instance, model)
		}
		d.config.Demand = func() map[string]uint64 { return one.demand }
		for model, target := range map[string]uint64{"m0": 9, "m1": 11} {
			d.planners[model] = wave.New(wave.Config{})
			d.planners[model].Release(0, wave.Version{Name: "newest", Number: target})
		}
		for _, model := range []string{"m0", "m1", "m0", "m1"} {
			d.queue = append(d.queue, queuedOrder{model, wave.Order{Version: d.planners[model].Target()}})
		}
		d.sortQueue(d.countSupplies())
		var got []string
		for _, next := range d.queue {
			got = append(got, next.model)
		}
		if !slices.Equal(got, one.want) {
			t.Errorf("case %q: got order %v, want %v", name, got, one.want)
		}
	}
}

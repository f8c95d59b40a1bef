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

// fakeControl is the control group's state machine without consensus.
type fakeControl struct {
	mutex   sync.Mutex
	machine *state.Machine
	index   uint64
	queries atomic.Int64
	// lateFences: commands that acquire a token are applied after their callers have given up.
	lateFences atomic.Bool
}

func (f *fakeControl) Execute(_ context.Context, _ uint32, command *wire.Command) (*wire.Result, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.index++
	result := f.machine.Apply(f.index, command)
	if f.lateFences.Load() && command.GetFenceAcquire() != nil {
		return nil, context.DeadlineExceeded
	}
	return result, nil
}

func (f *fakeControl) Query(_ context.Context, _ uint32, query *wire.Query) (*wire.View, error) {
	f.queries.Add(1)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.machine.Query(query), nil
}

// fleet is replicas that load at once, and check what they are ordered.
type fleet struct {
	t        *testing.T
	mutex    sync.Mutex
	replicas map[string]*engine
	loading  int
	most     int
	highest  uint64         // fence
	refused  map[uint64]int // orders with a lower one, by fence
	reports  int            // that were asked for
	held     chan struct{}  // reports wait until it is closed; nil: they don't
}

// asked waits until so many reports were asked for.
func (f *fleet) asked(count int) {
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

type engine struct {
	taken   uint64
	serving map[string]uint64
	lose    int // answers of orders that are lost after they were taken
}

func (f *fleet) Report(_ context.Context, target replica.Target, model string) (Report, error) {
	f.mutex.Lock()
	f.reports++
	f.mutex.Unlock()
	if f.held != nil {
		<-f.held
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	one := f.replicas[target.Instance]
	report := Report{Taken: one.taken, Serving: one.serving[model]}
	for name, number := range one.serving {
		report.Models = append(report.Models, registry.ModelVersion{Model: name, Number: number})
	}
	return report, nil
}

func (f *fleet) Order(_ context.Context, order Order) (Acceptance, error) {
	f.mutex.Lock()
	f.loading++
	f.most = max(f.most, f.loading)
	f.mutex.Unlock()
	time.Sleep(5 * time.Millisecond)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loading--
	one := f.replicas[order.Instance]
	switch {
	case order.Fence < f.highest:
		f.refused[order.Fence]++
		return 0, ErrSuperseded
	case order.Expected != one.taken:
		return Conflict, nil
	}
	f.highest = order.Fence
	one.taken++
	if one.serving[order.Model] > order.Number {
		f.t.Errorf("%s was ordered back to %d", order.Instance, order.Number)
	}
	one.serving[order.Model] = order.Number
	if one.lose > 0 {
		one.lose--
		return 0, errors.New("answer lost")
	}
	return Holds, nil
}

func (f *fleet) serve(model string, number uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, one := range f.replicas {
		if one.serving[model] != number {
			return false
		}
	}
	return true
}

// count returns how many replicas serve a version.
func (f *fleet) count(model string, number uint64) int {
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
	fleet   *fleet
	leading atomic.Bool
	driver  *Driver
}

func start(t *testing.T, replicas int) *fixture {
	t.Helper()
	f := prepare(t, replicas)
	f.run(t)
	return f
}

func (f *fixture) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.driver.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func prepare(t *testing.T, replicas int) *fixture {
	t.Helper()
	f := &fixture{control: &fakeControl{machine: state.New()}, fleet: &fleet{t: t, replicas: map[string]*engine{}, refused: map[uint64]int{}}}
	f.leading.Store(true)
	made := table.New()
	change := &wire.TableChange{ChangeId: "make", Operator: "test", Cells: []*wire.CellChange{{Row: "pool", Column: "kind", Value: "pool"}}}
	for number := range replicas {
		name := fmt.Sprint("i-", number)
		f.fleet.replicas[name] = &engine{serving: map[string]uint64{"m0": 1, "m1": 1}, lose: number % 2}
		for column, value := range map[string]string{"kind": "backend", "pool": "pool", "address": fmt.Sprint("10.0.0.1:", number+1)} {
			change.Cells = append(change.Cells, &wire.CellChange{Row: name, Column: column, Value: value})
		}
	}
	made.Apply(change)
	view, err := table.NewView().Apply(made.Update(0))
	if err != nil || len(view.Backends("pool")) != replicas {
		t.Fatal(err, view.Rows())
	}
	driver, err := NewDriver(Config{Control: f.control, Sender: f.fleet, View: func() *table.View { return view },
		Leading: f.leading.Load, Owner: "node", Poll: 5 * time.Millisecond, Takeover: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	f.driver = driver
	for name := range f.fleet.replicas {
		driver.Heard(&registry.Registration{Instance: name, Models: []registry.ModelVersion{{Model: "m0", Number: 1}, {Model: "m1", Number: 1}}})
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

// TestAllReplicasComeToTheNewestVersion: two at a time over both models, also where answers are lost; the first
// leader of all does not wait.
func TestAllReplicasComeToTheNewestVersion(t *testing.T) {
	f := start(t, 5)
	for _, version := range []struct {
		model  string
		number uint64
	}{{"m0", 2}, {"m1", 2}, {"m0", 3}, {"m0", 2}, {"m0", 3}} {
		if err := Put(t.Context(), f.control, version.model, version.number, "trainer"); err != nil {
			t.Fatal(err)
		}
		f.driver.Look()
	}
	eventually(t, "m0", func() bool { return f.fleet.serve("m0", 3) })
	eventually(t, "m1", func() bool { return f.fleet.serve("m1", 2) })
	if f.fleet.most > DefaultLoadsTogether {
		t.Fatalf("%d loads at once", f.fleet.most)
	}
	if err := Put(t.Context(), f.control, "", 1, "trainer"); !trace.IsBadParameter(err) {
		t.Fatalf("a version without a model: %v", err)
	}
}

// TestPlacesGrowWithTheReplicas: with few places a fleet of many replicas falls behind its trainers.
func TestPlacesGrowWithTheReplicas(t *testing.T) {
	for replicas, want := range map[int]int{1: 2, 5: 2, 9: 2, 11: 2, 30: 6, 45: 9, 48: 10} {
		f := prepare(t, replicas)
		if got := f.driver.placesFor(f.driver.replicas(f.driver.config.View())); got != want {
			t.Errorf("%d replicas load at once of %d, want %d", got, replicas, want)
		}
	}
	f := start(t, 30)
	if err := Put(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.driver.Look()
	eventually(t, "m0", func() bool { return f.fleet.serve("m0", 2) })
	if f.fleet.most <= DefaultLoadsTogether || f.fleet.most > 6 {
		t.Fatalf("%d loads at once", f.fleet.most)
	}
}

// TestEndsOfLoadsAskNothing: named versions are looked for at each interval and when one is named, not whenever one of
// many loads ends.
func TestEndsOfLoadsAskNothing(t *testing.T) {
	f := prepare(t, 60)
	f.driver.config.Poll = time.Hour
	if err := Put(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.run(t)
	before := f.control.queries.Load()
	f.driver.Look()
	eventually(t, "m0", func() bool { return f.fleet.serve("m0", 2) })
	if asked := f.control.queries.Load() - before; asked > 8 {
		t.Fatalf("60 loads asked the control group %d times", asked)
	}
}

// TestNoReplicaStaysBehind names a version whenever a replica serves the last one: still each gets its turn.
func TestNoReplicaStaysBehind(t *testing.T) {
	const replicas = 6
	f := start(t, replicas)
	for number := uint64(2); number < 2+2*replicas; number++ {
		if err := Put(t.Context(), f.control, "m0", number, "trainer"); err != nil {
			t.Fatal(err)
		}
		f.driver.Look()
		eventually(t, "a replica with the version", func() bool { return f.fleet.count("m0", number) > 0 })
	}
	if left := f.fleet.count("m0", 1); left > 0 {
		t.Fatalf("%d replicas still serve the first version", left)
	}
}

// TestNewLeaderWaits: once another machine has sent orders, this one waits before its first and offers the leadership
// to that one until it was asked.
func TestNewLeaderWaits(t *testing.T) {
	f := prepare(t, 2)
	acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: "other", RequestId: "other"}
	if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
		t.Fatal(err)
	}
	_ = Put(t.Context(), f.control, "m0", 2, "trainer")
	var offered atomic.Int64
	f.driver.config.HandOver = func(_ context.Context, owner string) error {
		if owner != "other" {
			t.Errorf("the leadership was offered to %q", owner)
		}
		if offered.Add(1) == 1 {
			return errors.New("not back yet")
		}
		return nil
	}
	f.run(t)
	eventually(t, "two offers", func() bool { return offered.Load() == 2 })
	eventually(t, "polls", func() bool { return f.control.queries.Load() > 10 })
	f.fleet.mutex.Lock()
	defer f.fleet.mutex.Unlock()
	if f.fleet.highest != 0 || offered.Load() != 2 {
		t.Fatalf("a new leader did not wait, or made %d offers", offered.Load())
	}
}

// TestRefusedTokenIsNotUsedAgain: once a replica has seen a higher token than this leader's, only the orders that were on
// their way are refused; the next ones carry a new token.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	const seen = 4
	f := prepare(t, 6)
	f.fleet.highest = seen
	if err := Put(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.run(t)
	eventually(t, "the version", func() bool { return f.fleet.serve("m0", 2) })
	f.fleet.mutex.Lock()
	defer f.fleet.mutex.Unlock()
	if len(f.fleet.refused) == 0 {
		t.Fatal("no order was refused")
	}
	for token, times := range f.fleet.refused {
		if token >= seen || times > DefaultLoadsTogether {
			t.Errorf("token %d was refused %d times", token, times)
		}
	}
}

// TestOwnerOfTheOrdersGoesOn: the machine that sent the last orders does not wait when it leads again.
func TestOwnerOfTheOrdersGoesOn(t *testing.T) {
	f := prepare(t, 3)
	for _, owner := range []string{"other", "node"} {
		acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: owner, RequestId: owner}
		if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
			t.Fatal(err)
		}
	}
	_ = Put(t.Context(), f.control, "m0", 2, "trainer")
	f.run(t)
	eventually(t, "the version", func() bool { return f.fleet.serve("m0", 2) })
}

// TestWaitCountsFromTheLastOwner: a leader that takes over while another one does waits anew.
func TestWaitCountsFromTheLastOwner(t *testing.T) {
	f := prepare(t, 1)
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
			t.Fatalf("took the orders over after %s", now)
		}
	}
	if now = 7 * time.Second; !f.driver.takeOver(t.Context()) {
		t.Fatal("did not take the orders over")
	}
}

// TestOrdersOfALostOwnerAreTaken: an owner that is silent loses the orders soon where replicas check fencing tokens; one
// that stops by plan, that was heard meanwhile, or whose replicas check nothing keeps them for its time.
func TestOrdersOfALostOwnerAreTaken(t *testing.T) {
	stops := errors.New("the owner stops")
	const step = 100 * time.Millisecond
	for name, one := range map[string]struct {
		unchecked bool
		answers   func(now time.Duration) error
		want      time.Duration
	}{
		"silent":              {false, func(time.Duration) error { return ErrOwnerSilent }, handOverAfter + silentOwner},
		"silent, not checked": {true, func(time.Duration) error { return ErrOwnerSilent }, 4 * time.Second},
		"stops":               {false, func(time.Duration) error { return stops }, 4 * time.Second},
		"heard in between": {false, func(now time.Duration) error {
			if now < time.Second {
				return stops
			}
			return ErrOwnerSilent
		}, time.Second + silentOwner},
	} {
		t.Run(name, func(t *testing.T) {
			f := prepare(t, 1)
			now := time.Duration(0)
			f.driver.config.Clock, f.driver.config.Takeover = func() time.Duration { return now }, 4*time.Second
			f.driver.config.FencesChecked = !one.unchecked
			f.driver.config.HandOver = func(context.Context, string) error { return one.answers(now) }
			acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: "other", RequestId: "other"}
			if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
				t.Fatal(err)
			}
			for !f.driver.takeOver(t.Context()) {
				if now += step; now > one.want {
					t.Fatalf("not taken after %s", now)
				}
			}
			if now < one.want {
				t.Fatalf("taken after %s, want %s", now, one.want)
			}
		})
	}
}

// TestPlacesAreFreeOnceLoadsAreOver: an order takes a place until its load is over by the time that loads take, and its
// replica gets no other order before its own has ended.
func TestPlacesAreFreeOnceLoadsAreOver(t *testing.T) {
	f := prepare(t, 3)
	d := f.driver
	view := d.config.View()
	d.planners = map[string]*wave.Planner{"m0": wave.New(wave.Config{})}
	d.planners["m0"].Release(0, wave.Version{Name: "newest", Number: 2})
	first, later := &load{order: Order{Target: replica.Target{Instance: "i-0"}}}, &load{order: Order{Target: replica.Target{Instance: "i-0"}}}
	d.places, d.busy["i-0"], d.holding["i-0"] = 1, "m0", first
	next := func(instance string) queued {
		return queued{"m0", wave.Order{Replica: instance, Version: d.planners["m0"].Target()}}
	}
	d.queue = []queued{next("i-0"), next("i-1")}
	if d.sendNext(t.Context(), view, d.supplies()) {
		t.Fatal("an order was sent without a place")
	}
	d.free(later)
	if d.sendNext(t.Context(), view, d.supplies()) {
		t.Fatal("the place of another order was given away")
	}
	d.free(first)
	if !d.sendNext(t.Context(), view, d.supplies()) || d.holding["i-1"] == nil || d.busy["i-0"] == "" {
		t.Fatalf("holding %v, busy %v", d.holding, d.busy)
	}
	d.orders.Wait()
	d.ended(<-d.done)
	if d.sendNext(t.Context(), view, d.supplies()) {
		t.Fatal("a replica got a second order before the end of its first")
	}
}

// TestLooksForVersionsHoldNothingUp: while the control group answers no question, loads go on.
func TestLooksForVersionsHoldNothingUp(t *testing.T) {
	f := prepare(t, 8)
	if err := Put(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	blocked := make(chan struct{})
	release := make(chan struct{})
	f.driver.config.Control = &silentControl{fakeControl: f.control, answers: 6, blocked: blocked, release: release}
	f.run(t)
	t.Cleanup(func() { close(release) }) // before the driver is stopped
	f.driver.Look()
	<-blocked
	eventually(t, "m0", func() bool { return f.fleet.serve("m0", 2) })
}

// silentControl answers some questions, and then none.
type silentControl struct {
	*fakeControl
	mutex   sync.Mutex
	answers int
	blocked chan struct{} // closed with the first question without an answer
	release chan struct{} // closed when the questions may end
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

// TestNewLeaderAsksTheReplicas: one heartbeat tells which pool holds models, and the replicas tell the rest; what they told
// a leadership ago is asked anew, and an older account changes nothing.
func TestNewLeaderAsksTheReplicas(t *testing.T) {
	f := prepare(t, 6)
	f.driver.heard, f.driver.told = map[string][]registry.ModelVersion{}, map[string]bool{}
	f.fleet.held = make(chan struct{})
	for number := range 6 {
		f.fleet.replicas[fmt.Sprint("i-", number)].serving["m0"] = 3
	}
	f.run(t)
	known := func(number uint64) bool {
		serving := f.driver.Serving()
		if serving == nil || len(serving.Versions["m0"]) != 6 {
			return false
		}
		for _, version := range serving.Versions["m0"] {
			if version != number {
				return false
			}
		}
		return true
	}
	f.driver.Heard(&registry.Registration{Instance: "i-0", Models: []registry.ModelVersion{{Model: "m0", Number: 3}}})
	f.fleet.asked(5)
	if serving := f.driver.Serving(); serving != nil && len(serving.Versions) > 0 {
		t.Error("one replica of six is taken for all")
	}
	eventually(t, "nothing told while replicas are asked", func() bool { return f.driver.Serving() == nil })
	close(f.fleet.held)
	eventually(t, "all replicas known", func() bool { return known(3) })
	f.driver.Heard(&registry.Registration{Instance: "i-0", Models: []registry.ModelVersion{{Model: "m0", Number: 1}}})
	f.driver.mutex.Lock()
	if held := f.driver.heard["i-0"]; len(held) != 1 || held[0].Number != 3 {
		t.Errorf("an older account changed what is known to %v", held)
	}
	f.driver.mutex.Unlock()
	f.leading.Store(false)
	eventually(t, "the loss of the leadership", func() bool { return f.driver.known.Load() == nil })
	f.fleet.mutex.Lock()
	for _, one := range f.fleet.replicas {
		one.serving["m0"] = 4
	}
	f.fleet.mutex.Unlock()
	f.leading.Store(true)
	eventually(t, "all replicas known again", func() bool { return known(4) })
}

// TestLoadsThatAreNeededGoFirst: a model that too few replicas can work for goes first, then the one whose newest
// version fewer replicas serve or load.
func TestLoadsThatAreNeededGoFirst(t *testing.T) {
	for name, one := range map[string]struct {
		serving map[string]map[string]uint64
		busy    map[string]string
		demand  map[string]uint64
		want    []string
	}{
		"too few can work for m1": {map[string]map[string]uint64{
			"m0": {"i-0": 8, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 9, "i-1": 9, "i-2": 11, "i-3": 9}},
			nil, nil, []string{"m1", "m1", "m0", "m0"}},
		"m0's next step would find none": {map[string]map[string]uint64{
			"m0": {"i-0": 8, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 9, "i-1": 10, "i-2": 11, "i-3": 9}},
			nil, nil, []string{"m0", "m0", "m1", "m1"}},
		"m1 has three times the work": {map[string]map[string]uint64{
			"m0": {"i-0": 9, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 11, "i-1": 11, "i-2": 10, "i-3": 10}},
			nil, map[string]uint64{"m0": 100, "m1": 300}, []string{"m1", "m1", "m0", "m0"}},
		"m1 has the same work": {map[string]map[string]uint64{
			"m0": {"i-0": 9, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 11, "i-1": 11, "i-2": 10, "i-3": 10}},
			nil, map[string]uint64{"m0": 300, "m1": 300}, []string{"m0", "m0", "m1", "m1"}},
		"m1 had so much more work that m0 would find nothing": {map[string]map[string]uint64{
			"m0": {"i-0": 8, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 11, "i-1": 10, "i-2": 10, "i-3": 10}},
			nil, map[string]uint64{"m0": 1, "m1": 1_000_000}, []string{"m0", "m0", "m1", "m1"}},
		"m1 has so much more work, and four times the replicas": {map[string]map[string]uint64{
			"m0": {"i-0": 9, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 11, "i-1": 11, "i-2": 11, "i-3": 11}},
			map[string]string{"i-0": "m1"}, map[string]uint64{"m0": 1, "m1": 1_000_000}, []string{"m0", "m0", "m1", "m1"}},
		"m0 is loading": {map[string]map[string]uint64{
			"m0": {"i-0": 8, "i-1": 8, "i-2": 8, "i-3": 8}, "m1": {"i-0": 9, "i-1": 10, "i-2": 11, "i-3": 9}},
			map[string]string{"i-0": "m0", "i-1": "m0"}, nil, []string{"m1", "m1", "m0", "m0"}},
	} {
		d := prepare(t, 4).driver
		d.planners, d.serving, d.busy = map[string]*wave.Planner{}, one.serving, one.busy
		d.config.Demand = func() map[string]uint64 { return one.demand }
		for model, target := range map[string]uint64{"m0": 9, "m1": 11} {
			d.planners[model] = wave.New(wave.Config{})
			d.planners[model].Release(0, wave.Version{Name: "newest", Number: target})
		}
		for _, model := range []string{"m0", "m1", "m0", "m1"} {
			d.queue = append(d.queue, queued{model, wave.Order{Version: d.planners[model].Target()}})
		}
		d.arrange(d.supplies())
		var got []string
		for _, next := range d.queue {
			got = append(got, next.model)
		}
		if !slices.Equal(got, one.want) {
			t.Errorf("%s: %v, want %v", name, got, one.want)
		}
	}
}

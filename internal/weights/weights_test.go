package weights

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/wave"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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

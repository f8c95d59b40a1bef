package gateway

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
)

// loadReporter is a back end that only reports its load. It counts the polls.
type loadReporter struct {
	address string
	polls   atomic.Int64
}

// newLoadReporter starts a reporter. With hang, its answers are delayed until the test ends.
func newLoadReporter(t *testing.T, hang bool) *loadReporter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, ended := &loadReporter{address: listener.Addr().String()}, make(chan struct{})
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		r.polls.Add(1)
		if hang {
			<-ended
		}
		ctx.SetBodyString(`{"running":1,"waiting":0,"leaving":false}`)
	}}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		close(ended)
		_ = listener.Close()
		<-served
	})
	return r
}

// TestHungBackendDelaysNoOtherReport guards against a back end that does not answer its load polls and delays the
// polls of others.
func TestHungBackendDelaysNoOtherReport(t *testing.T) {
	fixture := newFixture(t, 0, 0, 1, func(config *Config) { config.LoadInterval = time.Millisecond })
	healthy, hung := newLoadReporter(t, false), newLoadReporter(t, true)
	fixture.cluster.change(t, [3]string{"p", "kind", "pool"}, [3]string{"p", "service", "application"},
		[3]string{"p-sound", "kind", "backend"}, [3]string{"p-sound", "pool", "p"}, [3]string{"p-sound", "address", healthy.address},
		[3]string{"p-hung", "kind", "backend"}, [3]string{"p-hung", "pool", "p"}, [3]string{"p-hung", "address", hung.address})
	for healthy.polls.Load() < 8 {
		time.Sleep(time.Millisecond)
	}
	if asked := hung.polls.Load(); asked > 2 {
		t.Fatalf("the hung back end was polled %d times while the healthy one had 8 polls, want at most 2", asked)
	}
}

// TestLoadIntervalKeepsToTheBudgetAndItsBounds guards against load polls that exceed the bounds on their number or
// traffic.
func TestLoadIntervalKeepsToTheBudgetAndItsBounds(t *testing.T) {
	const brief, whole = 110, 450
	for count, want := range map[int]time.Duration{0: 250 * time.Millisecond, 12: 250 * time.Millisecond, 24: 500 * time.Millisecond,
		48: time.Second, 600: maxLoadInterval} {
		if got := loadInterval(250*time.Millisecond, count, brief); got != want {
			t.Errorf("%d back ends: got interval %v, want %v", count, got, want)
		}
	}
	for _, count := range []int{6, 24, 44} {
		interval := loadInterval(250*time.Millisecond, count, whole)
		if traffic := float64(count*(whole+loadHeaderBytes)) / interval.Seconds(); traffic > loadBytesPerSecond+1 {
			t.Errorf("%d back ends with large reports: interval %v gives %v bytes a second, above the bound", count, interval, traffic)
		}
	}
}

// TestBackEndsArePolledForBriefReports checks that polls request the brief report, and that the mean report size
// converges to the size of the reports.
func TestBackEndsArePolledForBriefReports(t *testing.T) {
	var queries sync.Map
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		queries.Store(ctx.QueryArgs().String(), true)
		ctx.SetBodyString(`{"running":1,"waiting":0,"leaving":false}`)
	}}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	defer func() {
		_ = listener.Close()
		<-served
	}()
	pollers := &loadPollers{server: &Server{}, client: &fasthttp.Client{}}
	defer pollers.client.CloseIdleConnections()
	source := loadSource{pool: &pool{replicas: routing.NewPool(routing.Settings{})}, name: "b", address: listener.Addr().String()}
	for range 4 * loadSizeWeight {
		pollers.pollOnce(source)
	}
	if _, brief := queries.Load("brief=true"); !brief {
		t.Error("no poll requested the brief report")
	}
	if size := pollers.meanReportBytes.Load(); size < 20 || size > 41 {
		t.Errorf("mean size of reports of 41 bytes is %d, want 20 to 41", size)
	}
}

// TestSharesOfALargePoolAddUpToTheLimit guards against slots that no gateway, or more than one, uses. It sums the
// shares that all gateways of a fleet take of one pool.
func TestSharesOfALargePoolAddUpToTheLimit(t *testing.T) {
	const gateways, backends, limit = 40, 100, 50
	var rows []*table.Row
	for i := range backends {
		rows = append(rows, &table.Row{Name: fmt.Sprintf("b-%03d", i), State: table.Active, Zone: fmt.Sprintf("z-%d", i%3),
			MaxInFlight: limit, Weight: 100, RolloutShare: 100})
	}
	all := gatewaySet{}
	for i := range gateways {
		all.members = append(all.members, routing.Place{Name: fmt.Sprintf("g-%02d", i), Zone: fmt.Sprintf("z-%d", i%3)})
	}
	slots, used := map[string]int{}, 0
	for rank := range gateways {
		own, assignment := gatewaySet{members: all.members, rank: rank}, subset{}
		shares := assignment.ownShares(own, rows)
		for _, row := range rows {
			if config := replicaConfig(row, shares[row.Name], own.ownPlace()); !config.Reserve {
				slots[row.Name] += config.MaxInFlight
				used++
			}
		}
	}
	for _, row := range rows {
		if slots[row.Name] != limit {
			t.Errorf("%s: the gateways' slots add up to %d, want %d", row.Name, slots[row.Name], limit)
		}
	}
	if used >= gateways*backends {
		t.Error("every gateway uses every back end of a pool above the subset's size")
	}
}

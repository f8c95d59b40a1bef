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

// reporter is a back end that only reports its load; hang makes each report wait until the test ends.
type reporter struct {
	address string
	asked   atomic.Int64
}

func newReporter(t *testing.T, hang bool) *reporter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, ended := &reporter{address: listener.Addr().String()}, make(chan struct{})
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		r.asked.Add(1)
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

func TestHungBackendDelaysNoOtherReport(t *testing.T) {
	fixture := newFixture(t, 0, 0, 1, func(config *Config) { config.LoadInterval = time.Millisecond })
	sound, hung := newReporter(t, false), newReporter(t, true)
	fixture.cluster.change(t, [3]string{"p", "kind", "pool"}, [3]string{"p", "service", "application"},
		[3]string{"p-sound", "kind", "backend"}, [3]string{"p-sound", "pool", "p"}, [3]string{"p-sound", "address", sound.address},
		[3]string{"p-hung", "kind", "backend"}, [3]string{"p-hung", "pool", "p"}, [3]string{"p-hung", "address", hung.address})
	for sound.asked.Load() < 8 {
		time.Sleep(time.Millisecond)
	}
	if asked := hung.asked.Load(); asked > 2 {
		t.Fatalf("the hung back end was asked %d times before the sound one had 8 turns", asked)
	}
}

func TestLoadIntervalKeepsToTheBudgetAndItsBounds(t *testing.T) {
	const brief, whole = 110, 450
	for count, want := range map[int]time.Duration{0: 250 * time.Millisecond, 12: 250 * time.Millisecond, 24: 500 * time.Millisecond,
		48: time.Second, 600: maximumLoadInterval} {
		if got := loadInterval(250*time.Millisecond, count, brief); got != want {
			t.Errorf("%d back ends: every %v, want %v", count, got, want)
		}
	}
	for _, count := range []int{6, 24, 44} {
		interval := loadInterval(250*time.Millisecond, count, whole)
		if traffic := float64(count*(whole+loadHeaderBytes)) / interval.Seconds(); traffic > loadBytesPerSecond+1 {
			t.Errorf("%d back ends with large reports: every %v, %v bytes a second", count, interval, traffic)
		}
	}
}

// TestBackendsAreAskedForBriefReports measures what a whole round of polls teaches of their size.
func TestBackendsAreAskedForBriefReports(t *testing.T) {
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
		pollers.ask(source)
	}
	if _, brief := queries.Load("brief=true"); !brief {
		t.Error("no brief report was asked for")
	}
	if size := pollers.size.Load(); size < 20 || size > 41 {
		t.Errorf("reports of 41 bytes are taken for %d", size)
	}
}

// TestSharesOfALargePoolAddUpToTheLimit looks at one pool from every gateway of a fleet.
func TestSharesOfALargePoolAddUpToTheLimit(t *testing.T) {
	const gateways, backends, limit = 40, 100, 50
	var rows []*table.Row
	for i := range backends {
		rows = append(rows, &table.Row{Name: fmt.Sprintf("b-%03d", i), State: table.Active, Zone: fmt.Sprintf("z-%d", i%3),
			MaxInFlight: limit, Weight: 100, RolloutShare: 100})
	}
	all := group{}
	for i := range gateways {
		all.gateways = append(all.gateways, routing.Place{Name: fmt.Sprintf("g-%02d", i), Zone: fmt.Sprintf("z-%d", i%3)})
	}
	slots, used := map[string]int{}, 0
	for rank := range gateways {
		own, assignment := group{gateways: all.gateways, rank: rank}, subset{}
		shares := assignment.shares(own, rows)
		for _, row := range rows {
			if config := replicaConfig(row, shares[row.Name], own.place()); !config.Reserve {
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

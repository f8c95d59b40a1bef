package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/bench/slope"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// The fitted quantities of a gateway that knows many back ends and serves no request. Sizes are the back
// ends in its table.
const (
	PollCores   = "gateway: processor time for the back ends it knows"
	PollCount   = "gateway: load reports read for the back ends it knows"
	PollTraffic = "gateway: traffic of load reports for the back ends it knows"
	PollMemory  = "gateway: live memory for the back ends it knows, back ends included"
)

const (
	roleGateway  = "gateway"
	roleBackend  = "backend"
	startTimeout = 20 * time.Second
	// memberLease keeps members that never renew alive for the whole measurement.
	memberLease = 5 * time.Minute
	// settlePolls lets the gateway follow the table and open its connections.
	settlePolls = 3 * time.Second
)

// knownBackends are the measured numbers of back ends.
func knownBackends() []int { return []int{10, 100, 300, 600} }

// Polls is the result: one real gateway among others that are members only.
type Polls struct {
	Gateways int          `json:"gateways"`
	Points   []PollPoint  `json:"points"`
	Lines    []slope.Line `json:"lines"`
}

// PollPoint is one number of back ends.
type PollPoint struct {
	Backends       int     `json:"backends"`
	GatewayCores   float64 `json:"gateway_cores"`
	BackendCores   float64 `json:"backend_cores"`
	ReportsPerSec  float64 `json:"reports_per_second"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	LiveBytes      uint64  `json:"live_bytes"`
}

// hollowBackends answer load reports and nothing else, each on an address of its own.
type hollowBackends struct {
	listeners []*rig.CountingListener
	server    *fasthttp.Server
	running   sync.WaitGroup
}

// hollowReport is a load report as large as a busy engine's.
func hollowReport(version, staged uint64) enginestandin.LoadReport {
	return enginestandin.LoadReport{Name: "replica-417", Zone: zoneName(4), AtUnixMillis: 1_796_201_283_985, Role: "serve",
		WeightVersion: fmt.Sprintf("v%d", version), VersionNumber: version, StagedNumber: staged, Fence: 12, Running: 41, Waiting: 3,
		WaitingTokens: 18_342, MaxBatch: 64, BlocksHeld: 11_907, BlocksCached: 3_211, BlocksTotal: 16_384, BlockTokens: 16,
		StepMillis: 24.817342, Steps: 31_415_926, Tokens: 1_271_828_182, PrefixHits: 141_421_356, Preemptions: 1_732}
}

func (h *hollowBackends) grow(size int) error {
	for len(h.listeners) < size {
		inner, err := listenHollow()
		if err != nil {
			return trace.Wrap(err)
		}
		listener := &rig.CountingListener{Listener: inner}
		h.listeners = append(h.listeners, listener)
		h.running.Go(func() {
			rolecost.Do(context.Background(), roleBackend, func(context.Context) { _ = h.server.Serve(listener) })
		})
	}
	return nil
}

// listenHollow binds a second loopback address where the system has one: other programs on the machine
// that still call an address of theirs which has become free must not be counted.
func listenHollow() (net.Listener, error) {
	if listener, err := net.Listen("tcp4", "127.0.0.2:0"); err == nil {
		return listener, nil
	}
	return net.Listen("tcp4", "127.0.0.1:0")
}

func (h *hollowBackends) bytes() (total uint64) {
	for _, listener := range h.listeners {
		total += listener.Bytes()
	}
	return total
}

func (h *hollowBackends) close() {
	for _, listener := range h.listeners {
		_ = listener.Close()
	}
	_ = h.server.Shutdown()
	h.running.Wait()
}

// pollRun is one gateway before a growing number of back ends.
type pollRun struct {
	backends hollowBackends
	reports  atomic.Uint64
	client   *controlclient.Client
	version  uint64
}

func (r *run) polls(ctx context.Context, folder string) error {
	control, err := rig.StartControl(rig.Options{Folder: folder, Lease: memberLease})
	if err != nil {
		return err
	}
	defer control.Close()
	p := &pollRun{}
	p.backends.server = &fasthttp.Server{CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		p.reports.Add(1)
		enginestandin.WriteLoad(ctx, hollowReport(1, 0))
	}}
	defer p.backends.close()
	if p.client, err = controlclient.New(controlclient.Config{Addresses: control.Addresses}); err != nil {
		return err
	}
	defer p.client.Close()
	if err := p.list(ctx, knownBackends()[0]); err != nil {
		return err
	}
	gateways := r.report.Target.Gateways
	if err := p.register(ctx, gateways-1); err != nil {
		return err
	}
	stop, err := startGateway(ctx, control.Addresses)
	if err != nil {
		return err
	}
	defer stop()
	result := &Polls{Gateways: gateways}
	for _, size := range knownBackends() {
		point, err := p.measure(ctx, size, r.config.PerPoint)
		if err != nil {
			return err
		}
		result.Points = append(result.Points, point)
	}
	if err := result.fit(); err != nil {
		return err
	}
	r.report.Polls = result
	return nil
}

// startGateway starts one gateway and returns what stops it.
func startGateway(ctx context.Context, control []string) (stop func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var server *gateway.Server
	var running sync.WaitGroup
	rolecost.Do(ctx, roleGateway, func(ctx context.Context) {
		server, err = gateway.Open(ctx, gateway.Config{Name: "gateway-001", Listen: "127.0.0.1:0", Zone: zoneName(0)}, controlclient.Config{Addresses: control})
		if err == nil {
			running.Go(func() { _ = server.Run(context.Background()) })
		}
	})
	if err != nil {
		return nil, err
	}
	return func() {
		_ = server.Close()
		running.Wait()
	}, nil
}

// register makes members of gateways that do not exist, spread over the target's zones: the real one shares
// the back ends with them.
func (p *pollRun) register(ctx context.Context, count int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for index := range count {
		member := &wire.Member{Name: fmt.Sprintf("gateway-%03d", index+2), Incarnation: 1, Role: wire.MemberRole_MEMBER_ROLE_GATEWAY,
			Address: fmt.Sprintf("127.0.0.1:%d", 20000+index), Zone: zoneName(index + 1), State: wire.MemberState_MEMBER_STATE_ALIVE}
		command := &wire.Command{Kind: &wire.Command_MemberUpdate{MemberUpdate: &wire.MemberUpdate{Member: member}}}
		if _, err := p.client.Execute(ctx, controlclient.ControlGroup, command); err != nil {
			return err
		}
	}
	return nil
}

// zoneName spreads places over the target's zones: four in one region, three in the other.
func zoneName(index int) string {
	zone := index % DefaultTarget().Zones
	return fmt.Sprintf("region-%c-%d", 'a'+rune(zone/4), zone%4+1)
}

// list brings the table to a number of back ends. It does not wait until that is in force: with leases as
// long as here, a new leader would take minutes to be sure.
func (p *pollRun) list(ctx context.Context, size int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	known := len(p.backends.listeners)
	if err := p.backends.grow(size); err != nil {
		return err
	}
	cells := backendCells(p.backends.listeners, known)
	if len(cells) == 0 {
		return nil
	}
	result, _, err := p.client.ChangeTable(ctx, &wire.TableChange{ChangeId: fmt.Sprint("list-", size), Operator: "bench", BaseVersion: p.version, Cells: cells}, false)
	if err != nil {
		return err
	}
	if result.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		return trace.BadParameter("%d back ends were not accepted: %v", size, result)
	}
	p.version = result.Version
	return nil
}

// backendCells are the rows of the back ends from position known on, and the pool's row with the first.
func backendCells(listeners []*rig.CountingListener, known int) []*wire.CellChange {
	var cells []*wire.CellChange
	if known == 0 {
		cells = append(cells, &wire.CellChange{Row: "pool", Column: "kind", Value: "pool"}, &wire.CellChange{Row: "pool", Column: "service", Value: "engine"})
	}
	for index := known; index < len(listeners); index++ {
		name := fmt.Sprintf("replica-%03d", index)
		cells = append(cells, &wire.CellChange{Row: name, Column: "kind", Value: "backend"}, &wire.CellChange{Row: name, Column: "pool", Value: "pool"},
			&wire.CellChange{Row: name, Column: "address", Value: listeners[index].Addr().String()},
			&wire.CellChange{Row: name, Column: "zone", Value: zoneName(index)})
	}
	return cells
}

func (p *pollRun) measure(ctx context.Context, size int, duration time.Duration) (PollPoint, error) {
	if err := p.list(ctx, size); err != nil {
		return PollPoint{}, err
	}
	time.Sleep(settlePolls)
	point := PollPoint{Backends: size, LiveBytes: rig.LiveBytes()}
	traffic, reports := p.backends.bytes(), p.reports.Load()
	recorder, err := rolecost.Start()
	if err != nil {
		return PollPoint{}, err
	}
	time.Sleep(duration)
	cost, err := recorder.Stop()
	seconds := cost.Wall.Seconds()
	point.GatewayCores, point.BackendCores = cost.Apportioned(roleGateway), cost.Apportioned(roleBackend)
	point.ReportsPerSec = float64(p.reports.Load()-reports) / seconds
	point.BytesPerSecond = float64(p.backends.bytes()-traffic) / seconds
	return point, err
}

func (p *Polls) fit() error {
	size := func(point PollPoint) float64 { return float64(point.Backends) }
	for _, quantity := range []struct {
		name, unit string
		value      func(PollPoint) float64
	}{
		{PollCores, "cores", func(point PollPoint) float64 { return point.GatewayCores }},
		{PollCount, "reports/s", func(point PollPoint) float64 { return point.ReportsPerSec }},
		{PollTraffic, "bytes/s", func(point PollPoint) float64 { return point.BytesPerSecond }},
		{PollMemory, "bytes", func(point PollPoint) float64 { return float64(point.LiveBytes) }},
	} {
		line, err := fitPoints(quantity.name, quantity.unit, "back end", p.Points, size, quantity.value)
		if err != nil {
			return err
		}
		p.Lines = append(p.Lines, line)
	}
	return nil
}

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
	// settlePolls lets connections open before a measurement.
	settlePolls = time.Second
)

// knownBackends are the measured numbers of back ends.
func knownBackends() []int { return []int{10, 100, 300, 600} }

// Polls is the result.
type Polls struct {
	Points []PollPoint  `json:"points"`
	Lines  []slope.Line `json:"lines"`
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

const hollowReport = `{"running":3,"waiting":0,"capacity":64,"leaving":false}`

func (h *hollowBackends) grow(size int) error {
	for len(h.listeners) < size {
		inner, err := net.Listen("tcp4", "127.0.0.1:0")
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
	control, err := rig.StartControl(rig.Options{Folder: folder})
	if err != nil {
		return err
	}
	defer control.Close()
	p := &pollRun{}
	p.backends.server = &fasthttp.Server{CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		p.reports.Add(1)
		ctx.SetBodyString(hollowReport)
	}}
	defer p.backends.close()
	if p.client, err = controlclient.New(controlclient.Config{Addresses: control.Addresses}); err != nil {
		return err
	}
	defer p.client.Close()
	if err := p.list(ctx, knownBackends()[0]); err != nil {
		return err
	}
	stop, err := startGateway(ctx, control.Addresses)
	if err != nil {
		return err
	}
	defer stop()
	result := &Polls{}
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
		server, err = gateway.Open(ctx, gateway.Config{Name: "gateway-1", Listen: "127.0.0.1:0"}, controlclient.Config{Addresses: control})
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

// list brings the table to a number of back ends, in force.
func (p *pollRun) list(ctx context.Context, size int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	known := len(p.backends.listeners)
	if err := p.backends.grow(size); err != nil {
		return err
	}
	var cells []*wire.CellChange
	if known == 0 {
		cells = append(cells, &wire.CellChange{Row: "pool", Column: "kind", Value: "pool"}, &wire.CellChange{Row: "pool", Column: "service", Value: "engine"})
	}
	for index := known; index < size; index++ {
		name := fmt.Sprintf("replica-%03d", index)
		cells = append(cells, &wire.CellChange{Row: name, Column: "kind", Value: "backend"}, &wire.CellChange{Row: name, Column: "pool", Value: "pool"},
			&wire.CellChange{Row: name, Column: "address", Value: p.backends.listeners[index].Addr().String()})
	}
	if len(cells) == 0 {
		return nil
	}
	result, _, err := p.client.ChangeTable(ctx, &wire.TableChange{ChangeId: fmt.Sprint("list-", size), Operator: "bench", BaseVersion: p.version, Cells: cells}, true)
	if err != nil {
		return err
	}
	if result.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		return trace.BadParameter("%d back ends were not accepted: %v", size, result)
	}
	p.version = result.Version
	return nil
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

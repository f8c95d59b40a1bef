package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/bench/slope"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/coordinator"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// The fitted quantities of a weight wave over hollow replicas that take the emulator's time to stage and to
// swap a version, and of the time after it. Sizes are replicas.
const (
	WaveTime     = "weight wave: from the release until every replica serves the version"
	WaveCores    = "weight wave: processor time of the coordinator, its load polls included"
	WaveTraffic  = "weight wave: traffic of the coordinator with the replicas meanwhile"
	QuietCores   = "coordinator between waves: processor time for the replicas"
	QuietTraffic = "coordinator between waves: traffic with the replicas"
)

const waveTimeout = 60 * time.Second

// Waves is the result.
type Waves struct {
	StageSeconds float64      `json:"stage_seconds"` // of a replica
	SwapSeconds  float64      `json:"swap_seconds"`
	Points       []WavePoint  `json:"points"`
	Lines        []slope.Line `json:"lines"`
}

// WavePoint is one wave.
type WavePoint struct {
	Replicas         int     `json:"replicas"`
	Seconds          float64 `json:"seconds"`
	CoordinatorCores float64 `json:"coordinator_cores"`
	BytesPerSecond   float64 `json:"bytes_per_second"`
	// Between waves.
	QuietCores          float64 `json:"quiet_cores"`
	QuietBytesPerSecond float64 `json:"quiet_bytes_per_second"`
}

// waveReplicas answer load reports and weight orders, each on an address of its own.
type waveReplicas struct {
	hollowBackends
	times engine.Parameters

	mutex   sync.Mutex
	byPort  map[string]*waveReplica // by local address
	serving map[uint64]int          // replicas by version number
}

type waveReplica struct {
	mutex          sync.Mutex // one order at a time
	version        atomic.Uint64
	staged         atomic.Uint64
	stagedAt       time.Time
	waitsForStaged uint64
}

// handle serves both paths.
func (w *waveReplicas) handle(ctx *fasthttp.RequestCtx) {
	replica := w.replica(ctx.LocalAddr().String())
	if string(ctx.Path()) == "/v1/admin/weights" {
		w.order(ctx, replica)
		return
	}
	enginestandin.WriteLoad(ctx, hollowReport(replica.version.Load(), replica.staged.Load()))
}

func (w *waveReplicas) replica(address string) *waveReplica {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.byPort[address]
	if known == nil {
		known = &waveReplica{}
		known.version.Store(1)
		w.byPort[address] = known
	}
	return known
}

// order stages or swaps: a stage is answered at once and takes its time beside, a swap is answered when done.
func (w *waveReplicas) order(ctx *fasthttp.RequestCtx, replica *waveReplica) {
	var order struct {
		Number uint64 `json:"version_number"`
		Stage  bool   `json:"stage"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.SetStatusCode(http.StatusBadRequest)
		return
	}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.waitsForStaged != order.Number {
		replica.waitsForStaged, replica.stagedAt = order.Number, time.Now().Add(w.times.StageTime)
		time.AfterFunc(w.times.StageTime, func() { replica.staged.Store(order.Number) })
	}
	if !order.Stage && replica.version.Load() < order.Number {
		time.Sleep(max(time.Until(replica.stagedAt), 0) + w.times.SwapTime)
		replica.version.Store(order.Number)
		w.mutex.Lock()
		w.serving[order.Number]++
		w.mutex.Unlock()
	}
	fmt.Fprintf(ctx, `{"version_number":%d}`, replica.version.Load())
}

func (w *waveReplicas) servingCount(number uint64) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.serving[number]
}

// waves measures a coordinator's wave over rising numbers of replicas.
func (r *run) waves(ctx context.Context, folder string) error {
	control, err := rig.StartControl(rig.Options{Nodes: 1, Folder: folder})
	if err != nil {
		return err
	}
	defer control.Close()
	replicas := &waveReplicas{times: engine.DefaultParameters(), byPort: map[string]*waveReplica{}, serving: map[uint64]int{}}
	replicas.server = &fasthttp.Server{Handler: replicas.handle, CloseOnShutdown: true}
	defer replicas.close()
	client, err := controlclient.New(controlclient.Config{Addresses: control.Addresses})
	if err != nil {
		return err
	}
	defer client.Close()
	address, stop, err := startCoordinator(ctx, control.Addresses)
	if err != nil {
		return err
	}
	defer stop()
	result := &Waves{StageSeconds: replicas.times.StageTime.Seconds(), SwapSeconds: replicas.times.SwapTime.Seconds()}
	version := uint64(0)
	for index, size := range knownBackends() {
		if version, err = replicas.list(ctx, client, version, size); err != nil {
			return err
		}
		point, err := replicas.wave(ctx, address, uint64(index+2), size)
		if err != nil {
			return trace.Wrap(err, "%d replicas", size)
		}
		if err := replicas.quiet(&point, r.config.PerPoint); err != nil {
			return err
		}
		result.Points = append(result.Points, point)
	}
	if err := result.fit(); err != nil {
		return err
	}
	r.report.Waves = result
	return nil
}

func startCoordinator(ctx context.Context, control []string) (address string, stop func(), err error) {
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var server *coordinator.Server
	var running sync.WaitGroup
	rolecost.Do(startContext, roleCoordinator, func(startContext context.Context) {
		server, err = coordinator.Open(startContext, coordinator.Config{Name: "coordinator-1", Listen: "127.0.0.1:0",
			Control: controlclient.Config{Addresses: control}, Log: logging.Discard()})
		if err == nil {
			running.Go(func() { _ = server.Run(context.Background()) })
		}
	})
	if err != nil {
		return "", nil, err
	}
	return server.Address(), func() {
		_ = server.Close()
		running.Wait()
	}, nil
}

// list brings the table to a number of replicas.
func (w *waveReplicas) list(ctx context.Context, client *controlclient.Client, version uint64, size int) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	known := len(w.listeners)
	if err := w.grow(size); err != nil {
		return 0, err
	}
	cells := backendCells(w.listeners, known)
	result, _, err := client.ChangeTable(ctx, &wire.TableChange{ChangeId: fmt.Sprint("wave-", size), Operator: "bench", BaseVersion: version, Cells: cells}, true)
	if err != nil {
		return 0, err
	}
	if result.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		return 0, trace.BadParameter("%d replicas were not accepted: %v", size, result)
	}
	return result.Version, nil
}

// wave releases a version and waits until all replicas serve it.
func (w *waveReplicas) wave(ctx context.Context, address string, number uint64, size int) (WavePoint, error) {
	ctx, cancel := context.WithTimeout(ctx, waveTimeout)
	defer cancel()
	traffic := w.bytes()
	recorder, err := rolecost.Start()
	if err != nil {
		return WavePoint{}, err
	}
	waitError := announce(ctx, address, number)
	for waitError == nil && w.servingCount(number) < size {
		waitError = pause(ctx, time.Millisecond)
	}
	cost, err := recorder.Stop()
	seconds := cost.Wall.Seconds()
	return WavePoint{Replicas: size, Seconds: seconds, CoordinatorCores: cost.Apportioned(roleCoordinator),
		BytesPerSecond: float64(w.bytes()-traffic) / seconds}, trace.NewAggregate(waitError, err)
}

// quiet measures the time after a wave, for long enough that each replica is asked about once.
func (w *waveReplicas) quiet(point *WavePoint, duration time.Duration) error {
	time.Sleep(settlePolls)
	duration = max(duration, coordinator.PollInterval(coordinator.DefaultLoadInterval, 0, point.Replicas))
	traffic := w.bytes()
	recorder, err := rolecost.Start()
	if err != nil {
		return err
	}
	time.Sleep(duration)
	cost, err := recorder.Stop()
	point.QuietCores = cost.Apportioned(roleCoordinator)
	point.QuietBytesPerSecond = float64(w.bytes()-traffic) / cost.Wall.Seconds()
	return err
}

// announce tells the coordinator of a version, as a trainer does.
func announce(ctx context.Context, address string, number uint64) error {
	body := fmt.Sprintf(`{"version":"v%d","version_number":%d,"pool":"pool"}`, number, number)
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/trainers/bench/versions", bytes.NewBufferString(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode < http.StatusMultipleChoices {
				return nil
			}
			err = trace.BadParameter("the coordinator answered %s", response.Status)
		}
		if pause(ctx, settlePolls/10) != nil {
			return err
		}
	}
}

func (w *Waves) fit() error {
	size := func(p WavePoint) float64 { return float64(p.Replicas) }
	for _, quantity := range []struct {
		name, unit string
		value      func(WavePoint) float64
	}{
		{WaveTime, "s", func(p WavePoint) float64 { return p.Seconds }},
		{WaveCores, "cores", func(p WavePoint) float64 { return p.CoordinatorCores }},
		{WaveTraffic, "bytes/s", func(p WavePoint) float64 { return p.BytesPerSecond }},
		{QuietCores, "cores", func(p WavePoint) float64 { return p.QuietCores }},
		{QuietTraffic, "bytes/s", func(p WavePoint) float64 { return p.QuietBytesPerSecond }},
	} {
		line, err := fitPoints(quantity.name, quantity.unit, "replica", w.Points, size, quantity.value)
		if err != nil {
			return err
		}
		w.Lines = append(w.Lines, line)
	}
	return nil
}

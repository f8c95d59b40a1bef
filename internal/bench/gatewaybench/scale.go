package gatewaybench

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/bench/slope"
	"github.com/tamarindring/tamarindring/internal/rolecost"
)

// ScaleConfig configures Scale.
type ScaleConfig struct {
	// Folder holds the control nodes' data. Required.
	Folder string
	// PerPoint is the duration of each measurement. Default 4s.
	PerPoint time.Duration
}

// Quantities of the lines in ScaleReport. All are those of one gateway.
const (
	RequestCores = "gateway: processor time for requests that are not streamed"
	ClaimedCores = "gateway: processor time for claimed requests"
	TokenCores   = "gateway: processor time for streamed tokens"
	StreamBytes  = "gateway: live memory for open streams, gateway, engine and caller together"
)

// ScalePoint is the cost of one load on one gateway. PerSecond is the rate of completed requests or tokens. For open
// streams it is their number, and no processor time is measured.
type ScalePoint struct {
	Offered      int     `json:"offered"` // requests a second, or concurrent streams
	PerSecond    float64 `json:"per_second"`
	GatewayCores float64 `json:"gateway_cores"`
	ControlCores float64 `json:"control_cores"`
	ProcessCores float64 `json:"process_cores"`
	LiveBytes    uint64  `json:"live_bytes,omitempty"`
	Failures     int64   `json:"failures"`
}

// ScaleReport is the cost of one gateway at several loads.
type ScaleReport struct {
	Requests []ScalePoint `json:"requests"`
	Claimed  []ScalePoint `json:"claimed_requests"`
	Tokens   []ScalePoint `json:"streamed_tokens"`
	Streams  []ScalePoint `json:"open_streams"`
	Lines    []slope.Line `json:"lines"`
}

// Loads at which each quantity is measured.
var (
	requestRates        = []int{500, 1000, 2000, 4000} // requests a second
	claimedRequestRates = []int{100, 200, 400, 800}    // requests a second
	tokenStreamCounts   = []int{8, 16, 32, 64}         // concurrent closed-loop callers
	openStreamCounts    = []int{100, 200, 400, 800}    // concurrent streams
)

// Scale measures one gateway at several loads and fits a line to each quantity.
func Scale(ctx context.Context, config ScaleConfig) (*ScaleReport, error) {
	if config.PerPoint <= 0 {
		config.PerPoint = 4 * time.Second
	}
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	started, err := startFleet(ctx, Config{Folder: config.Folder})
	if err != nil {
		return nil, err
	}
	defer started.close()
	s := &scaleRun{config: config, fleet: started}
	for _, measure := range []func(context.Context) error{s.measureRequests, s.measureClaimedRequests, s.measureTokens, s.measureOpenStreams} {
		if err := measure(ctx); err != nil {
			return nil, err
		}
	}
	return &s.report, nil
}

// scaleRun is the state of one call of Scale.
type scaleRun struct {
	config ScaleConfig
	fleet  *fleet
	report ScaleReport
}

// measureRequests measures repeatable requests at fixed rates.
func (s *scaleRun) measureRequests(ctx context.Context) (err error) {
	s.report.Requests, err = s.measureRates(ctx, requestRates, true)
	if err != nil {
		return err
	}
	return s.fitCores(RequestCores, "request/s", s.report.Requests)
}

// measureClaimedRequests measures requests that need a durable claim at fixed rates.
func (s *scaleRun) measureClaimedRequests(ctx context.Context) (err error) {
	s.report.Claimed, err = s.measureRates(ctx, claimedRequestRates, false)
	if err != nil {
		return err
	}
	return s.fitCores(ClaimedCores, "request/s", s.report.Claimed)
}

// measureRates measures one point for each rate after a warm-up at the first of them.
func (s *scaleRun) measureRates(ctx context.Context, rates []int, repeatable bool) ([]ScalePoint, error) {
	caller, keys := newHTTPCaller(), &keyGenerator{}
	prefix := map[bool]string{true: "plain-", false: "claimed-"}[repeatable]
	call := func() error {
		_, err := caller.post(s.fleet.gateway.Address(), "/v1/pools/"+poolBare+"/push", prefix+keys.next(), repeatable)
		return err
	}
	var points []ScalePoint
	runOpenLoop(ctx, rates[0], warmUpTime*2, [2]func() error{call, call}, [2]*latencyRecorder{newLatencyRecorder(), newLatencyRecorder()})
	for _, rate := range rates {
		results := newLatencyRecorder()
		point, err := measurePoint(rate, func() (float64, int64) {
			runOpenLoop(ctx, rate, s.config.PerPoint, [2]func() error{call, call}, [2]*latencyRecorder{results, results})
			return float64(results.histogram.TotalCount()), results.failures.Load()
		})
		if err != nil {
			return nil, err
		}
		points = append(points, point)
	}
	return points, nil
}

// measureTokens measures streamed tokens with several numbers of closed-loop callers.
func (s *scaleRun) measureTokens(ctx context.Context) error {
	caller := newStreamCaller()
	var promptNumber atomic.Uint64
	call := func() (int, error) {
		_, count, err := caller.stream(s.fleet.gateway.Address(), poolQuick, promptNumber.Add(1), averageStreamTokens)
		return count, err
	}
	runClosedLoop(ctx, tokenStreamCounts[0], warmUpTime, call)
	for _, streams := range tokenStreamCounts {
		point, err := measurePoint(streams, func() (float64, int64) { return runClosedLoop(ctx, streams, s.config.PerPoint, call) })
		if err != nil {
			return err
		}
		s.report.Tokens = append(s.report.Tokens, point)
	}
	return s.fitCores(TokenCores, "token/s", s.report.Tokens)
}

// averageStreamTokens is the number of tokens of a streamed completion. It is the token rate of the target load divided
// by its request rate.
const averageStreamTokens = 476

// measureOpenStreams measures live memory with several numbers of open streams.
func (s *scaleRun) measureOpenStreams(ctx context.Context) error {
	for _, streams := range openStreamCounts {
		point, err := s.holdStreams(ctx, streams)
		if err != nil {
			return err
		}
		s.report.Streams = append(s.report.Streams, point)
	}
	points := make([]slope.Point, 0, len(s.report.Streams))
	for _, point := range s.report.Streams {
		points = append(points, slope.Point{Size: float64(point.Offered), Value: float64(point.LiveBytes)})
	}
	line, err := slope.Fit(StreamBytes, "bytes", "stream", points)
	s.report.Lines = append(s.report.Lines, line)
	return err
}

// holdStreams opens streams, measures live memory and closes the streams. It fails if not all of them are open within
// PerPoint.
func (s *scaleRun) holdStreams(ctx context.Context, streams int) (ScalePoint, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	caller := newStreamCaller()
	var opened, failures atomic.Int64
	var reading sync.WaitGroup
	for n := range streams {
		reading.Go(func() {
			if err := caller.hold(ctx, s.fleet.gateway.Address(), poolHeld, n, func() { opened.Add(1) }); err != nil {
				failures.Add(1)
			}
		})
	}
	deadline := time.Now().Add(s.config.PerPoint)
	for opened.Load()+failures.Load() < int64(streams) && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(warmUpTime / 10)
	}
	point := ScalePoint{Offered: streams, PerSecond: float64(opened.Load()), LiveBytes: rig.MeasureLiveBytes(), Failures: failures.Load()}
	stop()
	reading.Wait()
	if point.PerSecond < float64(streams) {
		return point, trace.LimitExceeded("%d of %d streams were open at once", opened.Load(), streams)
	}
	return point, nil
}

// measurePoint measures the processor time of a load. load returns how many requests or tokens it completed.
func measurePoint(offered int, load func() (count float64, failures int64)) (ScalePoint, error) {
	recorder, err := rolecost.Start()
	if err != nil {
		return ScalePoint{}, trace.Wrap(err)
	}
	count, failures := load()
	cost, err := recorder.Stop()
	if err != nil {
		return ScalePoint{}, trace.Wrap(err)
	}
	return ScalePoint{Offered: offered, PerSecond: count / cost.Wall.Seconds(), GatewayCores: cost.ApportionedCores(roleGateway),
		ControlCores: cost.ApportionedCores(rig.RoleControl), ProcessCores: cost.TotalCores, Failures: failures}, nil
}

// fitCores adds a line of the gateway's processor time over the rate to the report.
func (s *scaleRun) fitCores(quantity, sizeUnit string, measured []ScalePoint) error {
	points := make([]slope.Point, 0, len(measured))
	for _, point := range measured {
		points = append(points, slope.Point{Size: point.PerSecond, Value: point.GatewayCores})
	}
	line, err := slope.Fit(quantity, "cores", sizeUnit, points)
	s.report.Lines = append(s.report.Lines, line)
	return err
}

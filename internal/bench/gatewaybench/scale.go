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

// ScaleConfig says how long to measure the gateway at several sizes.
type ScaleConfig struct {
	// Folder holds the control nodes' data. Required.
	Folder string
	// PerPoint is the time of each measurement. Default 4s.
	PerPoint time.Duration
}

// The fitted quantities of ScaleReport, of one gateway.
const (
	RequestCores = "gateway: processor time for requests that are not streamed"
	ClaimedCores = "gateway: processor time for claimed requests"
	TokenCores   = "gateway: processor time for streamed tokens"
	StreamBytes  = "gateway: live memory for open streams, gateway, engine and caller together"
)

// ScalePoint is one load on one gateway.
type ScalePoint struct {
	Offered      int     `json:"offered"` // requests a second, or streams at once
	PerSecond    float64 `json:"per_second"`
	GatewayCores float64 `json:"gateway_cores"`
	ControlCores float64 `json:"control_cores"`
	ProcessCores float64 `json:"process_cores"`
	LiveBytes    uint64  `json:"live_bytes,omitempty"`
	Failures     int64   `json:"failures"`
}

// ScaleReport is the gateway's cost at several sizes.
type ScaleReport struct {
	Requests []ScalePoint `json:"requests"`
	Claimed  []ScalePoint `json:"claimed_requests"`
	Tokens   []ScalePoint `json:"streamed_tokens"`
	Streams  []ScalePoint `json:"open_streams"`
	Lines    []slope.Line `json:"lines"`
}

// Sizes of the measurements.
var (
	scaleRates   = []int{500, 1000, 2000, 4000} // requests a second
	claimedRates = []int{100, 200, 400, 800}    // requests a second
	tokenStreams = []int{8, 16, 32, 64}         // closed-loop callers
	openStreams  = []int{100, 200, 400, 800}    // at once
)

// Scale measures one gateway at several sizes and fits lines.
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
	s := &scale{config: config, fleet: started}
	for _, measure := range []func(context.Context) error{s.requests, s.claimed, s.tokens, s.openStreams} {
		if err := measure(ctx); err != nil {
			return nil, err
		}
	}
	return &s.report, nil
}

// scale is one run of Scale.
type scale struct {
	config ScaleConfig
	fleet  *fleet
	report ScaleReport
}

// requests offers repeatable requests at fixed rates.
func (s *scale) requests(ctx context.Context) (err error) {
	s.report.Requests, err = s.rates(ctx, scaleRates, true)
	if err != nil {
		return err
	}
	return s.fit(RequestCores, "request/s", s.report.Requests)
}

// claimed offers requests that need a durable claim.
func (s *scale) claimed(ctx context.Context) (err error) {
	s.report.Claimed, err = s.rates(ctx, claimedRates, false)
	if err != nil {
		return err
	}
	return s.fit(ClaimedCores, "request/s", s.report.Claimed)
}

func (s *scale) rates(ctx context.Context, rates []int, repeatable bool) ([]ScalePoint, error) {
	caller, names := newHTTPCaller(), &keys{}
	prefix := map[bool]string{true: "plain-", false: "claimed-"}[repeatable]
	call := func() error {
		_, err := caller.call(s.fleet.gateway.Address(), "/v1/pools/"+poolBare+"/push", prefix+names.take(), repeatable)
		return err
	}
	var points []ScalePoint
	openLoop(ctx, rates[0], warmTime*2, [2]func() error{call, call}, [2]*recorder{newRecorder(), newRecorder()})
	for _, rate := range rates {
		results := newRecorder()
		point, err := scalePoint(rate, func() (float64, int64) {
			openLoop(ctx, rate, s.config.PerPoint, [2]func() error{call, call}, [2]*recorder{results, results})
			return float64(results.histogram.TotalCount()), results.failures.Load()
		})
		if err != nil {
			return nil, err
		}
		points = append(points, point)
	}
	return points, nil
}

// tokens streams answers as fast as a number of callers can.
func (s *scale) tokens(ctx context.Context) error {
	caller := newStreamCaller()
	var number atomic.Uint64
	call := func() (int, error) {
		_, count, err := caller.stream(s.fleet.gateway.Address(), poolQuick, number.Add(1), streamTokens)
		return count, err
	}
	closedLoop(ctx, tokenStreams[0], warmTime, call)
	for _, streams := range tokenStreams {
		point, err := scalePoint(streams, func() (float64, int64) { return closedLoop(ctx, streams, s.config.PerPoint, call) })
		if err != nil {
			return err
		}
		s.report.Tokens = append(s.report.Tokens, point)
	}
	return s.fit(TokenCores, "token/s", s.report.Tokens)
}

// streamTokens is the length of a streamed answer: the target's tokens over its requests.
const streamTokens = 476

// openStreams holds long streams open and looks at the memory meanwhile.
func (s *scale) openStreams(ctx context.Context) error {
	for _, streams := range openStreams {
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

// holdStreams opens streams that go on until the memory was measured.
func (s *scale) holdStreams(ctx context.Context, streams int) (ScalePoint, error) {
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
		time.Sleep(warmTime / 10)
	}
	point := ScalePoint{Offered: streams, PerSecond: float64(opened.Load()), LiveBytes: rig.MeasureLiveBytes(), Failures: failures.Load()}
	stop()
	reading.Wait()
	if point.PerSecond < float64(streams) {
		return point, trace.LimitExceeded("%d of %d streams were open at once", opened.Load(), streams)
	}
	return point, nil
}

// scalePoint measures the processor time of a load.
func scalePoint(offered int, load func() (count float64, failures int64)) (ScalePoint, error) {
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

// fit adds the line of the gateway's processor time.
func (s *scale) fit(quantity, per string, measured []ScalePoint) error {
	points := make([]slope.Point, 0, len(measured))
	for _, point := range measured {
		points = append(points, slope.Point{Size: point.PerSecond, Value: point.GatewayCores})
	}
	line, err := slope.Fit(quantity, "cores", per, points)
	s.report.Lines = append(s.report.Lines, line)
	return err
}

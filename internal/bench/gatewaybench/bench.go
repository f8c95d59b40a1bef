// Package gatewaybench measures the latency that the gateway adds to a request and the processor time that it uses.
// Latency is compared with that of direct calls to the same stand-ins, and the two kinds of call alternate in short
// slices of one run. Callers, stand-ins, control nodes and the gateway share one process and the loopback interface.
package gatewaybench

import (
	"context"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/rolecost"
)

// Config sets the duration and the load of the measurements.
type Config struct {
	// Folder holds the control nodes' data. Default: a new temporary folder that is removed after the run.
	Folder string
	// Duration is the time for which each kind of request is measured. The latency of streams is measured for twice
	// that time. Default 2s.
	Duration time.Duration
	// Rate is the number of requests a second in the latency measurement of requests that are not streamed. Default
	// 1050, which is half of the load that one gateway core has to sustain.
	Rate int
	// ClaimRate is the number of claimed requests a second in the measurement of claims. Default 200.
	ClaimRate int
	// Streams is the number of concurrent streams in the capacity measurement. Half of it is the number of streams
	// started a second in the latency measurement. Default 64.
	Streams int
	// StreamTokens is the number of tokens of a stream in the capacity measurement. Streams of the latency measurement
	// have a quarter of it. Default 256.
	StreamTokens int
	// Clients is the number of concurrent callers in the capacity measurement of requests. Default 64.
	Clients int
}

func (c *Config) setDefaults() {
	defaults := Config{Duration: 2 * time.Second, Rate: 1050, ClaimRate: 200, Streams: 64, StreamTokens: 256, Clients: 64}
	for field, standard := range map[*int]int{&c.Rate: defaults.Rate, &c.ClaimRate: defaults.ClaimRate,
		&c.Streams: defaults.Streams, &c.StreamTokens: defaults.StreamTokens, &c.Clients: defaults.Clients} {
		if *field <= 0 {
			*field = standard
		}
	}
	if c.Duration <= 0 {
		c.Duration = defaults.Duration
	}
}

// Latency summarises latencies in milliseconds.
type Latency struct {
	Samples int64   `json:"samples"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
}

// Hop compares the latency of requests through the gateway with that of the same requests sent directly to a replica.
// Ratios divide a quantile of the former by that of the latter, and added times are the difference. Failures counts
// both kinds of request. PerSecond is the rate at which requests are started.
type Hop struct {
	Direct      Latency `json:"direct"`
	Gateway     Latency `json:"gateway"`
	RatioP50    float64 `json:"ratio_p50"`
	RatioP99    float64 `json:"ratio_p99"`
	RatioP999   float64 `json:"ratio_p999"`
	AddedP50    float64 `json:"added_p50_ms"`
	AddedP99    float64 `json:"added_p99_ms"`
	Failures    int64   `json:"failures"`
	PerSecond   float64 `json:"requests_per_second"`
	ServiceTime float64 `json:"service_time_ms"` // fixed time that the stand-in takes for a request, or for a step of an engine
}

// Capacity is the throughput of a closed loop through the gateway and the processor time that it took. PerSecond counts
// requests or tokens. GatewayCores is the time of the gateway's own goroutines, without that of the Go runtime.
type Capacity struct {
	PerSecond    float64 `json:"per_second"`
	GatewayCores float64 `json:"gateway_cores"`
	PerCore      float64 `json:"per_gateway_core"`
	ProcessCores float64 `json:"process_cores"` // of the whole process, including callers, stand-ins and the Go runtime
	RuntimeCores float64 `json:"unlabelled_cores"`
	Failures     int64   `json:"failures"`
}

// Claim is the latency of the durable claim that the gateway makes before it forwards a request that is not repeatable,
// next to the latency of operations that every claim includes.
type Claim struct {
	Stage     Latency `json:"claim_stage"`
	Whole     Latency `json:"whole_request"`
	BareSync  Latency `json:"bare_synced_write"`
	RoundTrip Latency `json:"loopback_round_trip"`
	// RatioP99 is the p99 of the claim stage divided by the sum of the p99 of one synced write and that of one round
	// trip. RatioP50 is the same ratio of medians.
	RatioP99 float64 `json:"ratio_p99"`
	RatioP50 float64 `json:"ratio_p50"`
	Failures int64   `json:"failures"`
}

// Report is the result of Run.
type Report struct {
	Duration  string    `json:"duration_per_measurement"`
	Rate      int       `json:"rate"`
	Plain     *Hop      `json:"plain"`
	FirstByte *Hop      `json:"streamed_first_chunk"`
	Stream    *Hop      `json:"streamed_whole"`
	Requests  *Capacity `json:"requests"`
	Tokens    *Capacity `json:"streamed_tokens"`
	Claim     *Claim    `json:"claim"`
}

// run is the state of one call of Run.
type run struct {
	config Config
	fleet  *fleet
	report Report
}

// Run starts a deployment, makes all measurements one after another and returns their results.
func Run(ctx context.Context, config Config) (*Report, error) {
	config.setDefaults()
	if config.Folder == "" {
		folder, err := os.MkdirTemp("", "gatewaybench")
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		defer os.RemoveAll(folder)
		config.Folder = folder
	}
	started, err := startFleet(ctx, config)
	if err != nil {
		return nil, err
	}
	defer started.close()
	r := &run{config: config, fleet: started, report: Report{Duration: config.Duration.String(), Rate: config.Rate}}
	for _, measure := range []func(context.Context) error{r.measureRequestLatency, r.measureStreamLatency, r.measureRequestCapacity, r.measureTokenCapacity, r.measureClaims} {
		if err := measure(ctx); err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err())
		}
	}
	return &r.report, nil
}

// roleGateway is the role of package rolecost to which the gateway's processor time is attributed.
const roleGateway = "gateway"

// Range of a latency histogram in nanoseconds, and its precision in significant decimal digits.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(time.Minute)
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

func summarise(h *hdrhistogram.Histogram) Latency {
	millis := func(quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond)
	}
	return Latency{Samples: h.TotalCount(), P50: millis(50), P99: millis(99), P999: millis(99.9)}
}

// compareLatencies returns a Hop whose latencies, ratios and differences are set.
func compareLatencies(direct, gateway *hdrhistogram.Histogram) *Hop {
	hop := &Hop{Direct: summarise(direct), Gateway: summarise(gateway)}
	hop.RatioP50 = ratio(hop.Gateway.P50, hop.Direct.P50)
	hop.RatioP99 = ratio(hop.Gateway.P99, hop.Direct.P99)
	hop.RatioP999 = ratio(hop.Gateway.P999, hop.Direct.P999)
	hop.AddedP50 = hop.Gateway.P50 - hop.Direct.P50
	hop.AddedP99 = hop.Gateway.P99 - hop.Direct.P99
	return hop
}

// ratio returns value divided by base, or 0 if base is 0.
func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return value / base
}

// measureCapacity runs a load while the CPU profiler is on and divides the count that load returns by the elapsed time
// and by the gateway's processor time.
func measureCapacity(load func() (count float64, failures int64)) (*Capacity, error) {
	recorder, err := rolecost.Start()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	began := time.Now()
	count, failures := load()
	seconds := time.Since(began).Seconds()
	cost, err := recorder.Stop()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cores := cost.Cores(roleGateway)
	return &Capacity{PerSecond: count / seconds, GatewayCores: cores, PerCore: ratio(count/seconds, cores),
		ProcessCores: cost.TotalCores, RuntimeCores: cost.Cores(rolecost.Unlabelled), Failures: failures}, nil
}

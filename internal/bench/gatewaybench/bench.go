// Package gatewaybench measures what the gateway's hop costs: its latency beside calling the stand-ins
// directly, in alternating slices of one run, and its processor time by role. Callers, stand-ins, control
// nodes and the gateway share one process and the loopback interface.
package gatewaybench

import (
	"context"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/rolecost"
)

// Config says how long and how hard to measure.
type Config struct {
	// Folder holds the control nodes' data. Default: a new folder of the system's temporary files.
	Folder string
	// Duration of each measurement. Default 2s.
	Duration time.Duration
	// Rate of requests a second in the latency measurements. Default 1050: half of what one gateway core
	// has to carry.
	Rate int
	// ClaimRate of claimed requests a second. Default 200.
	ClaimRate int
	// Streams is the number of concurrent streams. Default 64.
	Streams int
	// StreamTokens is the length of each streamed answer. Default 256.
	StreamTokens int
	// Clients is the number of callers in the capacity measurements. Default 64.
	Clients int
}

func (c *Config) setDefaults() {
	defaults := Config{Duration: 2 * time.Second, Rate: 1050, ClaimRate: 200, Streams: 64, StreamTokens: 256, Clients: 64}
	for field, value := range map[*int]int{&c.Rate: defaults.Rate, &c.ClaimRate: defaults.ClaimRate,
		&c.Streams: defaults.Streams, &c.StreamTokens: defaults.StreamTokens, &c.Clients: defaults.Clients} {
		if *field <= 0 {
			*field = value
		}
	}
	if c.Duration <= 0 {
		c.Duration = defaults.Duration
	}
}

// Latency is a summary in milliseconds.
type Latency struct {
	Samples int64   `json:"samples"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
}

// Hop compares one kind of request through the gateway with the same request sent directly.
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
	ServiceTime float64 `json:"service_time_ms"` // of the stand-in
}

// Capacity is a closed loop through the gateway and what the gateway's own goroutines spent on it.
type Capacity struct {
	PerSecond    float64 `json:"per_second"`
	GatewayCores float64 `json:"gateway_cores"`
	PerCore      float64 `json:"per_gateway_core"`
	ProcessCores float64 `json:"process_cores"` // callers, stand-ins and runtime included
	RuntimeCores float64 `json:"unlabelled_cores"`
	Failures     int64   `json:"failures"`
}

// Claim is the latency of the durable claim before the first byte, beside what it cannot be below.
type Claim struct {
	Stage     Latency `json:"claim_stage"`
	Whole     Latency `json:"whole_request"`
	BareSync  Latency `json:"bare_synced_write"`
	RoundTrip Latency `json:"loopback_round_trip"`
	// RatioP99 is the p99 of the claim stage over the p99 of one synced write plus that of one round trip.
	RatioP99 float64 `json:"ratio_p99"`
	RatioP50 float64 `json:"ratio_p50"`
	Failures int64   `json:"failures"`
}

// Report is the result.
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

// run is one measurement under way.
type run struct {
	config Config
	fleet  *fleet
	report Report
}

// Run measures everything, one after another.
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
	for _, measure := range []func(context.Context) error{r.plain, r.streams, r.requestCapacity, r.tokenCapacity, r.claims} {
		if err := measure(ctx); err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err())
		}
	}
	return &r.report, nil
}

// roleGateway is the role that the gateway's processor time is accounted to.
const roleGateway = "gateway"

// highest and lowest values of a histogram, in nanoseconds, and its digits.
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

func compare(direct, through *hdrhistogram.Histogram) *Hop {
	hop := &Hop{Direct: summarise(direct), Gateway: summarise(through)}
	hop.RatioP50 = ratio(hop.Gateway.P50, hop.Direct.P50)
	hop.RatioP99 = ratio(hop.Gateway.P99, hop.Direct.P99)
	hop.RatioP999 = ratio(hop.Gateway.P999, hop.Direct.P999)
	hop.AddedP50 = hop.Gateway.P50 - hop.Direct.P50
	hop.AddedP99 = hop.Gateway.P99 - hop.Direct.P99
	return hop
}

func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return value / base
}

// capacity runs a load under the profiler and relates its count to the gateway's processor time.
func capacity(load func() (count float64, failures int64)) (*Capacity, error) {
	recorder, err := rolecost.Start()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	began := time.Now()
	count, failures := load()
	took := time.Since(began).Seconds()
	cost, err := recorder.Stop()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cores := cost.Cores(roleGateway)
	return &Capacity{PerSecond: count / took, GatewayCores: cores, PerCore: ratio(count/took, cores),
		ProcessCores: cost.TotalCores, RuntimeCores: cost.Cores(rolecost.Unlabelled), Failures: failures}, nil
}

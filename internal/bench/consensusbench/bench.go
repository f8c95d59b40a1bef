package consensusbench

import (
	"context"
	"os"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// Config says what to measure. The whole run is bounded by these numbers.
type Config struct {
	// Folder holds the nodes' data folders during the run; its disk is what is measured. Default: the
	// system's folder for temporary files.
	Folder string
	// Clients lists the numbers of concurrent clients. Default 1, 8, 64, 512.
	Clients []int
	// Duration is the time of each load. Default 2s.
	Duration time.Duration
	// Rate is the number of claims a second of the open-loop load. Default 10000.
	Rate int
	// LedgerGroups is the number of groups that claims are spread over. Default 4.
	LedgerGroups int
	// Kills is the number of times that the leader is stopped abruptly. Default 9.
	Kills int
	// Entries is the log length of the restart measurement. Default 10000.
	Entries int
	// Changes is the number of entries that a node misses in the catch-up measurement. Default 500.
	Changes int
	// SnapshotClaims is the number of claims in the state that is transferred; more than the entries that
	// raft retains behind a snapshot (1000). Default 50000.
	SnapshotClaims int
	// Log receives the nodes' messages. Optional.
	Log *logrus.Entry
}

// Latency summarises durations in microseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_micros"`
	P99   float64 `json:"p99_micros"`
	Max   float64 `json:"max_micros"`
}

// Load is the result of one load.
type Load struct {
	Clients         int     `json:"clients,omitempty"`
	Mode            string  `json:"mode"` // group_commit, sync_per_claim or open_loop
	OfferedPerSec   float64 `json:"offered_per_second,omitempty"`
	CommittedPerSec float64 `json:"committed_per_second"`
	Errors          int64   `json:"errors"`
	Latency         Latency `json:"latency"`
	// P50Syncs and P99Syncs are the latencies over the median bare sync of three concurrent writers.
	P50Syncs float64 `json:"p50_over_bare_sync"`
	P99Syncs float64 `json:"p99_over_bare_sync"`
	// P99OverP99 is the p99 latency over the p99 of the bare sync.
	P99OverP99 float64 `json:"p99_over_bare_sync_p99"`
	// Speedup is the rate over that of one sync per claim with as many clients.
	Speedup float64 `json:"over_sync_per_claim,omitempty"`
}

// Report is what the bench prints.
type Report struct {
	Processors     int     `json:"processors"`
	Nodes          int     `json:"nodes"`
	LedgerGroups   int     `json:"ledger_groups"`
	BareSync       Latency `json:"bare_sync"`             // one writer
	BareSyncShared Latency `json:"bare_sync_three_files"` // three writers at once, as the three nodes are
	Loads          []Load  `json:"loads"`
	// LeaderLoss is the time from an abrupt stop of the leader to the next commit, in milliseconds.
	LeaderLoss Sample `json:"without_leader"`
	// Restart is the time in which one node opens its folder and has applied the log.
	Restart Restart `json:"restart"`
	// CatchUp is the time from the start of a node that missed changes until it has applied them.
	CatchUp CatchUp `json:"catch_up"`
	// Snapshot is the time in which an empty learner gets the whole state.
	Snapshot SnapshotTransfer `json:"snapshot_transfer"`
}

// Sample summarises a few durations in milliseconds.
type Sample struct {
	Count  int     `json:"count"`
	Median float64 `json:"median_millis"`
	Min    float64 `json:"min_millis"`
	Max    float64 `json:"max_millis"`
}

// Restart is the result of the restart measurement.
type Restart struct {
	Entries int     `json:"entries"`
	Millis  float64 `json:"millis"`
}

// CatchUp is the result of the catch-up measurement.
type CatchUp struct {
	Changes int     `json:"changes"`
	Millis  float64 `json:"millis"`
}

// SnapshotTransfer is the result of the snapshot measurement.
type SnapshotTransfer struct {
	Claims int     `json:"claims"`
	Bytes  int     `json:"bytes"`
	Millis float64 `json:"millis"`
}

func (c *Config) setDefaults() {
	if len(c.Clients) == 0 {
		c.Clients = []int{1, 8, 64, 512}
	}
	for _, option := range []struct {
		value    *int
		standard int
	}{{&c.Rate, 10_000}, {&c.LedgerGroups, 4}, {&c.Kills, 9}, {&c.Entries, 10_000}, {&c.Changes, 500}, {&c.SnapshotClaims, 50_000}} {
		if *option.value == 0 {
			*option.value = option.standard
		}
	}
	if c.Duration == 0 {
		c.Duration = 2 * time.Second
	}
}

// Run measures everything and returns the report. A load whose requests fail is reported with its errors.
func Run(ctx context.Context, config Config) (*Report, error) {
	config.setDefaults()
	folder, err := os.MkdirTemp(config.Folder, "bench-consensus-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(folder)
	run := &run{config: config, folder: folder, report: &Report{
		Processors: runtime.GOMAXPROCS(0), Nodes: nodeCount, LedgerGroups: config.LedgerGroups}}
	steps := []func(context.Context) error{run.bareSync, run.loads, run.leaderLoss, run.restart, run.catchUp, run.snapshot}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return run.report, err
		}
	}
	return run.report, nil
}

// run is one run of the bench.
type run struct {
	config Config
	folder string
	report *Report
}

const (
	highestMicros     = 60_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicros, significantDigits)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(duration.Microseconds(), 1), highestMicros))
}

func summarise(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: histogram.TotalCount(),
		P50:   float64(histogram.ValueAtQuantile(50)),
		P99:   float64(histogram.ValueAtQuantile(99)),
		Max:   float64(histogram.Max()),
	}
}

func millis(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

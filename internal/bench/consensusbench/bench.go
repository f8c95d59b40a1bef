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

// Config sets the sizes and durations of the measurements, which bound the duration of the whole run.
type Config struct {
	// Folder is where the nodes' data folders are created. They are removed after the run. The result depends on the
	// disk that it is on. Default: the system's folder for temporary files.
	Folder string
	// Clients lists the numbers of concurrent clients. Default 1, 8, 64, 512.
	Clients []int
	// Duration is the duration of each load. Bare synced writes are measured for half of it. Default 2s.
	Duration time.Duration
	// Rate is the number of claims a second in the open-loop load. Default 10000.
	Rate int
	// LedgerGroups is the number of ledger groups over which claims are distributed. Default 4.
	LedgerGroups int
	// Kills is how many times the leader is stopped without a handover. Default 9.
	Kills int
	// Entries is the number of log entries that a node replays in the restart measurement. Default 10000.
	Entries int
	// Changes is the number of entries that a node misses in the catch-up measurement. Default 500.
	Changes int
	// SnapshotClaims is the number of claims in the state that is transferred as a snapshot. It must exceed the 1000
	// entries that raft retains behind a snapshot, because a learner needs no snapshot otherwise. Default 50000.
	SnapshotClaims int
	// Log receives the nodes' log messages. Optional.
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
	// P50OverSync and P99OverSync are the latencies divided by the median latency of a bare synced write by three
	// concurrent writers.
	P50OverSync float64 `json:"p50_over_bare_sync"`
	P99OverSync float64 `json:"p99_over_bare_sync"`
	// P99OverSyncP99 is the p99 latency divided by the p99 latency of the same bare synced writes.
	P99OverSyncP99 float64 `json:"p99_over_bare_sync_p99"`
	// Speedup is CommittedPerSec divided by that of one sync per claim with the same number of clients.
	Speedup float64 `json:"over_sync_per_claim,omitempty"`
}

// Report is the result of Run.
type Report struct {
	Processors     int     `json:"processors"`
	Nodes          int     `json:"nodes"`
	LedgerGroups   int     `json:"ledger_groups"`
	BareSync       Latency `json:"bare_sync"`             // one writer
	BareSyncShared Latency `json:"bare_sync_three_files"` // three concurrent writers with a file each, like the three nodes
	Loads          []Load  `json:"loads"`
	// LeaderLoss is the time from a stop of the leader without a handover until the next commit.
	LeaderLoss Summary `json:"without_leader"`
	// Restart is the time that one node takes to open its folder and apply its log.
	Restart Restart `json:"restart"`
	// CatchUp is the time from the start of a node that missed entries until it has applied them.
	CatchUp CatchUp `json:"catch_up"`
	// Snapshot is the time that an empty learner takes to receive and apply the whole state.
	Snapshot SnapshotTransfer `json:"snapshot_transfer"`
}

// Summary summarises a small number of durations in milliseconds.
type Summary struct {
	Count  int     `json:"count"`
	Median float64 `json:"median_millis"`
	Min    float64 `json:"min_millis"`
	Max    float64 `json:"max_millis"`
}

// Restart is the result of the restart measurement: the number of log entries and the time to apply them.
type Restart struct {
	Entries int     `json:"entries"`
	Millis  float64 `json:"millis"`
}

// CatchUp is the result of the catch-up measurement: the number of missed entries and the time to apply them.
type CatchUp struct {
	Changes int     `json:"changes"`
	Millis  float64 `json:"millis"`
}

// SnapshotTransfer is the result of the snapshot measurement: the claims in the state, the size of the snapshot and the
// time from the addition of the learner until it has applied all committed entries.
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

// Run makes all measurements and returns the report. Failed requests of a load are counted in the report. Any other
// failure ends the run, and the report of what was measured before it is returned together with the error.
func Run(ctx context.Context, config Config) (*Report, error) {
	config.setDefaults()
	folder, err := os.MkdirTemp(config.Folder, "bench-consensus-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(folder)
	run := &run{config: config, folder: folder, report: &Report{
		Processors: runtime.GOMAXPROCS(0), Nodes: nodeCount, LedgerGroups: config.LedgerGroups}}
	steps := []func(context.Context) error{run.measureBareSync, run.measureLoads, run.measureLeaderLoss, run.measureRestart, run.measureCatchUp, run.measureSnapshot}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return run.report, err
		}
	}
	return run.report, nil
}

// run is the state of one call of Run.
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

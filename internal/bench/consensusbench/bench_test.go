package consensusbench

import (
	"context"
	"testing"
	"time"
)

// TestRunMeasuresEverything guards against parts of the benchmark that measure nothing or whose claims fail. The whole
// benchmark runs with small sizes.
func TestRunMeasuresEverything(t *testing.T) {
	report, err := Run(context.Background(), Config{Folder: t.TempDir(), Clients: []int{4}, Duration: 200 * time.Millisecond,
		Rate: 200, Kills: 1, Entries: 200, Changes: 50, SnapshotClaims: 1500})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Loads) != 3 {
		t.Fatalf("got %d loads, want 3", len(report.Loads))
	}
	for _, load := range report.Loads {
		if load.Latency.Count == 0 || load.Errors > 0 {
			t.Errorf("%s: got %d committed claims and %d errors, want claims and no error", load.Mode, load.Latency.Count, load.Errors)
		}
	}
	if report.BareSync.Count == 0 || report.LeaderLoss.Count != 1 || report.Snapshot.Claims < 1500 || report.Snapshot.Bytes == 0 ||
		report.Restart.Millis == 0 || report.CatchUp.Millis == 0 {
		t.Errorf("got a report with missing measurements: %+v", report)
	}
}

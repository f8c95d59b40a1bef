package gatewaybench

import (
	"context"
	"testing"
	"time"
)

// TestRunMeasuresEveryPart runs every measurement briefly.
func TestRunMeasuresEveryPart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a control group on real files for several seconds")
	}
	report, err := Run(context.Background(), Config{Folder: t.TempDir(), Duration: 200 * time.Millisecond, Streams: 8, StreamTokens: 32})
	if err != nil {
		t.Fatal(err)
	}
	for name, samples := range map[string]int64{"plain": report.Plain.Gateway.Samples, "direct": report.Plain.Direct.Samples,
		"streams": report.Stream.Gateway.Samples, "claims": report.Claim.Stage.Samples, "syncs": report.Claim.BareSync.Samples} {
		if samples == 0 {
			t.Errorf("%s: nothing was measured", name)
		}
	}
	if report.Requests.PerSecond == 0 || report.Tokens.PerSecond == 0 {
		t.Errorf("capacity: %+v, %+v", report.Requests, report.Tokens)
	}
	if failures := report.Plain.Failures + report.Stream.Failures + report.Claim.Failures + report.Requests.Failures + report.Tokens.Failures; failures > 0 {
		t.Errorf("%d calls failed", failures)
	}
}

func TestStageTimeReadsItsOwnStage(t *testing.T) {
	header := "queue;dur=0.010, claim;dur=2.500, total;dur=9.000"
	if got := stageTime(header, "claim"); got != 2500*time.Microsecond {
		t.Fatalf("claim took %v", got)
	}
	if got := stageTime(header, "connect"); got != 0 {
		t.Fatalf("a stage that is not there took %v", got)
	}
}

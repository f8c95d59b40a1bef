package gatewaybench

import (
	"context"
	"testing"
	"time"
)

// TestRunMeasuresEveryPart guards against parts of the benchmark that measure nothing or whose calls fail. Every
// measurement runs briefly.
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
			t.Errorf("%s: got 0 samples, want at least 1", name)
		}
	}
	if report.Requests.PerSecond == 0 || report.Tokens.PerSecond == 0 {
		t.Errorf("got request capacity %+v and token capacity %+v, want rates above 0", report.Requests, report.Tokens)
	}
	if failures := report.Plain.Failures + report.Stream.Failures + report.Claim.Failures + report.Requests.Failures + report.Tokens.Failures; failures > 0 {
		t.Errorf("got %d failed calls, want 0", failures)
	}
}

// TestParseStageTimeReadsOnlyTheNamedStage guards against the time of another stage, such as the total, that is
// reported as the time of the claim.
func TestParseStageTimeReadsOnlyTheNamedStage(t *testing.T) {
	header := "queue;dur=0.010, claim;dur=2.500, total;dur=9.000"
	if got := parseStageTime(header, "claim"); got != 2500*time.Microsecond {
		t.Fatalf("got %v for the claim stage, want 2.5ms", got)
	}
	if got := parseStageTime(header, "connect"); got != 0 {
		t.Fatalf("got %v for a stage that the header does not have, want 0", got)
	}
}

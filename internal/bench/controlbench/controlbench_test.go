package controlbench

import (
	"context"
	"testing"
	"time"
)

// TestRunMeasuresEverySize guards against sizes at which nothing is measured and changes that do not reach every node.
// The whole benchmark runs at three small sizes.
func TestRunMeasuresEverySize(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a control group on real files for several seconds")
	}
	report, err := Run(context.Background(), Config{Folder: t.TempDir(), Sizes: []int{2, 4, 8}, Changes: 3, ChangesPerSecond: 100,
		Idle: 100 * time.Millisecond, Lease: 600 * time.Millisecond, Rows: 10})
	if err != nil {
		t.Fatal(err)
	}
	for _, point := range report.Points {
		if point.InForce.Count != 3 || point.LastNode.Count != 3 || point.Rejected != 0 {
			t.Errorf("%d nodes: got %d changes in force, %d applied by the last node, %d rejected; want 3, 3, 0",
				point.Nodes, point.InForce.Count, point.LastNode.Count, point.Rejected)
		}
		if point.Changing.NodeBytesPerSecond <= 0 || point.LiveBytes == 0 {
			t.Errorf("%d nodes: got no traffic or no memory, want both above 0: %+v", point.Nodes, point)
		}
	}
	if len(report.Lines) != 9 {
		t.Errorf("got %d lines, want 9", len(report.Lines))
	}
}

// TestVersionIsReachedByTheLastNodeOnly guards against a version that counts as reached before all nodes have reported
// it.
func TestVersionIsReachedByTheLastNodeOnly(t *testing.T) {
	p := newProgress()
	p.reset(2)
	p.report(7)
	if _, reached := p.reached[7]; reached {
		t.Fatal("version 7 is reached after one node of two, want it to wait for both")
	}
	p.report(7)
	if _, err := p.waitReached(context.Background(), 7); err != nil {
		t.Fatal(err)
	}
}

// TestSummariseTakesTheNearestRank guards against quantiles that are off by one, and against unsorted input.
func TestSummariseTakesTheNearestRank(t *testing.T) {
	var durations []time.Duration
	for n := 50; n > 0; n-- {
		durations = append(durations, time.Duration(n)*time.Millisecond)
	}
	if got, want := summarise(durations), (Latency{Count: 50, P50: 25, P99: 50, Max: 50}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

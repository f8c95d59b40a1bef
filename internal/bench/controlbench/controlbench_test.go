package controlbench

import (
	"context"
	"testing"
	"time"
)

// TestRunMeasuresEverySize runs the whole bench at three small sizes.
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
		if point.InForce.Count != 3 || point.LastNode.Count != 3 || point.Refused != 0 {
			t.Errorf("%d nodes: %d changes came into force, %d reached the last node, %d were refused; want 3, 3, 0",
				point.Nodes, point.InForce.Count, point.LastNode.Count, point.Refused)
		}
		if point.Changing.NodeBytesPerSecond <= 0 || point.LiveBytes == 0 {
			t.Errorf("%d nodes: no traffic or memory was measured: %+v", point.Nodes, point)
		}
	}
	if len(report.Lines) != 9 {
		t.Errorf("%d lines were fitted, want 9", len(report.Lines))
	}
}

func TestProgressIsReachedByTheLastNodeOnly(t *testing.T) {
	p := newProgress()
	p.setNodes(2)
	p.acted(7)
	if _, reached := p.reached[7]; reached {
		t.Fatal("one node of two counts as all")
	}
	p.acted(7)
	if _, err := p.wait(context.Background(), 7); err != nil {
		t.Fatal(err)
	}
}

func TestSummariseTakesTheNearestRank(t *testing.T) {
	var durations []time.Duration
	for n := 50; n > 0; n-- {
		durations = append(durations, time.Duration(n)*time.Millisecond)
	}
	if got, want := summarise(durations), (Latency{Count: 50, P50: 25, P99: 50, Max: 50}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

package weights

import (
	"testing"
	"time"
)

// TestExpectedLoadTimeIsMinimumOfRecentLoads checks that nothing is expected before the first load, and that slower
// loads raise the expected time once the faster ones have left the window.
func TestExpectedLoadTimeIsMinimumOfRecentLoads(t *testing.T) {
	var times loadTimes
	if times.expected() != 0 {
		t.Fatal("expected load time is not 0 before the first load")
	}
	times.add(1050 * time.Millisecond)
	times.add(time.Second)
	if got := times.expected(); got != time.Second-minReportAge {
		t.Fatalf("expected load time: got %s, want the shortest recent load less minReportAge, at least 0", got)
	}
	for range loadTimeWindow {
		times.add(3 * time.Second)
	}
	if got := times.expected(); got != 3*time.Second-minReportAge {
		t.Fatalf("expected load time: got %s, want the shortest recent load less minReportAge, at least 0", got)
	}
	times.add(minReportAge / 2)
	if got := times.expected(); got != 0 {
		t.Fatalf("expected load time: got %s, want the shortest recent load less minReportAge, at least 0", got)
	}
}

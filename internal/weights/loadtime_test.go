package weights

import (
	"testing"
	"time"
)

// TestExpectedLoadFollowsTheShortestOfTheLast: nothing is expected before a load was seen; loads that take longer together
// raise the expectation once the quick ones are forgotten.
func TestExpectedLoadFollowsTheShortestOfTheLast(t *testing.T) {
	var times loadTimes
	if times.expected() != 0 {
		t.Fatal("a load is expected that was never seen")
	}
	times.add(1050 * time.Millisecond)
	times.add(time.Second)
	if got := times.expected(); got != time.Second-reportAge {
		t.Fatalf("expected after %s", got)
	}
	for range loadTimesKept {
		times.add(3 * time.Second)
	}
	if got := times.expected(); got != 3*time.Second-reportAge {
		t.Fatalf("expected after %s", got)
	}
	times.add(reportAge / 2)
	if got := times.expected(); got != 0 {
		t.Fatalf("expected after %s", got)
	}
}

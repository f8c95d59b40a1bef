package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGrowthIsExpectedAfterWorkBeginsToWait checks that growth is expected for GrowthTime after work begins to wait
// and after each growth, and not again while the same overload lasts.
func TestGrowthIsExpectedAfterWorkBeginsToWait(t *testing.T) {
	var growth Growth
	for _, step := range []struct {
		at      time.Duration // milliseconds
		amount  int
		waiting bool
		want    bool
	}{
		{0, 1, false, true}, {900, 1, false, true}, {1000, 1, true, true}, {1199, 1, true, true}, {1200, 1, true, false},
		{1300, 2, true, true}, {1499, 2, true, true}, {1500, 2, true, false},
		{1510, 2, false, false}, {1520, 2, true, false}, // still the same overload, with requests being refused now and then
		{2700, 2, true, true}, {2899, 2, true, true}, {2900, 2, true, false},
		{2950, 1, true, false},                                                                       // the share has shrunk
		{4200, 1, false, true}, {4300, 1, true, true}, {4400, 9, true, true}, {4410, 9, false, true}, // burst, share grows
		{4700, 9, true, true}, {4899, 9, true, true}, {4900, 9, true, false}, // the next burst
	} {
		now := step.at * time.Millisecond
		growth.Observe(now, step.amount, step.waiting)
		if growth.Expected(now) != step.want {
			t.Errorf("at %d ms: Expected returned %v, want the opposite", step.at, growth.Expected(now))
		}
	}
}

// TestGrowthIsRarelyExpectedInLastingOverload checks that in a lasting overload without growth, growth is expected in
// only about a seventh of the time. Otherwise callers would wait in vain for slots that never come.
func TestGrowthIsRarelyExpectedInLastingOverload(t *testing.T) {
	const step, length = 5 * time.Millisecond, 20 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var growth Growth
		growth.Observe(0, 3, false)
		var expectedFor, waitedFor time.Duration
		for now := step; now < length; now += step {
			waiting := rapid.IntRange(0, 9).Draw(t, "waits") > 0
			growth.Observe(now, 3, waiting)
			if growth.Expected(now) && waiting {
				expectedFor += step
			}
			if waiting {
				waitedFor += step
			}
		}
		if most := (length/(GrowthTime+growthPause) + 1) * (GrowthTime + step); expectedFor > most {
			t.Fatalf("growth was expected for %s of %s with waiting work, want %s at most", expectedFor, waitedFor, most)
		}
	})
}

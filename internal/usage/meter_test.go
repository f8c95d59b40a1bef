package usage

import (
	"testing"
	"time"
)

const length = 5 * time.Second

func TestWindowsBeginAtMultiplesOfTheirLength(t *testing.T) {
	for at, want := range map[time.Time]uint64{time.Unix(0, 0): 0, time.Unix(4, 999_999_999): 0, time.Unix(5, 0): 1, time.Unix(-3, 0): 0} {
		if got := WindowOf(at, length); got != want {
			t.Errorf("%v is in window %d, expected another", at, got)
		}
	}
	if end := EndOf(1, length); !end.Equal(time.Unix(10, 0)) {
		t.Errorf("window 1 ends at %v, want 10 s after the epoch", end)
	}
}

// TestLostCountsAreSentAgain guards against counts that are lost with a failed hand-over. They must be sent again as
// totals, and Sealed must report the requests that can no longer be handed over.
func TestLostCountsAreSentAgain(t *testing.T) {
	meter := NewMeter(length)
	meter.Count("one", time.Unix(5, 0))
	first := meter.Unsent()
	if len(first) != 1 || first[0].GetWindow() != 1 || len(meter.Unsent()) != 0 {
		t.Fatalf("%v", first)
	}
	meter.Lost(first)
	meter.Count("one", time.Unix(6, 0))
	meter.Count("two", time.Unix(11, 0))
	again := meter.Unsent()
	if len(again) != 2 || figures(again[0])["one"] != 2 || figures(again[1])["two"] != 1 {
		t.Fatalf("%v", again)
	}
	meter.Count("one", time.Unix(7, 0))
	if dropped := meter.Sealed(2); dropped != 3 {
		t.Errorf("%d requests were dropped, want 3", dropped)
	}
	meter.Lost(first)
	if left := meter.Unsent(); len(left) != 0 {
		t.Errorf("a sealed window was returned by Unsent again: %v", left)
	}
}

// TestClockStepIsFollowedOnlyIfItLasts covers a wall clock that is stepped by seconds. A step that is corrected soon
// must not move requests to another window, whereas slewing and a lasting step must be followed.
func TestClockStepIsFollowedOnlyIfItLasts(t *testing.T) {
	var clock SteadyClock
	base := time.Unix(1000, 0)
	at := func(after, step time.Duration) time.Duration {
		return clock.At(base.Add(after+step), after).Sub(base) - after
	}
	for _, test := range []struct{ after, step, want time.Duration }{
		{0, 0, 0}, {time.Second, 2 * time.Second, 0}, {5 * time.Second, 2 * time.Second, 0}, {6 * time.Second, 0, 0},
		{7 * time.Second, 150 * time.Millisecond, 150 * time.Millisecond}, {8 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{9 * time.Second, -2 * time.Second, 300 * time.Millisecond}, {40 * time.Second, -2 * time.Second, 300 * time.Millisecond},
		{69 * time.Second, -2 * time.Second, -2 * time.Second},
	} {
		if got := at(test.after, test.step); got != test.want {
			t.Errorf("after %v with a step of %v: off by %v, expected another deviation", test.after, test.step, got)
		}
	}
}

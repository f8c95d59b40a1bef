package usage

import (
	"testing"
	"time"
)

const length = 5 * time.Second

func TestWindowsBeginAtMultiplesOfTheirLength(t *testing.T) {
	for at, want := range map[time.Time]uint64{time.Unix(0, 0): 0, time.Unix(4, 999_999_999): 0, time.Unix(5, 0): 1, time.Unix(-3, 0): 0} {
		if got := WindowOf(at, length); got != want {
			t.Errorf("%v is in window %d", at, got)
		}
	}
	if end := EndOf(1, length); !end.Equal(time.Unix(10, 0)) {
		t.Errorf("window 1 ends at %v", end)
	}
}

// TestCountsGoUntilTheyAreTaken, as totals, and what the ledger takes no more of is told.
func TestCountsGoUntilTheyAreTaken(t *testing.T) {
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
		t.Errorf("%d requests are in no report", dropped)
	}
	meter.Lost(first)
	if left := meter.Unsent(); len(left) != 0 {
		t.Errorf("a sealed window goes again: %v", left)
	}
}

// TestSteppedClockMovesNoRequest: a step of some seconds that is put right again is not followed, slewing is, and so is a
// step that lasts.
func TestSteppedClockMovesNoRequest(t *testing.T) {
	var clock Steady
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
			t.Errorf("after %v with a step of %v: %v off", test.after, test.step, got)
		}
	}
}

package monotonic

import (
	"testing"
	"time"
)

func TestObservedTime(t *testing.T) {
	observed := NewObservedTime(time.Hour, time.Second)
	now := time.Hour
	for _, observation := range []struct{ after, want time.Duration }{
		{0, 0},
		{400 * time.Millisecond, 400 * time.Millisecond},
		{time.Second, 1400 * time.Millisecond},
		{time.Minute, 2400 * time.Millisecond}, // paused
		{1500 * time.Millisecond, 3400 * time.Millisecond},
	} {
		now += observation.after
		if got := observed.At(now); got != observation.want {
			t.Errorf("At %s after the last observation: %s, want %s", observation.after, got, observation.want)
		}
		if got := observed.Observe(now); got != observation.want || observed.At(now) != observation.want {
			t.Errorf("Observe %s after the last observation: %s, want %s", observation.after, got, observation.want)
		}
	}
	if got := observed.At(now - time.Second); got != observed.At(now) {
		t.Errorf("At a time before the last observation: %s, want the value at the last observation", got)
	}
}

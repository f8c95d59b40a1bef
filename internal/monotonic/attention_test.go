package monotonic

import (
	"testing"
	"time"
)

func TestAttention(t *testing.T) {
	attention := NewObservedTime(time.Hour, time.Second)
	now := time.Hour
	for _, look := range []struct{ after, want time.Duration }{
		{0, 0},
		{400 * time.Millisecond, 400 * time.Millisecond},
		{time.Second, 1400 * time.Millisecond},
		{time.Minute, 2400 * time.Millisecond}, // paused
		{1500 * time.Millisecond, 3400 * time.Millisecond},
	} {
		now += look.after
		if got := attention.At(now); got != look.want {
			t.Errorf("At %s after the last look: %s, want %s", look.after, got, look.want)
		}
		if got := attention.Observe(now); got != look.want || attention.At(now) != look.want {
			t.Errorf("Look %s after the last look: %s, want %s", look.after, got, look.want)
		}
	}
	if got := attention.At(now - time.Second); got != attention.At(now) {
		t.Errorf("At a time before the last look: %s, want the value at the last look", got)
	}
}

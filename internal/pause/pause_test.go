package pause

import (
	"context"
	"testing"
	"time"
)

// TestEveryStopsWhenContextEnds checks that no call follows the one in which the context ends.
func TestEveryStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	Every(ctx, time.Millisecond, func(context.Context) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	if calls != 3 {
		t.Fatalf("%d calls, want 3", calls)
	}
}

// TestForReturnsContextError checks that For reports an ended context for a zero and for a long wait.
func TestForReturnsContextError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	if err := For(ctx, time.Microsecond); err != nil {
		t.Fatalf("For returned %v, want nil", err)
	}
	cancel()
	for _, duration := range []time.Duration{0, time.Hour} {
		if For(ctx, duration) == nil {
			t.Fatalf("a wait of %v returns nil, want the error of its ended context", duration)
		}
	}
}

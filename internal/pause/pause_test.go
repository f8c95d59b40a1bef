package pause

import (
	"context"
	"testing"
	"time"
)

// TestEveryEndsWithItsContext counts calls until one of them ends the context.
func TestEveryEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	Every(ctx, time.Millisecond, func(context.Context) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	if calls != 3 {
		t.Fatalf("%d calls", calls)
	}
}

func TestForReturnsTheContextsError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	if err := For(ctx, time.Microsecond); err != nil {
		t.Fatal(err)
	}
	cancel()
	for _, duration := range []time.Duration{0, time.Hour} {
		if For(ctx, duration) == nil {
			t.Fatalf("a wait of %v does not tell that its context has ended", duration)
		}
	}
}

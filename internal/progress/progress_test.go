package progress

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOnlySlowTransfersAreStill checks that a transfer that moves minBytes per window is never still for a whole
// window, however its bytes are split, and that one that moves half as much is.
func TestOnlySlowTransfersAreStill(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		minBytes := rapid.Int64Range(100, 1000).Draw(t, "least")
		pieces := rapid.Int64Range(1, 20).Draw(t, "pieces")
		steady := rapid.Bool().Draw(t, "steady")
		piece, pause := (minBytes+pieces-1)/pieces, window/time.Duration(pieces+1)
		if !steady {
			piece, pause = minBytes/pieces, 2*window/time.Duration(pieces)+1
		}
		now := 5 * time.Second
		meter := NewMeter(minBytes, now)
		for range 4 * pieces {
			now += pause
			if meter.StalledFor(now) >= window {
				if steady {
					t.Fatalf("steady transfer was still for a whole window at %s", now)
				}
				return
			}
			meter.Add(now, piece)
		}
		if !steady {
			t.Fatal("slow transfer was never still for a whole window")
		}
	})
}

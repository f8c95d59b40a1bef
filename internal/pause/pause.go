// Package pause waits for a time or for a context's end, whichever comes first.
package pause

import (
	"context"
	"time"
)

// For waits for the duration. It returns ctx's error when ctx ended first, and nil at once for a duration of 0
// or less on a live context.
func For(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

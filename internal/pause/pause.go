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

// Every calls work once in each interval, the first time after one, until ctx ends. A call that takes longer than the
// interval delays the next one.
func Every(ctx context.Context, interval time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work(ctx)
		}
	}
}

// Package pause waits for a duration or until a context ends, whichever comes first.
package pause

import (
	"context"
	"time"
)

// For waits for the duration. It returns ctx's error if ctx ends first. For a duration of 0 or less it does not wait,
// and returns nil unless ctx has ended.
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

// Every calls work once per interval until ctx ends, for the first time after one interval. A call that takes longer
// than the interval delays the next one.
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

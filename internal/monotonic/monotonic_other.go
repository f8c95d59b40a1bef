//go:build !linux

package monotonic

import "time"

var start = time.Now()

// Now returns the time since the process was started.
func Now() time.Duration { return time.Since(start) }

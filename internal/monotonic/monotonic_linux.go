package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

var start = time.Now()

// Now returns the time since the machine was started, including time for which it was suspended.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(start) // kernels before 2.6.39 have no CLOCK_BOOTTIME
	}
	return time.Duration(now.Nano())
}

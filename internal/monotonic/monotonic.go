// Package monotonic provides the clock on which leases are measured. It never goes back and does not follow changes
// of the wall clock. Where the system offers it, the clock continues while the machine is suspended, so that leases
// have expired when a process on a suspended machine wakes up.
package monotonic

import "time"

// Clock returns the time since an arbitrary start, which is the same for the whole process.
type Clock func() time.Duration

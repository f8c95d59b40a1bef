// Package monotonic is the clock that leases are judged on: it never goes back, does not follow changes
// of the wall clock, and, where the system offers it, goes on while the machine is suspended, so that a
// process on a suspended machine wakes up with its lease lapsed.
package monotonic

import "time"

// Clock gives the time since an arbitrary start, the same for the whole process.
type Clock func() time.Duration

// Package progress detects transfers that are too slow: those that move less than a minimum number of bytes within a
// time window. It guards against peers that read or send a byte now and then. An idle timeout never fires for such
// peers, and a limit on the whole transfer would also end slow but steady ones.
package progress

import "time"

// Meter measures the progress of one transfer. All times passed to it are readings of the same monotonic clock. It is
// not safe for concurrent use.
type Meter struct {
	minBytes    int64
	start       time.Duration // start of the window
	windowBytes int64         // bytes transferred in the window
}

// NewMeter returns a meter for a transfer that starts now. A new window starts whenever minBytes were transferred in
// the current one.
func NewMeter(minBytes int64, now time.Duration) Meter { return Meter{minBytes: minBytes, start: now} }

// Add records transferred bytes.
func (m *Meter) Add(now time.Duration, bytes int64) {
	m.windowBytes += bytes
	if m.windowBytes >= m.minBytes {
		m.start, m.windowBytes = now, 0
	}
}

// StalledFor returns how long the current window has lasted, that is, the time in which the transfer has moved less
// than minBytes. The caller compares it with the window that it allows.
func (m *Meter) StalledFor(now time.Duration) time.Duration { return now - m.start }

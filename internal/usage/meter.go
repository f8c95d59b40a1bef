package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// WindowOf returns the number of the window, of the given length, that contains an instant. Instants before 1970 are
// in window 0.
func WindowOf(at time.Time, length time.Duration) uint64 {
	return uint64(max(at.UnixNano(), 0) / int64(length))
}

// EndOf returns the instant at which a window of the given length ends.
func EndOf(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Meter counts the requests that begin to run in one process. It is not safe for concurrent use.
type Meter struct {
	length  time.Duration
	windows map[uint64]counts // total counts so far of the windows that are not sealed
	changed map[uint64]bool   // windows with counts that the ledger may not have
}

// NewMeter returns a meter for windows of the given length.
func NewMeter(length time.Duration) *Meter {
	return &Meter{length: length, windows: map[uint64]counts{}, changed: map[uint64]bool{}}
}

// Count records that a request of a tenant began to run.
func (m *Meter) Count(tenant string, at time.Time) {
	window := WindowOf(at, m.length)
	if m.windows[window] == nil {
		m.windows[window] = counts{}
	}
	m.windows[window][tenant]++
	m.changed[window] = true
}

// Unsent returns the totals of the windows that changed since the last call, sorted by window. The windows count as
// handed over unless they are passed to Lost.
func (m *Meter) Unsent() []*wire.UsageWindow {
	var windows []*wire.UsageWindow
	for _, window := range slices.Sorted(maps.Keys(m.changed)) {
		windows = append(windows, &wire.UsageWindow{Window: window, Counts: listCounts(m.windows[window])})
	}
	clear(m.changed)
	return windows
}

// Lost records that windows returned by Unsent may not have arrived. The next Unsent returns them again.
func (m *Meter) Lost(windows []*wire.UsageWindow) {
	for _, window := range windows {
		if m.windows[window.GetWindow()] != nil {
			m.changed[window.GetWindow()] = true
		}
	}
}

// Sealed drops the windows before next, for which the ledger accepts no more counts. It returns the number of
// requests in dropped windows whose counts may not have arrived.
func (m *Meter) Sealed(next uint64) (dropped uint64) {
	for window, counted := range m.windows {
		if window >= next {
			continue
		}
		if m.changed[window] {
			for _, requests := range counted {
				dropped += requests
			}
		}
		delete(m.windows, window)
		delete(m.changed, window)
	}
	return dropped
}

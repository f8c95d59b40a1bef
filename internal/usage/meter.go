package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// WindowOf is the number of the window of a length that an instant lies in.
func WindowOf(at time.Time, length time.Duration) uint64 {
	return uint64(max(at.UnixNano(), 0) / int64(length))
}

// EndOf is the instant at which a window of a length ends.
func EndOf(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Meter counts what one process sees begin to run. It is not safe for concurrent use.
type Meter struct {
	length  time.Duration
	windows map[uint64]counts // the totals so far of windows that are not sealed
	changed map[uint64]bool   // windows with counts that the ledger is not known to have
}

// NewMeter returns a meter for windows of a length.
func NewMeter(length time.Duration) *Meter {
	return &Meter{length: length, windows: map[uint64]counts{}, changed: map[uint64]bool{}}
}

// Count notes that a request of a tenant began to run.
func (m *Meter) Count(tenant string, at time.Time) {
	window := WindowOf(at, m.length)
	if m.windows[window] == nil {
		m.windows[window] = counts{}
	}
	m.windows[window][tenant]++
	m.changed[window] = true
}

// Unsent returns the totals of the windows with something new, by window; none if there is nothing. They count as handed
// over until Lost says otherwise.
func (m *Meter) Unsent() []*wire.UsageWindow {
	var windows []*wire.UsageWindow
	for _, window := range slices.Sorted(maps.Keys(m.changed)) {
		windows = append(windows, &wire.UsageWindow{Window: window, Counts: countsOf(m.windows[window])})
	}
	clear(m.changed)
	return windows
}

// Lost notes that windows which Unsent returned may not have arrived: they go again.
func (m *Meter) Lost(windows []*wire.UsageWindow) {
	for _, window := range windows {
		if m.windows[window.GetWindow()] != nil {
			m.changed[window.GetWindow()] = true
		}
	}
}

// Sealed drops the windows before next, which the ledger takes no more of. It returns how many requests it is not known to
// have counted.
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

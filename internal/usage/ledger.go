// Package usage counts the requests that began to run, by tenant and by window of true time. A Meter counts in one
// process. The Ledger of the control group adds up the counts that all processes hand over, and fixes (seals) the
// figures of each window once, before they are reported. Package metering runs both.
//
// The package is pure.
package usage

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Limits of a Ledger. All are counts, unless in bytes.
const (
	// maximumOpenWindows is the maximum number of windows beyond the sealed ones, so that a process whose clock is
	// far wrong cannot open more.
	maximumOpenWindows = 1024
	// maximumSealedAtOnce is the maximum number of windows that one command seals.
	maximumSealedAtOnce = 64
	// maximumPendingWindows is the maximum number of sealed windows that are not reported yet: almost six hours with
	// windows of 5 s. Nothing is sealed beyond it, so that nothing is lost while the receiver is unavailable.
	maximumPendingWindows = 4096
	// MaximumTenants is the maximum number of tenants of one reporter in one window.
	MaximumTenants = 20_000
	// maximumNameBytes is the maximum length of a reporter's or tenant's name, in bytes.
	maximumNameBytes = 512
)

// counts holds the number of requests by tenant.
type counts map[string]uint64

// Ledger holds the counts of the windows that are not sealed, and the figures of the sealed windows that are not
// reported yet. Apply commands in log order from one goroutine.
type Ledger struct {
	next    uint64 // first window that is not sealed; 0: no window was sealed yet
	pending []*wire.UsageWindow
	open    map[uint64]map[string]counts // by window and reporter
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{open: map[uint64]map[string]counts{}} }

// Add records the total counts of a reporter so far. Counts of sealed windows are ignored, because their figures may
// have been reported already. An error is returned for a malformed command or too many windows; the ledger is then
// unchanged.
func (l *Ledger) Add(command *wire.UsageAdd) (*wire.UsageView, error) {
	if err := l.validate(command); err != nil {
		return nil, err
	}
	for _, window := range command.GetWindows() {
		if window.GetWindow() < l.next {
			continue
		}
		held := l.reporterCounts(window.GetWindow(), command.GetReporter())
		for _, count := range window.GetCounts() {
			held[count.GetTenant()] = max(held[count.GetTenant()], count.GetRequests())
		}
	}
	return &wire.UsageView{Next: l.next}, nil
}

func (l *Ledger) validate(command *wire.UsageAdd) error {
	if command.GetReporter() == "" || len(command.GetReporter()) > maximumNameBytes {
		return trace.BadParameter("a reporter's name must have 1 to %d bytes", maximumNameBytes)
	}
	opened := map[uint64]bool{}
	for _, window := range command.GetWindows() {
		if len(window.GetCounts()) > MaximumTenants {
			return trace.BadParameter("window %d has more than %d tenants", window.GetWindow(), MaximumTenants)
		}
		if window.GetWindow() >= l.next && l.open[window.GetWindow()] == nil {
			opened[window.GetWindow()] = true
		}
		if l.next > 0 && window.GetWindow() >= l.next+maximumOpenWindows {
			return trace.BadParameter("window %d is more than %d ahead of window %d, the next to be sealed", window.GetWindow(), maximumOpenWindows, l.next)
		}
		for _, count := range window.GetCounts() {
			if len(count.GetTenant()) > maximumNameBytes {
				return trace.BadParameter("a tenant's name has more than %d bytes", maximumNameBytes)
			}
		}
	}
	if len(l.open)+len(opened) > maximumOpenWindows {
		return trace.LimitExceeded("more than %d windows are not sealed", maximumOpenWindows)
	}
	return nil
}

func (l *Ledger) reporterCounts(window uint64, reporter string) counts {
	if l.open[window] == nil {
		l.open[window] = map[string]counts{}
	}
	if l.open[window][reporter] == nil {
		l.open[window][reporter] = counts{}
	}
	return l.open[window][reporter]
}

// Seal fixes the figures of the windows up to command.Through, including windows in which nothing was counted, as far
// as the limits on pending windows and on windows per command permit. An error is returned for a malformed command;
// the ledger is then unchanged.
func (l *Ledger) Seal(command *wire.UsageSeal) (*wire.UsageView, error) {
	if command.GetFirst() == 0 || command.GetThrough() < command.GetFirst() {
		return nil, trace.BadParameter("windows %d to %d can't be sealed", command.GetFirst(), command.GetThrough())
	}
	if l.next == 0 {
		l.next = l.firstWindowToSeal(command.GetFirst())
	}
	for range maximumSealedAtOnce {
		if l.next > command.GetThrough() || len(l.pending) >= maximumPendingWindows {
			break
		}
		l.pending = append(l.pending, &wire.UsageWindow{Window: l.next, Counts: listCounts(l.sumCounts(l.next))})
		l.next++
	}
	maps.DeleteFunc(l.open, func(window uint64, _ map[string]counts) bool { return window < l.next })
	return l.View(), nil
}

// firstWindowToSeal returns the window with which the first Seal starts: the one named by the command, or an earlier
// one with counts, since requests may be counted before any node looks for windows to seal. A window
// maximumOpenWindows or more before the named one comes from a wrong clock and is left out.
func (l *Ledger) firstWindowToSeal(named uint64) uint64 {
	first := named
	for window := range l.open {
		if window+maximumOpenWindows > named {
			first = min(first, window)
		}
	}
	return first
}

// sumCounts returns the counts of all reporters in a window.
func (l *Ledger) sumCounts(window uint64) counts {
	sums := counts{}
	for _, counted := range l.open[window] {
		for tenant, requests := range counted {
			sums[tenant] += requests
		}
	}
	return sums
}

// listCounts returns the counts as a list sorted by tenant.
func listCounts(counted counts) []*wire.UsageCount {
	listed := make([]*wire.UsageCount, 0, len(counted))
	for _, tenant := range slices.Sorted(maps.Keys(counted)) {
		listed = append(listed, &wire.UsageCount{Tenant: tenant, Requests: counted[tenant]})
	}
	return listed
}

// Deliver removes the figures of a sealed window that has been reported. It has no effect on a window that is not
// pending.
func (l *Ledger) Deliver(command *wire.UsageDeliver) *wire.UsageView {
	l.pending = slices.DeleteFunc(slices.Clone(l.pending), func(window *wire.UsageWindow) bool { return window.GetWindow() == command.GetWindow() })
	return l.View()
}

// View returns the first window that is not sealed, the oldest window with counts, and the sealed windows that are
// not reported yet. The windows are shared with the ledger and must not be modified.
func (l *Ledger) View() *wire.UsageView {
	view := &wire.UsageView{Next: l.next, Pending: slices.Clone(l.pending)}
	for window := range l.open {
		if view.Oldest == 0 || window < view.Oldest {
			view.Oldest = window
		}
	}
	return view
}

// Snapshot returns the whole state. Equal ledgers give equal snapshots.
func (l *Ledger) Snapshot() *wire.UsageSnapshot {
	snapshot := &wire.UsageSnapshot{Next: l.next, Pending: slices.Clone(l.pending)}
	for _, window := range slices.Sorted(maps.Keys(l.open)) {
		for _, reporter := range slices.Sorted(maps.Keys(l.open[window])) {
			snapshot.Open = append(snapshot.Open, &wire.UsageOpen{Window: window, Reporter: reporter, Counts: listCounts(l.open[window][reporter])})
		}
	}
	return snapshot
}

// Restore replaces the state with that of a snapshot. If it returns an error, the ledger is unchanged.
func (l *Ledger) Restore(snapshot *wire.UsageSnapshot) error {
	restored := NewLedger()
	restored.next, restored.pending = snapshot.GetNext(), snapshot.GetPending()
	for _, open := range snapshot.GetOpen() {
		if open.GetReporter() == "" || open.GetWindow() < restored.next {
			return trace.BadParameter("snapshot has counts of window %d without a reporter, or after it was sealed", open.GetWindow())
		}
		held := restored.reporterCounts(open.GetWindow(), open.GetReporter())
		for _, count := range open.GetCounts() {
			held[count.GetTenant()] = count.GetRequests()
		}
	}
	*l = *restored
	return nil
}

// Package usage counts the requests that began to run, by tenant and by window of true time. A Meter counts in one process, the
// Ledger of the control group adds up what all processes hand over and seals a window's figures, once, before they leave. Package
// metering is the runtime of both.
//
// The package is pure.
package usage

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of a Ledger, all counts.
const (
	// maximumOpen bounds the windows ahead of the sealed ones: a process whose clock is far wrong opens no more.
	maximumOpen = 1024
	// maximumSealed bounds the windows that one command seals.
	maximumSealed = 64
	// maximumPending bounds the sealed windows whose report is out: with 5 s windows almost six hours. Nothing is sealed
	// above it, so that nothing is lost while the receiver is away.
	maximumPending = 4096
	// MaximumTenants bounds the tenants of one reporter in one window.
	MaximumTenants = 20_000
	// maximumNameBytes bounds a reporter's and a tenant's name.
	maximumNameBytes = 512
)

// counts are requests by tenant.
type counts map[string]uint64

// Ledger holds the counts of the windows that are not sealed, and the sealed ones whose report is out. Apply commands in
// log order from one goroutine.
type Ledger struct {
	next    uint64 // first window that is not sealed; 0: none is
	pending []*wire.UsageWindow
	open    map[uint64]map[string]counts // by window and reporter
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{open: map[uint64]map[string]counts{}} }

// Add takes over what a reporter has counted so far. Counts of sealed windows are passed over: their figures may have left.
// Errors: malformed command, nothing changed.
func (l *Ledger) Add(command *wire.UsageAdd) (*wire.UsageView, error) {
	if err := l.check(command); err != nil {
		return nil, err
	}
	for _, window := range command.GetWindows() {
		if window.GetWindow() < l.next {
			continue
		}
		held := l.reporter(window.GetWindow(), command.GetReporter())
		for _, count := range window.GetCounts() {
			held[count.GetTenant()] = max(held[count.GetTenant()], count.GetRequests())
		}
	}
	return &wire.UsageView{Next: l.next}, nil
}

func (l *Ledger) check(command *wire.UsageAdd) error {
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
		if l.next > 0 && window.GetWindow() >= l.next+maximumOpen {
			return trace.BadParameter("window %d is more than %d ahead of window %d, the next to be sealed", window.GetWindow(), maximumOpen, l.next)
		}
		for _, count := range window.GetCounts() {
			if len(count.GetTenant()) > maximumNameBytes {
				return trace.BadParameter("a tenant's name has more than %d bytes", maximumNameBytes)
			}
		}
	}
	if len(l.open)+len(opened) > maximumOpen {
		return trace.LimitExceeded("more than %d windows are not sealed", maximumOpen)
	}
	return nil
}

func (l *Ledger) reporter(window uint64, reporter string) counts {
	if l.open[window] == nil {
		l.open[window] = map[string]counts{}
	}
	if l.open[window][reporter] == nil {
		l.open[window][reporter] = counts{}
	}
	return l.open[window][reporter]
}

// Seal fixes the figures of the windows up to one, also of those in which nothing was counted, as far as there is room for
// them. Errors: malformed command, nothing changed.
func (l *Ledger) Seal(command *wire.UsageSeal) (*wire.UsageView, error) {
	if command.GetFirst() == 0 || command.GetThrough() < command.GetFirst() {
		return nil, trace.BadParameter("windows %d to %d can't be sealed", command.GetFirst(), command.GetThrough())
	}
	if l.next == 0 {
		l.next = l.firstOf(command.GetFirst())
	}
	for range maximumSealed {
		if l.next > command.GetThrough() || len(l.pending) >= maximumPending {
			break
		}
		l.pending = append(l.pending, &wire.UsageWindow{Window: l.next, Counts: countsOf(l.total(l.next))})
		l.next++
	}
	maps.DeleteFunc(l.open, func(window uint64, _ map[string]counts) bool { return window < l.next })
	return l.View(), nil
}

// firstOf is the window that the first seal begins with: the named one, or an earlier one with counts. Requests may be counted
// before any node looks for windows to seal. One far before the named one comes from a wrong clock and is left out.
func (l *Ledger) firstOf(named uint64) uint64 {
	first := named
	for window := range l.open {
		if window+maximumOpen > named {
			first = min(first, window)
		}
	}
	return first
}

// total is what all reporters counted in a window.
func (l *Ledger) total(window uint64) counts {
	sums := counts{}
	for _, counted := range l.open[window] {
		for tenant, requests := range counted {
			sums[tenant] += requests
		}
	}
	return sums
}

// countsOf lists counts by tenant.
func countsOf(counted counts) []*wire.UsageCount {
	listed := make([]*wire.UsageCount, 0, len(counted))
	for _, tenant := range slices.Sorted(maps.Keys(counted)) {
		listed = append(listed, &wire.UsageCount{Tenant: tenant, Requests: counted[tenant]})
	}
	return listed
}

// Deliver forgets the figures of a sealed window. One that is not pending is no error.
func (l *Ledger) Deliver(command *wire.UsageDeliver) *wire.UsageView {
	l.pending = slices.DeleteFunc(slices.Clone(l.pending), func(window *wire.UsageWindow) bool { return window.GetWindow() == command.GetWindow() })
	return l.View()
}

// View returns what is sealed. Its windows are shared and must not be changed.
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
			snapshot.Open = append(snapshot.Open, &wire.UsageOpen{Window: window, Reporter: reporter, Counts: countsOf(l.open[window][reporter])})
		}
	}
	return snapshot
}

// Restore replaces the state with a snapshot's. On an error the ledger is unchanged.
func (l *Ledger) Restore(snapshot *wire.UsageSnapshot) error {
	restored := NewLedger()
	restored.next, restored.pending = snapshot.GetNext(), snapshot.GetPending()
	for _, open := range snapshot.GetOpen() {
		if open.GetReporter() == "" || open.GetWindow() < restored.next {
			return trace.BadParameter("snapshot has counts of window %d without a reporter, or after it was sealed", open.GetWindow())
		}
		held := restored.reporter(open.GetWindow(), open.GetReporter())
		for _, count := range open.GetCounts() {
			held[count.GetTenant()] = count.GetRequests()
		}
	}
	*l = *restored
	return nil
}

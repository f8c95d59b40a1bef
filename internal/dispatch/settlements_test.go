package dispatch

import (
	"slices"
	"testing"
)

// TestSettlementsLimitOutstandingCommands guards against a burst of queued commands when the ledger returns after an
// outage. Few commands may be outstanding, one while the ledger is unavailable, and outcomes go before releases.
func TestSettlementsLimitOutstandingCommands(t *testing.T) {
	const limit, count = 8, 1000
	s := NewSettlementLimiter(limit)
	var running, order []uint64
	for id := range uint64(count) {
		kind := ClaimRelease
		if id%2 == 1 {
			kind = ClaimFinish
		}
		if s.TryAcquire(id, kind) {
			running = append(running, id)
		}
	}
	if len(running) != limit || s.Waiting() != count-limit {
		t.Fatalf("%d commands outstanding and %d queued, want 8 and 992", len(running), s.Waiting())
	}
	settle := func(answered bool) {
		granted := s.Release(answered)
		order = append(order, running[0])
		running = append(running[1:], granted...)
	}
	for range 20 { // the ledger is unavailable
		settle(false)
		if len(running) > limit || len(running) == 0 {
			t.Fatalf("%d commands outstanding, want 1 to 8", len(running))
		}
	}
	if len(running) != 1 {
		t.Errorf("%d commands outstanding while the ledger is unavailable, want 1", len(running))
	}
	for len(running) > 0 {
		settle(true)
		if len(running) > limit {
			t.Fatalf("%d commands outstanding, want at most 8", len(running))
		}
	}
	if len(order) != count || s.Waiting() != 0 {
		t.Fatalf("%d of %d commands were sent and %d are queued, want all sent", len(order), count, s.Waiting())
	}
	outcomes := slices.DeleteFunc(slices.Clone(order[limit:]), func(id uint64) bool { return id%2 == 0 })
	if !slices.Equal(outcomes, order[limit:limit+len(outcomes)]) || !slices.IsSorted(outcomes) {
		t.Error("a release was sent before an outcome, or a later outcome before an earlier one")
	}
}

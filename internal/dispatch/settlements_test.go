package dispatch

import (
	"slices"
	"testing"
)

// TestSettlementsBuryTheLedger lets the ledger be away under load and come back.
func TestSettlementsBuryTheLedger(t *testing.T) {
	const limit, count = 8, 1000
	s := NewSettlements(limit)
	var running, order []uint64
	for id := range uint64(count) {
		kind := ClaimRelease
		if id%2 == 1 {
			kind = ClaimFinish
		}
		if s.Ask(id, kind) {
			running = append(running, id)
		}
	}
	if len(running) != limit || s.Waiting() != count-limit {
		t.Fatalf("%d under way, %d wait", len(running), s.Waiting())
	}
	settle := func(answered bool) {
		granted := s.Done(answered)
		order = append(order, running[0])
		running = append(running[1:], granted...)
	}
	for range 20 { // the ledger is away
		settle(false)
		if len(running) > limit || len(running) == 0 {
			t.Fatalf("%d under way", len(running))
		}
	}
	if len(running) != 1 {
		t.Errorf("%d ask a ledger that is away", len(running))
	}
	for len(running) > 0 {
		settle(true)
		if len(running) > limit {
			t.Fatalf("%d under way", len(running))
		}
	}
	if len(order) != count || s.Waiting() != 0 {
		t.Fatalf("%d of %d had their turn, %d wait", len(order), count, s.Waiting())
	}
	outcomes := slices.DeleteFunc(slices.Clone(order[limit:]), func(id uint64) bool { return id%2 == 0 })
	if !slices.Equal(outcomes, order[limit:limit+len(outcomes)]) || !slices.IsSorted(outcomes) {
		t.Error("releases went before outcomes, or a later one before an earlier one")
	}
}

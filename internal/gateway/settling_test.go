package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestRecoveredLedgerIsNotFloodedBySettlements makes the ledger unavailable under load until many answered requests
// have commands for it. When it is available again, only a few commands may be in flight at a time, and every key
// must become free.
func TestRecoveredLedgerIsNotFloodedBySettlements(t *testing.T) {
	const calls, limit = 40, 3
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.MaxSettling, c.ClaimTimeout = limit, 20*time.Millisecond })
	control, server := f.controls[0], f.gateways[0]
	control.set(func() { control.ledgerDown = true })
	var load sync.WaitGroup
	for i := range calls {
		load.Go(func() {
			got := f.push(t, 0, fmt.Sprint("k", i), "{}", HeaderDeadline, "50ms")
			if got.header.Get(verdict.Header) != "may-have-run" {
				t.Errorf("got %+v, want the verdict may-have-run", got)
			}
		})
	}
	load.Wait()
	if pending := server.settlements.Load(); pending != calls {
		t.Fatalf("%d requests wait for the ledger, want %d", pending, calls)
	}
	control.set(func() { control.maxSettlementsInFlight = 0 }) // discards the commands that ran while callers waited
	time.Sleep(100 * time.Millisecond)                         // the ledger stays unavailable
	control.set(func() { control.ledgerDown = false })
	for server.settlements.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	control.set(func() {
		if control.maxSettlementsInFlight > limit {
			t.Errorf("%d settlements were in flight at once, want at most %d", control.maxSettlementsInFlight, limit)
		}
	})
	for i := range calls {
		if got := f.push(t, 0, fmt.Sprint("k", i), "{}"); got.status != http.StatusOK {
			t.Fatalf("key %d: got %+v, want status 200", i, got)
		}
	}
}

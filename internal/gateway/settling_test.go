package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestReturningLedgerIsBuriedUnderSettlements has the ledger away under load until many requests have something to
// tell it. When it is back, they do so a few at a time, and every key is free again.
func TestReturningLedgerIsBuriedUnderSettlements(t *testing.T) {
	const calls, limit = 40, 3
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.MaxSettling, c.ClaimTimeout = limit, 20*time.Millisecond })
	control, server := f.controls[0], f.gateways[0]
	control.set(func() { control.down = true })
	var load sync.WaitGroup
	for i := range calls {
		load.Go(func() {
			got := f.push(t, 0, fmt.Sprint("k", i), "{}", HeaderDeadline, "50ms")
			if got.header.Get(verdict.Header) != "may-have-run" {
				t.Errorf("%+v", got)
			}
		})
	}
	load.Wait()
	if pending := server.settlements.Load(); pending != calls {
		t.Fatalf("%d of %d wait for the ledger", pending, calls)
	}
	control.set(func() { control.settled = 0 }) // while callers waited, their own commands were under way
	time.Sleep(100 * time.Millisecond)          // the ledger stays away
	control.set(func() { control.down = false })
	for server.settlements.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	control.set(func() {
		if control.settled > limit {
			t.Errorf("%d told the ledger at once, %d may", control.settled, limit)
		}
	})
	for i := range calls {
		if got := f.push(t, 0, fmt.Sprint("k", i), "{}"); got.status != http.StatusOK {
			t.Fatalf("key %d: %+v", i, got)
		}
	}
}

package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/growth"
	"github.com/tamarindring/tamarindring/internal/lease"
)

// memberCounts are the numbers of members at which the tests of growth compare costs.
var memberCounts = []int{250, 500, 1000, 2000}

// TestCostOfALeaseCheckDoesNotGrowWithTheMembers guards against a sorted list of all leases for each member that has
// become silent: when a third of a fleet is lost at once, that is work for the square of its size.
func TestCostOfALeaseCheckDoesNotGrowWithTheMembers(t *testing.T) {
	growth.Check(t, "bytes to check one holder's lease", 0, memberCounts, func(members int) float64 {
		now := time.Hour
		leases := newLeases(func() time.Duration { return now }, lease.Settings{}.WithDefaults())
		leases.tableApplied(1)
		leases.beginLeading(1)
		now += time.Minute
		for number := range members {
			leases.renew(1, lease.HolderID{Name: fmt.Sprint("gateway-", number), Incarnation: 1}, 1)
		}
		const fixed = 64 // a check that allocates nothing must still have a cost above 0
		return fixed + growth.AllocatedBytes(func() {
			if !leases.mayHoldLease(lease.HolderID{Name: "gateway-7", Incarnation: 1}) || leases.mayHoldLease(lease.HolderID{Name: "other", Incarnation: 1}) {
				t.Fatal("the check does not find the lease that is held, or finds another")
			}
		})
	})
}

// TestRateOfPushesDoesNotGrowWithTheMembers guards against a leader that does nothing but push while changes keep coming, as
// when a fleet starts: with every push it would wake every session.
func TestRateOfPushesDoesNotGrowWithTheMembers(t *testing.T) {
	growth.Check(t, "sessions woken a second under continuous changes", 0, memberCounts, func(members int) float64 {
		return float64(members) / pushPause(members).Seconds()
	})
	if longest := pushPause(2000); longest > lease.DefaultGrace {
		t.Errorf("with 2,000 sessions a change may wait %s for the next push, want at most the grace of %s", longest, lease.DefaultGrace)
	}
}

package control

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/share"
)

// TestTurnsAndLimitsOfLargeBodies checks over sessions of a real group that only one process at a time has the turn at
// a back end of the table, and that all get the lowest limit that any of them has learned. Resources that the table
// does not hold must not be divided.
func TestTurnsAndLimitsOfLargeBodies(t *testing.T) {
	c := startCluster(t)
	c.leader()
	first, second := c.session("first", nil), c.session("second", nil)
	awaitLevel(t, first)
	mustAccept(t, c.client(controlclient.Config{}), sharedPool("1", 0, "40"), true)
	awaitAmounts := func(what, resource string, wishes map[*controlclient.Session]uint32, demands map[*controlclient.Session]share.Demand) {
		t.Helper()
		eventually(t, what, func() bool {
			holds := true
			for session, demand := range demands {
				session.SetDemand(resource, demand)
				session.RenewEarly()
				amount, divided := session.Share(resource)
				holds = holds && divided && amount == wishes[session]
			}
			return holds
		})
	}
	type shares = map[*controlclient.Session]uint32
	type demands = map[*controlclient.Session]share.Demand
	waits, uses := share.Demand{Waiting: 1}, share.Demand{InUse: 1}
	turn := share.Turn("b")
	awaitAmounts("a turn", turn, shares{first: 1}, demands{first: waits})
	awaitAmounts("no second turn", turn, shares{first: 1, second: 0}, demands{first: uses, second: waits})
	awaitAmounts("the turn that was given back", turn, shares{first: 0, second: 1}, demands{first: {}, second: waits})
	awaitAmounts("the lowest limit", share.Bytes("p"), shares{first: 300, second: 300}, demands{first: {InUse: 300, Waiting: 1}, second: {InUse: 900, Waiting: 1}})
	for _, resource := range []string{share.Turn("gone"), share.Bytes("gone")} {
		first.SetDemand(resource, waits)
	}
	awaitAmounts("another answer", share.Bytes("p"), shares{first: 200}, demands{first: {InUse: 200, Waiting: 1}})
	for _, resource := range []string{share.Turn("gone"), share.Bytes("gone")} {
		if _, divided := first.Share(resource); divided {
			t.Errorf("%s is divided, but not in the table", resource)
		}
	}
}

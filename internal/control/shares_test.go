package control

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// sharedPool returns a change that creates a pool of one back end whose slots are divided.
func sharedPool(id string, base uint64, slots string) *wire.TableChange {
	cell := func(row, column, value string) *wire.CellChange {
		return &wire.CellChange{Row: row, Column: column, Value: value}
	}
	return &wire.TableChange{ChangeId: id, BaseVersion: base, Operator: "operator", Cells: []*wire.CellChange{
		cell("p", "kind", "pool"), cell("p", "shared_slots", "true"), cell("b", "kind", "backend"), cell("b", "pool", "p"),
		cell("b", "address", "127.0.0.1:9"), cell("b", "max_in_flight", slots)}}
}

// awaitShare has a session demand slots of the pool until its share is as expected.
func awaitShare(t *testing.T, session *controlclient.Session, what string, demand share.Demand, isExpected func(amount uint32) bool) {
	t.Helper()
	eventually(t, what, func() bool {
		session.SetDemand(share.Slots("p"), demand)
		session.RenewEarly()
		amount, divided := session.Share(share.Slots("p"))
		return divided && isExpected(amount)
	})
}

// awaitLevel waits for the level that allows the column of shared slots.
func awaitLevel(t *testing.T, session *controlclient.Session) {
	t.Helper()
	eventually(t, "the level", func() bool { return session.Level().Includes(compat.Shares) })
}

// TestSlotsAreDividedByDemand divides a pool among sessions of a real group. A holder that dies must return its share
// when its lease ends, and so must one that dies after it announced its demand and before it got an answer. A table
// change that halves the pool must reach all holders.
func TestSlotsAreDividedByDemand(t *testing.T) {
	c := startCluster(t)
	c.leader()
	first, second := c.session("first", nil), c.session("second", nil)
	awaitLevel(t, first)
	operator := c.client(controlclient.Config{})
	version, _ := mustAccept(t, operator, sharedPool("1", 0, "40"), true)

	awaitShare(t, first, "a share of all slots", share.Demand{InUse: 1, Waiting: 39}, func(amount uint32) bool { return amount >= 40 })
	// The demands add up to 80 for 40 slots: each session gets half, and unused slots are lent.
	busy, half := share.Demand{InUse: 20, Waiting: 20}, func(amount uint32) bool { return amount >= 20 && amount < 40 }
	awaitShare(t, second, "its half", share.Demand{Waiting: 40}, func(amount uint32) bool {
		first.SetDemand(share.Slots("p"), busy)
		first.RenewEarly()
		return half(amount)
	})
	awaitShare(t, first, "the other half", busy, half)

	second.Close()
	awaitShare(t, first, "the dead holder's share", share.Demand{InUse: 20, Waiting: 20}, func(amount uint32) bool { return amount >= 40 })

	unanswered := c.session("third", nil)
	unanswered.SetDemand(share.Slots("p"), share.Demand{Waiting: 40})
	unanswered.RenewEarly()
	unanswered.Close()
	awaitShare(t, first, "the share of one that died unanswered", share.Demand{InUse: 20, Waiting: 20}, func(amount uint32) bool { return amount >= 40 })

	mustAccept(t, operator, sharedPool("2", version, "20"), true)
	awaitShare(t, first, "a share of the halved pool", share.Demand{InUse: 20, Waiting: 20}, func(amount uint32) bool { return amount <= 20+4 })
}

// TestNewLeaderKeepsSharesInUse kills the leader. The new leader must grant only what is in use until the shares of the
// earlier leader have ended, and everything afterwards.
func TestNewLeaderKeepsSharesInUse(t *testing.T) {
	c := startCluster(t)
	first := c.session("first", nil)
	awaitLevel(t, first)
	mustAccept(t, c.client(controlclient.Config{}), sharedPool("1", 0, "40"), true)
	awaitShare(t, first, "all", share.Demand{InUse: 1, Waiting: 39}, func(amount uint32) bool { return amount >= 40 })
	c.kill(c.leader())
	awaitShare(t, first, "what is in use", share.Demand{InUse: 10, Waiting: 30}, func(amount uint32) bool { return amount == 10 })
	awaitShare(t, first, "all again", share.Demand{InUse: 10, Waiting: 30}, func(amount uint32) bool { return amount >= 40 })
}

// TestSharesAreDroppedWithTheLeadership guards against two leaders answering demands at the same time. An answer
// requires a lease that a read round has confirmed, and a node that lost the leadership must drop all shares.
func TestSharesAreDroppedWithTheLeadership(t *testing.T) {
	c := startCluster(t)
	first := c.session("first", nil)
	awaitLevel(t, first)
	mustAccept(t, c.client(controlclient.Config{}), sharedPool("1", 0, "40"), true)
	awaitShare(t, first, "all", share.Demand{Waiting: 40}, func(amount uint32) bool { return amount >= 40 })
	leader := c.servers[c.leader()]
	request := &wire.SessionRequest{Sequence: 1, Demands: []*wire.ResourceDemand{{Resource: share.Slots("p"), Waiting: 1}}}
	holder := &session{ordinal: leader.sessionsOpened.Add(1)}
	if answered := leader.shares.renew(leader.shares.term+1, 1, holder, request); answered != nil {
		t.Error("want no answer for another term, got", answered)
	}
	leader.shares.stopLeading()
	if answered := leader.shares.renew(leader.shares.term, 1, holder, request); answered != nil || leader.shares.usages() != nil {
		t.Error("want no answer without leadership, got", answered)
	}
}

// TestUnconfiguredResourcesAreNotDivided checks that a demand gets no answer if the pool's row lacks the column of
// shared slots.
func TestUnconfiguredResourcesAreNotDivided(t *testing.T) {
	c := startCluster(t)
	first := c.session("first", nil)
	awaitLevel(t, first)
	mustAccept(t, c.client(controlclient.Config{}), poolChange("1", 0, "1"), true)
	first.SetDemand(share.Slots("copy"), share.Demand{InUse: 3})
	first.RenewEarly()
	for range 3 {
		time.Sleep(c.servers[c.leader()].settings.RenewInterval)
		if _, divided := first.Share(share.Slots("copy")); divided {
			t.Fatal("a pool without the column of shared slots is divided")
		}
	}
}

package control

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// sharedPool is a pool of one back end with slots that are divided.
func sharedPool(id string, base uint64, slots string) *wire.TableChange {
	cell := func(row, column, value string) *wire.CellChange {
		return &wire.CellChange{Row: row, Column: column, Value: value}
	}
	return &wire.TableChange{ChangeId: id, BaseVersion: base, Operator: "operator", Cells: []*wire.CellChange{
		cell("p", "kind", "pool"), cell("p", "shared_slots", "true"), cell("b", "kind", "backend"), cell("b", "pool", "p"),
		cell("b", "address", "127.0.0.1:9"), cell("b", "max_in_flight", slots)}}
}

// wants has a session want slots of the pool until its share is as wished.
func wants(t *testing.T, session *controlclient.Session, what string, demand share.Demand, wished func(amount uint32) bool) {
	t.Helper()
	eventually(t, what, func() bool {
		session.Want(share.Slots("p"), demand)
		session.RenewSoon()
		amount, divided := session.Share(share.Slots("p"))
		return divided && wished(amount)
	})
}

// awaitLevel waits until the column of shared slots may be written.
func awaitLevel(t *testing.T, session *controlclient.Session) {
	t.Helper()
	eventually(t, "the level", func() bool { return session.Level().Includes(compat.Shares) })
}

// TestSlotsGoToWhoWantsThem: over sessions of a real group. A holder that dies gives back its share with the end of its lease, one
// that dies after it told its demand and before it had an answer too; a table change that halves the pool is heard by all.
func TestSlotsGoToWhoWantsThem(t *testing.T) {
	c := startCluster(t)
	c.leader()
	first, second := c.session("first", nil), c.session("second", nil)
	awaitLevel(t, first)
	operator := c.client(controlclient.Config{})
	version, _ := mustAccept(t, operator, sharedPool("1", 0, "40"), true)

	wants(t, first, "a share of all that is wanted", share.Demand{InUse: 1, Waiting: 39}, func(amount uint32) bool { return amount >= 40 })
	// Of 80 wanted each gets half; the rest is lent.
	busy, half := share.Demand{InUse: 20, Waiting: 20}, func(amount uint32) bool { return amount >= 20 && amount < 40 }
	wants(t, second, "its half", share.Demand{Waiting: 40}, func(amount uint32) bool {
		first.Want(share.Slots("p"), busy)
		first.RenewSoon()
		return half(amount)
	})
	wants(t, first, "the other half", busy, half)

	second.Close()
	wants(t, first, "the dead holder's share", share.Demand{InUse: 20, Waiting: 20}, func(amount uint32) bool { return amount >= 40 })

	unanswered := c.session("third", nil)
	unanswered.Want(share.Slots("p"), share.Demand{Waiting: 40})
	unanswered.RenewSoon()
	unanswered.Close()
	wants(t, first, "the share of one that died unanswered", share.Demand{InUse: 20, Waiting: 20}, func(amount uint32) bool { return amount >= 40 })

	mustAccept(t, operator, sharedPool("2", version, "20"), true)
	wants(t, first, "a share of the halved pool", share.Demand{InUse: 20, Waiting: 20}, func(amount uint32) bool { return amount <= 20+4 })
}

// TestNewLeaderKeepsWhatIsInUse: it gives nothing more until the earlier leader's shares have ended; then all.
func TestNewLeaderKeepsWhatIsInUse(t *testing.T) {
	c := startCluster(t)
	first := c.session("first", nil)
	awaitLevel(t, first)
	mustAccept(t, c.client(controlclient.Config{}), sharedPool("1", 0, "40"), true)
	wants(t, first, "all", share.Demand{InUse: 1, Waiting: 39}, func(amount uint32) bool { return amount >= 40 })
	c.kill(c.leader())
	wants(t, first, "what is in use", share.Demand{InUse: 10, Waiting: 30}, func(amount uint32) bool { return amount == 10 })
	wants(t, first, "all again", share.Demand{InUse: 10, Waiting: 30}, func(amount uint32) bool { return amount >= 40 })
}

// TestSharesAreDroppedWithTheLeadership: two leaders at once do not both answer, since an answer needs a lease that a read round
// confirmed; the one that lost the group forgets what it knew.
func TestSharesAreDroppedWithTheLeadership(t *testing.T) {
	c := startCluster(t)
	first := c.session("first", nil)
	awaitLevel(t, first)
	mustAccept(t, c.client(controlclient.Config{}), sharedPool("1", 0, "40"), true)
	wants(t, first, "all", share.Demand{Waiting: 40}, func(amount uint32) bool { return amount >= 40 })
	leader := c.servers[c.leader()]
	request := &wire.SessionRequest{Sequence: 1, Demands: []*wire.ResourceDemand{{Resource: share.Slots("p"), Waiting: 1}}}
	holder := &session{ordinal: leader.sessionsOpened.Add(1)}
	if answered := leader.shares.renew(leader.shares.term+1, 1, holder, request); answered != nil {
		t.Error("an answer for another term", answered)
	}
	leader.shares.stopLeading()
	if answered := leader.shares.renew(leader.shares.term, 1, holder, request); answered != nil || leader.shares.usages() != nil {
		t.Error("an answer without leadership", answered)
	}
}

// TestUntoldResourcesAreNotDivided: without the column in the pool's row nothing is answered, and a holder without demand says nothing.
func TestUntoldResourcesAreNotDivided(t *testing.T) {
	c := startCluster(t)
	first := c.session("first", nil)
	awaitLevel(t, first)
	mustAccept(t, c.client(controlclient.Config{}), poolChange("1", 0, "1"), true)
	first.Want(share.Slots("copy"), share.Demand{InUse: 3})
	first.RenewSoon()
	for range 3 {
		time.Sleep(c.servers[c.leader()].settings.RenewInterval)
		if _, divided := first.Share(share.Slots("copy")); divided {
			t.Fatal("divided")
		}
	}
}

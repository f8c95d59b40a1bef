package controlclient

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// newSessionWithDemand returns a session that does not run, with a demand set.
func newSessionWithDemand(demand share.Demand) *Session {
	session := &Session{client: &Client{}, sharing: newShareState(), renewSignal: make(chan struct{}, 1)}
	session.SetDemand(share.Slots("p"), demand)
	return session
}

func sharesReply(amount uint32) *wire.SessionReply {
	return &wire.SessionReply{Shares: []*wire.ResourceShare{{Resource: share.Slots("p"), Amount: amount}}}
}

// TestDemandsAreReportedWhenNeeded guards against missing and superfluous reports of demands. A nonzero demand is
// reported with each renewal. A zero demand is reported once, and again to another node. If the leader does not
// divide the resource, a zero demand is reported only after it was set again.
func TestDemandsAreReportedWhenNeeded(t *testing.T) {
	session := newSessionWithDemand(share.Demand{})
	expectReported := func(what string, want int) []share.ResourceDemand {
		t.Helper()
		due := session.sharing.takeDue()
		if len(due) != want {
			t.Fatalf("%s: reported %v", what, due)
		}
		return due
	}
	first := expectReported("a new resource", 1)
	session.sharing.applyGrant(first, sharesReply(4), 0, time.Second)
	expectReported("nothing wanted, answered", 0)
	session.SetDemand(share.Slots("p"), share.Demand{InUse: 2})
	expectReported("wanted", 1)
	session.SetDemand(share.Slots("p"), share.Demand{InUse: 2})
	expectReported("still wanted", 1)
	session.SetDemand(share.Slots("p"), share.Demand{})
	last := expectReported("wanted no more", 1)
	expectReported("and told so", 0)
	session.SetDemand(share.Slots("p"), share.Demand{})
	session.sharing.resetReported()
	expectReported("another node", 1)
	session.sharing.applyGrant(last, &wire.SessionReply{}, 0, time.Second)
	expectReported("not divided, not noted since", 0)
	session.SetDemand(share.Slots("p"), share.Demand{})
	expectReported("not divided, noted", 1)
}

// TestEarlyRenewalsAreBounded checks that there is no early renewal before the lease duration is known, and that
// there are at most earlyRenewalsPerLease of them within one lease.
func TestEarlyRenewalsAreBounded(t *testing.T) {
	session := newSessionWithDemand(share.Demand{Waiting: 1})
	const lease = 1200 * time.Millisecond
	if session.sharing.mayRenewEarly(time.Second) {
		t.Error("an early renewal is allowed without a lease")
	}
	session.sharing.applyGrant(nil, sharesReply(1), 0, lease)
	count := 0
	for now := lease; now < 2*lease; now += time.Millisecond {
		if session.sharing.mayRenewEarly(now) {
			count++
		}
	}
	if count != earlyRenewalsPerLease {
		t.Errorf("%d early renewals within a lease", count)
	}
}

// TestLoweredShareIsConfirmed checks that a lowered share is noticed, because the leader gives the difference to
// other processes only after it was confirmed.
func TestLoweredShareIsConfirmed(t *testing.T) {
	session := newSessionWithDemand(share.Demand{InUse: 1})
	due := session.sharing.takeDue()
	if session.sharing.applyGrant(due, sharesReply(8), 0, time.Second) {
		t.Error("a first share counts as lowered")
	}
	if !session.sharing.applyGrant(due, sharesReply(3), 0, time.Second) {
		t.Error("a lowered share is not noticed")
	}
}

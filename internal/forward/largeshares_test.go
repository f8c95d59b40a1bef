package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/share"
)

// sharingFixture returns a fixture with a lease, large bodies that are spread, and a source of shares.
func sharingFixture(t *testing.T, script ...step) (*fixture, *fakeShares) {
	forwarder, shares := sharedForwarder(t, baseRows+"r route_kind once;r timeout_millis 60000")
	forwarder.config.SpreadBytes = true
	lease, caller := &testLease{}, &scriptedCaller{script: script}
	lease.set(forwarder.TableVersion(), false)
	forwarder.config.Control, forwarder.config.Caller = lease, caller
	return &fixture{Forwarder: forwarder, lease: lease, caller: caller}, shares
}

// TestLargeBodiesTakeTurns checks that once a process of the fleet has learned a limit, a large body waits for its turn
// at a back end and returns it afterwards. Small requests do not wait, and nothing waits while the leader divides no
// turns.
func TestLargeBodiesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, 50*time.Millisecond, time.Second)
		f, shares := sharingFixture(t, replicas.serveCall)
		ended := make(chan *Failure, 2)
		send := func(size int) { ended <- f.serveConcurrently(t.Context(), 1, size, 30*time.Second)[0] }
		follow := func(wait time.Duration) {
			for range wait / sharePollInterval {
				time.Sleep(sharePollInterval)
				f.SharesChanged()
			}
		}
		if send(largeTestBody); <-ended != nil {
			t.Fatal("a large body was rejected although the leader divides no turns")
		}
		if demand := shares.demands[share.Bytes("p")]; demand != (share.Demand{Waiting: 1}) || shares.renewals == 0 {
			t.Errorf("got demand %+v, want Waiting 1 and an early renewal", demand)
		}
		const limit = 40 << 20
		shares.set(share.Bytes("p"), limit/share.BytesUnit)
		follow(sharePollInterval)
		go send(largeTestBody)
		follow(500 * time.Millisecond)
		if failure := f.serveConcurrently(t.Context(), 1, 300, time.Second*5)[0]; failure != nil {
			t.Errorf("a small request failed: %v", failure)
		}
		if len(ended) > 0 {
			t.Fatal("a large body did not wait for its turn")
		}
		asked := ""
		for _, instance := range []string{"p1", "p2", "p3"} {
			if shares.demands[share.Turn(instance)].Waiting == 1 {
				asked = instance
			}
		}
		served := replicas.served[asked]
		shares.set(share.Turn(asked), 1)
		follow(500 * time.Millisecond)
		if demand := shares.demands[share.Turn(asked)]; demand != (share.Demand{InUse: 1}) {
			t.Errorf("while the turn is used: got demand %+v, want InUse 1", demand)
		}
		follow(2 * time.Second)
		if len(ended) != 1 || <-ended != nil || replicas.served[asked] != served+1 {
			t.Errorf("the body was not served at %s: served counts %v", asked, replicas.served)
		}
		if demand := shares.demands[share.Turn(asked)]; demand != (share.Demand{}) {
			t.Errorf("the turn was not returned: got demand %+v, want none", demand)
		}
	})
}

// TestLoneCrashIsReportedToLeader checks that a crash with a single body of this process is reported to the leader,
// which knows whether other processes had bodies there too. By itself such a crash leads to no limit.
func TestLoneCrashIsReportedToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, shares := sharingFixture(t, newMemoryReplicas(largeTestBody-1, 50*time.Millisecond, time.Second).serveCall)
		f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute)
		if demand := shares.demands[share.Bytes("p")]; demand != (share.Demand{Waiting: 1 + largeTestBody/share.BytesUnit}) || shares.renewals < 2 {
			t.Errorf("got demand %+v, want the lone crash's bytes in Waiting and early renewals", demand)
		}
		if limit := f.plan.Load().pools["p"].large.ledger.Limit(f.now()); limit != 0 {
			t.Errorf("a lone body led to a limit of %d, want none", limit)
		}
	})
}

// TestLearnedLimitIsReportedToLeader checks that a learned limit is published for the other processes at once.
func TestLearnedLimitIsReportedToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(2*largeTestBody-1, 50*time.Millisecond, time.Second)
		f, shares := sharingFixture(t, replicas.serveCall)
		f.serveConcurrently(t.Context(), 4, largeTestBody, time.Minute)
		if replicas.crashes != 1 {
			t.Fatalf("got %d crashes, want 1", replicas.crashes)
		}
		if demand := shares.demands[share.Bytes("p")]; demand != (share.Demand{InUse: largeTestBody / share.BytesUnit, Waiting: 1}) {
			t.Errorf("got demand %+v, want the learned limit in InUse and Waiting 1", demand)
		}
	})
}

// TestRemovedPoolWithdrawsItsDemands checks that a pool that was removed from the table no longer asks for turns.
func TestRemovedPoolWithdrawsItsDemands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, shares := sharingFixture(t, newMemoryReplicas(1<<40, 50*time.Millisecond, time.Second).serveCall)
		shares.set(share.Bytes("p"), 1)
		pool := f.plan.Load().pools["p"]
		pool.startLargeSharing(f.now())
		pool.enqueueLocked(f.now(), largeTestBody)
		f.SharesChanged()
		asked := 0
		for _, demand := range shares.demands {
			asked += int(demand.Waiting)
		}
		if asked != 2 {
			t.Fatalf("got demands %v, want those for the pool's limit and one turn", shares.demands)
		}
		pool.withdraw(f.now())
		for resource, demand := range shares.demands {
			if demand != (share.Demand{}) {
				t.Errorf("%s: got demand %+v, want none", resource, demand)
			}
		}
	})
}

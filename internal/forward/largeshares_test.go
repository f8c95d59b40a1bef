package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/share"
)

// sharingFixture is a fixture with a lease whose pool follows shares.
func sharingFixture(t *testing.T, script ...step) (*fixture, *fakeShares) {
	forwarder, shares := sharedForwarder(t, baseRows+"r route_kind once;r timeout_millis 60000")
	forwarder.config.SpreadBytes = true
	lease, caller := &testLease{}, &scriptedCaller{script: script}
	lease.set(forwarder.TableVersion(), false)
	forwarder.config.Control, forwarder.config.Caller = lease, caller
	return &fixture{Forwarder: forwarder, lease: lease, caller: caller}, shares
}

// TestLargeBodiesTakeTurns: where some process of the fleet has learned a limit, a large body waits for its turn at a back end and gives
// it back; small requests don't. A leader that divides no turns is not waited for.
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
			t.Fatal("no leader divides turns, and a body is refused")
		}
		if told := shares.demands[share.Bytes("p")]; told != (share.Demand{Waiting: 1}) || shares.renewals == 0 {
			t.Errorf("told %+v", told)
		}
		const limit = 40 << 20
		shares.set(share.Bytes("p"), limit/share.BytesUnit)
		follow(sharePollInterval)
		go send(largeTestBody)
		follow(500 * time.Millisecond)
		if failure := f.serveConcurrently(t.Context(), 1, 300, time.Second*5)[0]; failure != nil {
			t.Errorf("a small request: %v", failure)
		}
		if len(ended) > 0 {
			t.Fatal("a large body does not wait for its turn")
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
		if told := shares.demands[share.Turn(asked)]; told != (share.Demand{InUse: 1}) {
			t.Errorf("while it uses its turn: %+v", told)
		}
		follow(2 * time.Second)
		if len(ended) != 1 || <-ended != nil || replicas.served[asked] != served+1 {
			t.Errorf("the body was not served at %s: %v", asked, replicas.served)
		}
		if told := shares.demands[share.Turn(asked)]; told != (share.Demand{}) {
			t.Errorf("its turn is not given back: %+v", told)
		}
	})
}

// TestLoneCrashesAreTold to the leader, which knows whether other processes had a body there too; they hold nothing up by themselves.
func TestLoneCrashIsReportedToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, shares := sharingFixture(t, newMemoryReplicas(largeTestBody-1, 50*time.Millisecond, time.Second).serveCall)
		f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute)
		if told := shares.demands[share.Bytes("p")]; told != (share.Demand{Waiting: 1 + largeTestBody/share.BytesUnit}) || shares.renewals < 2 {
			t.Errorf("told %+v", told)
		}
		if limit := f.plan.Load().pools["p"].large.ledger.Limit(f.now()); limit != 0 {
			t.Errorf("one body alone teaches a limit of %d", limit)
		}
	})
}

// TestLearnedLimitsAreTold to the other processes, at once.
func TestLearnedLimitIsReportedToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(2*largeTestBody-1, 50*time.Millisecond, time.Second)
		f, shares := sharingFixture(t, replicas.serveCall)
		f.serveConcurrently(t.Context(), 4, largeTestBody, time.Minute)
		if replicas.crashes != 1 {
			t.Fatalf("%d crashes", replicas.crashes)
		}
		if told := shares.demands[share.Bytes("p")]; told != (share.Demand{InUse: largeTestBody / share.BytesUnit, Waiting: 1}) {
			t.Errorf("told %+v", told)
		}
	})
}

// TestPoolsThatAreGoneTellNothing: a pool that has left the table asks for no turn any more.
func TestRemovedPoolWithdrawsItsDemands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, shares := sharingFixture(t, newMemoryReplicas(1<<40, 50*time.Millisecond, time.Second).serveCall)
		shares.set(share.Bytes("p"), 1)
		pool := f.plan.Load().pools["p"]
		pool.startLargeSharing(f.now())
		pool.enqueueLocked(f.now(), largeTestBody)
		f.SharesChanged()
		asked := 0
		for _, told := range shares.demands {
			asked += int(told.Waiting)
		}
		if asked != 2 {
			t.Fatalf("told %v, want the pool's limit and one turn", shares.demands)
		}
		pool.withdraw(f.now())
		for resource, told := range shares.demands {
			if told != (share.Demand{}) {
				t.Errorf("%s: %+v", resource, told)
			}
		}
	})
}

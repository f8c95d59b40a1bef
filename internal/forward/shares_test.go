package forward

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/share"
)

// fakeShares is a share.Source whose answers are set by the test.
type fakeShares struct {
	mu                    sync.Mutex
	shares                map[string]uint32
	demands               map[string]share.Demand
	renewals              int
	demandsAtFirstRenewal map[string]share.Demand // published before the first early renewal
}

func newFakeShares() *fakeShares {
	return &fakeShares{shares: map[string]uint32{}, demands: map[string]share.Demand{}}
}

func (f *fakeShares) Share(resource string) (uint32, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	amount, divided := f.shares[resource]
	return amount, divided
}

func (f *fakeShares) SetDemand(resource string, demand share.Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demands[resource] = demand
}

// demand returns the demand published last.
func (f *fakeShares) demand(resource string) share.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.demands[resource]
}

func (f *fakeShares) RenewEarly() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.renewals == 0 {
		f.demandsAtFirstRenewal = maps.Clone(f.demands)
	}
	f.renewals++
}

func (f *fakeShares) set(resource string, amount uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shares[resource] = amount
}

const sharedRows = baseRows + "r route_kind repeatable;p max_in_flight 4;p queue_limit 9;p queue_wait_millis 1000;p shared_slots true"

func sharedForwarder(t *testing.T, rows string) (*Forwarder, *fakeShares) {
	t.Helper()
	source := newFakeShares()
	forwarder, err := New(Config{Control: &testLease{}, Caller: &scriptedCaller{script: []step{silent}}, Shares: source, Seed: 1, Clock: testClock()})
	if err != nil {
		t.Fatal(err)
	}
	forwarder.Update(viewsOf(t, rows)[0])
	return forwarder, source
}

// TestPoolStaysWithinItsShare checks that a request above the share waits, that the demand is published with an early
// renewal, and that a larger share admits the request.
func TestPoolStaysWithinItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder, source := sharedForwarder(t, sharedRows)
		pool := forwarder.plan.Load().pools["p"]
		if pool.queue.Slots() != 12 {
			t.Fatalf("got %d slots before anybody divides them, want 12", pool.queue.Slots())
		}
		source.set(share.Slots("p"), 1)
		forwarder.SharesChanged()
		if pool.queue.Slots() != 1 {
			t.Fatalf("got %d slots with a share of 1, want 1", pool.queue.Slots())
		}
		var entered sync.WaitGroup
		for id := range uint64(2) {
			entered.Go(func() {
				request := admission.Request{ID: id, Class: className(0), Deadline: time.Hour}
				if refusal, err := pool.acquireSlot(context.Background(), forwarder.now, request, time.Hour); err != nil || refusal.Reason != 0 {
					t.Error(refusal, err)
				}
			})
		}
		synctest.Wait()
		if got := source.demands[share.Slots("p")]; got != (share.Demand{InUse: 1, Waiting: 1}) || source.renewals == 0 {
			t.Fatalf("got demand %+v and %d early renewals, want InUse 1, Waiting 1 and some renewals", got, source.renewals)
		}
		source.set(share.Slots("p"), 2)
		forwarder.SharesChanged()
		entered.Wait()
	})
}

// TestBurstWaitsForALargerShare checks that a small share rejects no requests for which the pool has slots before the
// leader knows of the burst. If the share does not grow, later requests are rejected.
func TestBurstWaitsForALargerShare(t *testing.T) {
	for name, grown := range map[string]uint32{"it grows": 12, "it does not": 1} {
		synctest.Test(t, func(t *testing.T) {
			forwarder, source := sharedForwarder(t, sharedRows)
			pool := forwarder.plan.Load().pools["p"]
			source.set(share.Slots("p"), 1)
			forwarder.SharesChanged()
			id := uint64(0)
			enter := func(refused *atomic.Int32) {
				id++
				request := admission.Request{ID: id, Class: className(0), Deadline: forwarder.now() + 500*time.Millisecond}
				refusal, err := pool.acquireSlot(context.Background(), forwarder.now, request, 250*time.Millisecond)
				if err != nil || refusal.Reason != 0 {
					refused.Add(1)
					return
				}
				time.Sleep(100 * time.Millisecond)
				pool.releaseSlot(forwarder.now(), request.ID)
			}
			ctx, stop := context.WithCancel(context.Background())
			go forwarder.FollowShares(ctx)
			defer stop()
			var calm, first, later atomic.Int32
			for range 10 {
				enter(&calm)
			}
			var entered sync.WaitGroup
			for range 9 {
				entered.Go(func() { enter(&first) })
				synctest.Wait()
			}
			if first.Load() > 0 || calm.Load() > 0 {
				t.Errorf("%s: %d requests of the burst were rejected before the share could grow, and %d before the burst, want none", name, first.Load(), calm.Load())
			}
			time.Sleep(50 * time.Millisecond)
			source.set(share.Slots("p"), grown)
			time.Sleep(share.GrowthTime)
			for range 9 {
				entered.Go(func() { enter(&later) })
				synctest.Wait()
			}
			if refused := later.Load(); (refused > 0) != (grown == 1) {
				t.Errorf("%s: %d later requests were rejected, want some only if the share does not grow", name, refused)
			}
			entered.Wait()
		})
	}
}

// TestQuarantineReducesUsableShare checks that the slots of a back end in quarantine are deducted from the share before
// the table shows the back end as lost.
func TestQuarantineReducesUsableShare(t *testing.T) {
	forwarder, source := sharedForwarder(t, sharedRows)
	pool := forwarder.plan.Load().pools["p"]
	source.set(share.Slots("p"), 9)
	pool.endSend(forwarder.now(), pool.targets["p1"].Instance, &routing.Request{}, healthBad, nil)
	forwarder.SharesChanged()
	if slots := pool.queue.Slots(); slots != 6 {
		t.Fatalf("got %d slots of a share of 9 with one of three back ends in quarantine, want 6", slots)
	}
}

// TestDrainingBackEndsDoNotAffectUsableShare checks that draining back ends have no part in the pool's slots: their
// quarantine deducts nothing, and they do not compensate for the quarantine of others.
func TestDrainingBackEndsDoNotAffectUsableShare(t *testing.T) {
	for quarantined, want := range map[string]int{"p1": 3, "p2": 6, "p3": 8} {
		forwarder, source := sharedForwarder(t, sharedRows+";p1 max_in_flight 6;p2 max_in_flight 3;p3 state draining")
		pool := forwarder.plan.Load().pools["p"]
		source.set(share.Slots("p"), 8)
		pool.endSend(forwarder.now(), pool.targets[quarantined].Instance, &routing.Request{}, healthBad, nil)
		forwarder.SharesChanged()
		if slots := pool.queue.Slots(); slots != want {
			t.Errorf("got %d slots of a share of 8 with %s in quarantine, want %d", slots, quarantined, want)
		}
	}
}

// TestHalvedPoolWithAFullQueue checks that running requests continue and waiting ones stay queued when a pool's slots
// are halved, and that no more are sent than the smaller pool has slots for.
func TestHalvedPoolWithAFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder, source := sharedForwarder(t, sharedRows)
		pool := forwarder.plan.Load().pools["p"]
		source.set(share.Slots("p"), 12)
		forwarder.SharesChanged()
		ctx, cancel := context.WithCancel(context.Background())
		var entered sync.WaitGroup
		for id := range uint64(20) {
			entered.Go(func() {
				_, _ = pool.acquireSlot(ctx, forwarder.now, admission.Request{ID: id, Class: className(0), Deadline: time.Hour}, time.Hour)
			})
		}
		synctest.Wait()
		halved := viewsOf(t, sharedRows, "p max_in_flight 2")[1]
		forwarder.Update(halved)
		if slots, running, waiting := pool.queue.Slots(), pool.queue.InFlight(), pool.queue.Waiting(); slots != 6 || running != 12 || waiting != 8 {
			t.Fatalf("got %d slots, %d running and %d waiting requests, want 6, 12 and 8", slots, running, waiting)
		}
		cancel()
		entered.Wait()
	})
}

// TestPoolWithoutSharedSlotsIsNotDivided checks that a pool without shared_slots publishes no demand and ignores the
// source's shares.
func TestPoolWithoutSharedSlotsIsNotDivided(t *testing.T) {
	forwarder, source := sharedForwarder(t, baseRows+"r route_kind repeatable;p max_in_flight 4")
	source.set(share.Slots("p"), 1)
	forwarder.SharesChanged()
	if slots := forwarder.plan.Load().pools["p"].queue.Slots(); slots != 12 || len(source.demands) != 0 || source.renewals != 0 {
		t.Fatalf("got %d slots and demands %v, want 12 slots and no demands", slots, source.demands)
	}
}

// TestSharesArePolledOnlyWhileUsed guards against an idle gateway that is woken fifty times a second, whether anything
// is divided or not.
func TestSharesArePolledOnlyWhileUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		views := viewsOf(t, baseRows+"r route_kind repeatable;p max_in_flight 4", "p shared_slots true")
		source := newFakeShares()
		var clockReads atomic.Int64 // reads of the clock; each poll reads it
		counted := func() time.Time {
			clockReads.Add(1)
			return time.Now()
		}
		forwarder, err := New(Config{Control: &testLease{}, Caller: &scriptedCaller{script: []step{silent}}, Shares: source, Seed: 1, Clock: testClock(),
			Now: counted})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go forwarder.FollowShares(ctx)
		countPolls := func() int64 {
			time.Sleep(2 * sharePollInterval) // until the current poll has ended
			before := clockReads.Load()
			time.Sleep(10 * sharePollInterval)
			return clockReads.Load() - before
		}
		forwarder.Update(views[0])
		if got := countPolls(); got != 0 {
			t.Errorf("got %d polls of shares although nothing is divided, want 0", got)
		}
		forwarder.Update(views[1])
		if got := countPolls(); got != 0 {
			t.Errorf("got %d polls of the share of an idle pool, want 0", got)
		}
		pool := forwarder.plan.Load().pools["p"]
		if refusal, err := pool.acquireSlot(ctx, forwarder.now, admission.Request{ID: 1, Class: className(0), Deadline: time.Hour}, time.Hour); err != nil || refusal.Reason != 0 {
			t.Fatal(refusal, err)
		}
		if got := countPolls(); got == 0 || source.demand(share.Slots("p")) != (share.Demand{InUse: 1}) {
			t.Errorf("got %d polls while a slot is in use and demand %+v, want some polls and InUse 1", got, source.demand(share.Slots("p")))
		}
		pool.releaseSlot(forwarder.now(), 1)
		if got := countPolls(); got != 0 || source.demand(share.Slots("p")) != (share.Demand{}) {
			t.Errorf("got %d polls after the slot was released and demand %+v, want none", got, source.demand(share.Slots("p")))
		}
	})
}

package forward

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// rowsWithout are the usual rows with a long route of a kind, without some back ends.
func rowsWithoutBackEnds(kind string, gone ...int) string {
	rows := baseRows + "r route_kind " + kind + ";r timeout_millis 60000"
	for _, i := range gone {
		rows = strings.Replace(rows, fmt.Sprintf("p%d kind backend;p%d pool p;p%d address 127.0.0.1:%d;", i, i, i, i), "", 1)
	}
	return rows
}

// TestRefusingBackEndsAreTriedOnce: while the other one is busy with a body on its way, a back end that refuses a large body as not run is
// not tried again and again.
func TestLargeBodyTriesRefusingBackEndOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, 2*time.Second, time.Second)
		var mu sync.Mutex
		busy, refusals := "", 0
		f := newFixture(t, rowsWithoutBackEnds("once", 3), func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
			mu.Lock()
			if busy == "" {
				busy = call.Instance
			}
			refuses := call.Instance != busy
			if refuses {
				refusals++
			}
			mu.Unlock()
			if !refuses {
				return replicas.serveCall(ctx, call, sink)
			}
			if refusals > 1000 {
				time.Sleep(time.Hour) // ends a busy loop
			}
			return replica.Outcome{Verdict: verdict.DidNotRun, Refused: replica.RefusedFull, Err: replica.ErrConnections}
		}).withSpreadBytes()
		for _, failure := range f.serveConcurrently(t.Context(), 2, largeTestBody, 30*time.Second) {
			if failure != nil {
				t.Error(failure)
			}
		}
		if refusals != 1 || replicas.served[busy] != 2 {
			t.Errorf("%d refusals, %v served", refusals, replicas.served)
		}
	})
}

// TestBodiesOnTheirWayRefuseNothing: a back end that is kept from a body only by one on its way is free when it has that, long before the
// answer.
func TestBodyInTransferRejectsNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, 10*time.Millisecond, 10*time.Second)
		f := newFixture(t, rowsWithoutBackEnds("once", 2, 3), replicas.serveCall).withSpreadBytes()
		for count := 1; count <= 4; count++ {
			for _, failure := range f.serveConcurrently(t.Context(), count, 300<<10, 15*time.Second) {
				if failure != nil {
					t.Errorf("%d at once: %v", count, failure)
				}
			}
		}
	})
}

// TestWaitingBodiesAreAdmittedOnce: those that wait for room pass the pool's queue when there is some, and are charged there then.
func TestWaitingLargeBodiesAreAdmittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, 5*time.Second, time.Second)
		f := newFixture(t, rowsWithoutBackEnds("once", 2, 3), replicas.serveCall).withSpreadBytes()
		var calls sync.WaitGroup
		for i := range 4 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				if failure := f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute)[0]; failure != nil {
					t.Error(failure)
				}
			})
		}
		calls.Wait()
		if admitted := f.gather(t)["tamarindring_forward_admission_wait_seconds granted"]; admitted != 4 {
			t.Errorf("%v admissions of 4 requests", admitted)
		}
	})
}

// TestSharesWakeOnlyByChanges: who waits looks again when the limit or the turns have changed, not at each look at the shares.
func TestOnlyShareChangesWakeWaitingBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, shares := sharingFixture(t, newMemoryReplicas(1<<40, 50*time.Millisecond, time.Second).serveCall)
		pool := f.plan.Load().pools["p"]
		pool.startLargeSharing(f.now())
		waiting := pool.enqueueLocked(f.now(), largeTestBody)
		woken := func() (woken int) {
			for range 5 {
				time.Sleep(sharePollInterval)
				f.SharesChanged()
				select {
				case <-waiting.wakeup:
					woken++
				default:
				}
			}
			return woken
		}
		woken()
		if times := woken(); times != 0 {
			t.Errorf("woken %d times by nothing", times)
		}
		shares.set(share.Bytes("p"), 40<<20/share.BytesUnit)
		if times := woken(); times != 1 {
			t.Errorf("woken %d times by a limit", times)
		}
		for _, instance := range []string{"p1", "p2", "p3"} {
			shares.set(share.Turn(instance), 1)
		}
		if times := woken(); times != 1 {
			t.Errorf("woken %d times by a turn", times)
		}
	})
}

// largeRequest is a request of its own for a path.
func largeRequest(path string, size int) *Request {
	return &Request{AttemptID: "id" + path, Method: "POST", Path: path, Host: "h", Body: []byte(strings.Repeat("x", size)), Received: time.Now(), Deadline: time.Minute}
}

// rowOf is a request on record with so many crashes.
func suspectRowFor(suspect *Request, crashes string) string {
	identity := identityOf(suspect, "")
	name := poison.RowName(identity.Digest())
	return ";" + name + " kind " + string(table.Suspect) + ";" + name + " crashes " + crashes
}

// TestWaitingBodiesAreJudgedAnew: what becomes known of a request while it waits for room forbids its run.
func TestCondemnedWhileWaitingForSpaceIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, 5*time.Second, time.Second)
		rows := rowsWithoutBackEnds("once", 2, 3)
		f, guard := newGuarded(t, rows, replicas.serveCall)
		f.withSpreadBytes()
		other, condemned := largeRequest("/other", largeTestBody), largeRequest("/condemned", largeTestBody)
		var failure *Failure
		var calls sync.WaitGroup
		calls.Go(func() { f.Serve(t.Context(), other, &recordedReply{}) })
		time.Sleep(time.Second)
		calls.Go(func() { failure = f.Serve(t.Context(), condemned, &recordedReply{}) })
		time.Sleep(time.Second)
		guard.Follow(viewsOf(t, rows, suspectRowFor(condemned, "3"))[1])
		calls.Wait()
		if failure == nil || failure.Reason != Suspected || failure.Verdict != verdict.DidNotRun || len(f.caller.calls) != 1 {
			t.Errorf("%+v after %d sends", failure, len(f.caller.calls))
		}
	})
}

// TestWaitingBodiesClaimNoRun: the one run of a suspect isn't kept by a body that waits for room.
func TestWaitingForSpaceClaimsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, 5*time.Second, time.Second)
		suspect := largeRequest("/suspect", largeTestBody)
		rows := rowsWithoutBackEnds("once", 2, 3) + suspectRowFor(suspect, "2")
		f, _ := newGuarded(t, rows, replicas.serveCall)
		f.withSpreadBytes()
		views := viewsOf(t, rows, suspectRowFor(suspect, "3"))
		group, start := &recordingControl{}, time.Now()
		guard, err := poisonguard.New(poisonguard.Config{Control: group, Clock: func() time.Duration { return time.Since(start) }})
		if err != nil {
			t.Fatal(err)
		}
		f.config.Guard = guard
		guard.Follow(views[0])
		group.onFirstChange = func() { guard.Follow(views[1]) }
		time.Sleep(poison.DefaultTrialRest)
		var calls sync.WaitGroup
		calls.Go(func() { f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute) })
		time.Sleep(time.Second)
		suspect.Received = time.Now()
		calls.Go(func() {
			if failure := f.Serve(t.Context(), suspect, &recordedReply{}); failure != nil {
				t.Error(failure)
			}
		})
		time.Sleep(time.Second)
		synctest.Wait()
		if steps := group.changeCount(); steps != 0 {
			t.Errorf("%d changes of the record while it waits", steps)
		}
		calls.Wait()
		synctest.Wait()
		if steps := group.changeCount(); steps != 2 {
			t.Errorf("%d changes of the record, want the claim and the clearing", steps)
		}
	})
}

// TestSuspectsTeachNoLimit: the end of a back end that runs a suspect is no word on the bodies beside it.
func TestSuspectCrashLearnsNoByteLimit(t *testing.T) {
	for _, size := range []int{300, largeTestBody} {
		synctest.Test(t, func(t *testing.T) {
			gone := make(chan struct{})
			crash := func(_ context.Context, call *replica.Call, _ replica.Sink) replica.Outcome {
				if call.Taken != nil {
					call.Taken()
				}
				<-gone
				return replica.Outcome{Verdict: verdict.MayHaveRun, Peer: replica.PeerGone, Err: errReset}
			}
			suspect := largeRequest("/suspect", size)
			f, _ := newGuarded(t, rowsWithoutBackEnds("once", 2, 3)+suspectRowFor(suspect, "1"), crash)
			f.withSpreadBytes()
			var calls sync.WaitGroup
			calls.Go(func() { f.Serve(t.Context(), suspect, &recordedReply{}) })
			time.Sleep(time.Second)
			calls.Go(func() { f.serveConcurrently(t.Context(), 2, largeTestBody, time.Minute) })
			time.Sleep(time.Second)
			pool := f.plan.Load().pools["p"]
			pool.mu.Lock()
			if held := pool.large.ledger.Held("p1"); held < 2*largeTestBody {
				t.Errorf("the back end holds %d bytes", held)
			}
			pool.mu.Unlock()
			close(gone)
			calls.Wait()
			ledger := pool.large.ledger
			if ledger.Limit(f.now()) != 0 || ledger.LoneCrash(f.now()) != 0 {
				t.Errorf("a suspect of %d bytes teaches a limit of %d", size, ledger.Limit(f.now()))
			}
		})
	}
}

// TestLargeBodiesAreFollowed: shares are looked at from the first large body on, in a pool of which nothing else is divided.
func TestSharesArePolledForLargeBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, shares := sharingFixture(t, newMemoryReplicas(1<<40, 50*time.Millisecond, time.Second).serveCall)
		following, stop := context.WithCancel(t.Context())
		var follower sync.WaitGroup
		follower.Go(func() { f.FollowShares(following) })
		time.Sleep(time.Second)
		if f.usesShares() {
			t.Error("shares are looked at for nothing")
		}
		limit := func() int64 {
			pool := f.plan.Load().pools["p"]
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.large.ledger.Limit(f.now())
		}
		go f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute)
		time.Sleep(time.Second / 2)
		shares.set(share.Bytes("p"), 7)
		time.Sleep(2 * sharePollInterval)
		if limit() != 7*share.BytesUnit || !f.usesShares() {
			t.Errorf("a limit of %d while a body is there", limit())
		}
		time.Sleep(time.Second)
		if told := shares.demand(share.Bytes("p")); told != (share.Demand{Waiting: 1}) || f.usesShares() {
			t.Errorf("%+v is told and shares are looked at while there is no body", told)
		}
		shares.set(share.Bytes("p"), 5)
		for _, instance := range []string{"p1", "p2", "p3"} {
			shares.set(share.Turn(instance), 1)
		}
		if failure := f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute)[0]; failure != nil || limit() != 5*share.BytesUnit {
			t.Errorf("%v, a limit of %d, told after a rest", failure, limit())
		}
		stop()
		follower.Wait()
	})
}

// TestChoicesGivenUpHoldNothing: where the retry budget permits no further send, the body chosen for it is no longer at its back end.
func TestUnsentChoiceReleasesItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, first := range map[string]step{"a retry": lost, "a second send": after(time.Second, good)} {
			f := newBudgeted(t, 0, "r route_kind repeatable;r timeout_millis 60000;r target_latency_millis 100", first, good).withSpreadBytes()
			f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute)
			if held := f.plan.Load().pools["p"].large.ledger.Bytes(); held != 0 || len(f.caller.instances()) != 1 {
				t.Errorf("%s: %d bytes are held after sends to %v", name, held, f.caller.instances())
			}
		}
	})
}

// TestLargeBodiesQueueWhereBackEndsAreFull: a back end whose slots are taken has room for a body all the same, which waits for a slot with
// all others and not behind them.
func TestLargeBodyQueuesForSlotWithOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, time.Second, time.Second)
		rows := rowsWithoutBackEnds("once", 3) + ";p max_in_flight 1;p queue_limit 9;p queue_wait_millis 30000"
		f := newFixture(t, rows, func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
			if call.Path == "/first" {
				time.Sleep(20 * time.Second) // on its way all the time
			}
			return replicas.serveCall(ctx, call, sink)
		}).withSpreadBytes()
		var calls sync.WaitGroup
		var took time.Duration
		start := func(path string, size int, took *time.Duration) {
			calls.Go(func() {
				began := time.Now()
				if failure := f.Serve(t.Context(), largeRequest(path, size), &recordedReply{}); failure != nil {
					t.Errorf("%s: %v", path, failure)
				}
				if took != nil {
					*took = time.Since(began)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		start("/first", largeTestBody, nil)
		start("/small", 300, nil)
		start("/second", largeTestBody, &took)
		for i := range 4 {
			start(fmt.Sprint("/small", i), 300, nil)
		}
		calls.Wait()
		if took > 4*time.Second {
			t.Errorf("the second body took %v, although a slot was free after 2 s", took)
		}
	})
}

// TestExpectedRoom: no wait is expected without a limit, while a back end is empty, and of bodies that are overdue; under a limit the wait is
// that for the bodies that must end first, and for those before it in the line.
func TestEstimateSpaceWait(t *testing.T) {
	const took = 10 * time.Second
	f := newFixture(t, rowsWithoutBackEnds("once", 3), good)
	pool := f.plan.Load().pools["p"]
	ledger := pool.large.ledger
	ledger.End(took, ledger.Add(0, "p1", largeTestBody), true)
	now := time.Minute
	first, second := pool.enqueueLocked(now, 2*largeTestBody), pool.enqueueLocked(now, largeTestBody)
	third := pool.enqueueLocked(now, largeTestBody)
	expect := func(what string, now time.Duration, waiting *largeBodyWait, want time.Duration) {
		t.Helper()
		if wait, _ := pool.estimateSpaceWait(now, waiting, nil); wait != want {
			t.Errorf("%s: a wait of %v, want %v", what, wait, want)
		}
	}
	ledger.Accept(ledger.Add(now, "p1", largeTestBody))
	expect("without a limit", now, second, 0)
	ledger.SetFleetLimit(now, largeTestBody)
	expect("an empty back end", now, third, 0)
	ledger.Accept(ledger.Add(now+time.Second, "p2", largeTestBody))
	expect("the first", now+2*time.Second, first, 8*time.Second)
	expect("one before it, which takes one of two back ends", now+2*time.Second, second, 8*time.Second)
	expect("two before it", now+2*time.Second, third, 18*time.Second)
	expect("an overdue body", now+took, third, 0)
	if wait, _ := pool.estimateSpaceWait(now+2*time.Second, first, []string{"p1"}); wait != 9*time.Second {
		t.Errorf("the one that was not tried: a wait of %v", wait)
	}
}

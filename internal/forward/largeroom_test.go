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

// rowsWithoutBackEnds returns baseRows with a route of the given kind and a long timeout, without some back ends.
func rowsWithoutBackEnds(kind string, gone ...int) string {
	rows := baseRows + "r route_kind " + kind + ";r timeout_millis 60000"
	for _, i := range gone {
		rows = strings.Replace(rows, fmt.Sprintf("p%d kind backend;p%d pool p;p%d address 127.0.0.1:%d;", i, i, i, i), "", 1)
	}
	return rows
}

// TestLargeBodyTriesRefusingBackEndOnce checks that a back end that refuses a large body as not run is not tried over
// and over while a transfer keeps the other back end busy.
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
			t.Errorf("got %d refusals and served counts %v, want 1 refusal and both bodies served by the busy back end", refusals, replicas.served)
		}
	})
}

// TestBodyInTransferRejectsNoOthers checks that a back end that is unavailable only because of a body in transfer is
// expected to be free at the end of the transfer, long before the answer.
func TestBodyInTransferRejectsNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, 10*time.Millisecond, 10*time.Second)
		f := newFixture(t, rowsWithoutBackEnds("once", 2, 3), replicas.serveCall).withSpreadBytes()
		for count := 1; count <= 4; count++ {
			for _, failure := range f.serveConcurrently(t.Context(), count, 300<<10, 15*time.Second) {
				if failure != nil {
					t.Errorf("%d concurrent bodies: a request failed: %v", count, failure)
				}
			}
		}
	})
}

// TestWaitingLargeBodiesAreAdmittedOnce checks that bodies that wait for free space pass the pool's admission queue,
// and are charged there, only once space is free.
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
			t.Errorf("got %v admissions of 4 requests, want 4", admitted)
		}
	})
}

// TestOnlyShareChangesWakeWaitingBodies checks that a waiting body looks again when the limit or the turns have
// changed, but not at each poll of the shares.
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
			t.Errorf("woken %d times without a change, want 0", times)
		}
		shares.set(share.Bytes("p"), 40<<20/share.BytesUnit)
		if times := woken(); times != 1 {
			t.Errorf("woken %d times by a new limit, want 1", times)
		}
		for _, instance := range []string{"p1", "p2", "p3"} {
			shares.set(share.Turn(instance), 1)
		}
		if times := woken(); times != 1 {
			t.Errorf("woken %d times by new turns, want 1", times)
		}
	})
}

// largeRequest returns a request that its path distinguishes from others.
func largeRequest(path string, size int) *Request {
	return &Request{AttemptID: "id" + path, Method: "POST", Path: path, Host: "h", Body: []byte(strings.Repeat("x", size)), Received: time.Now(), Deadline: time.Minute}
}

// suspectRowFor returns the table row that records a request with the given number of crashes.
func suspectRowFor(suspect *Request, crashes string) string {
	identity := identityOf(suspect, "")
	name := poison.RowName(identity.Digest())
	return ";" + name + " kind " + string(table.Suspect) + ";" + name + " crashes " + crashes
}

// TestCondemnedWhileWaitingForSpaceIsRejected checks that a request that is condemned while it waits for free space
// does not run.
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
			t.Errorf("got failure %+v after %d sends, want reason Suspected for a request that did not run, after 1 send", failure, len(f.caller.calls))
		}
	})
}

// TestWaitingForSpaceClaimsNoRun checks that a body that waits for free space does not claim the only permitted run of
// a suspect.
func TestWaitingForSpaceClaimsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, 5*time.Second, time.Second)
		suspect := largeRequest("/suspect", largeTestBody)
		rows := rowsWithoutBackEnds("once", 2, 3) + suspectRowFor(suspect, "2")
		f, _ := newGuarded(t, rows, replicas.serveCall)
		f.withSpreadBytes()
		views := viewsOf(t, rows, suspectRowFor(suspect, "3"))
		control, start := &recordingControl{}, time.Now()
		guard, err := poisonguard.New(poisonguard.Config{Control: control, Clock: func() time.Duration { return time.Since(start) }})
		if err != nil {
			t.Fatal(err)
		}
		f.config.Guard = guard
		guard.Follow(views[0])
		control.onFirstChange = func() { guard.Follow(views[1]) }
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
		if steps := control.changeCount(); steps != 0 {
			t.Errorf("%d changes of the record while the body waits, want 0", steps)
		}
		calls.Wait()
		synctest.Wait()
		if steps := control.changeCount(); steps != 2 {
			t.Errorf("got %d changes of the record, want 2: the claim and the clearing", steps)
		}
	})
}

// TestSuspectCrashLearnsNoByteLimit checks that the crash of a back end that runs a suspect is not attributed to the
// large bodies there.
func TestSuspectCrashLearnsNoByteLimit(t *testing.T) {
	for _, size := range []int{300, largeTestBody} {
		synctest.Test(t, func(t *testing.T) {
			gone := make(chan struct{})
			crash := func(_ context.Context, call *replica.Call, _ replica.Sink) replica.Outcome {
				if call.OnReceived != nil {
					call.OnReceived()
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
				t.Errorf("the back end holds %d bytes, want two large bodies", held)
			}
			pool.mu.Unlock()
			close(gone)
			calls.Wait()
			ledger := pool.large.ledger
			if ledger.Limit(f.now()) != 0 || ledger.SingleBodyCrash(f.now()) != 0 {
				t.Errorf("the crash under a suspect of %d bytes led to a limit of %d, want none", size, ledger.Limit(f.now()))
			}
		})
	}
}

// TestSharesArePolledForLargeBodies checks that shares are polled from the first large body on, in a pool of which
// nothing else is divided.
func TestSharesArePolledForLargeBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, shares := sharingFixture(t, newMemoryReplicas(1<<40, 50*time.Millisecond, time.Second).serveCall)
		following, stop := context.WithCancel(t.Context())
		var follower sync.WaitGroup
		follower.Go(func() { f.FollowShares(following) })
		time.Sleep(time.Second)
		if f.usesShares() {
			t.Error("shares are polled although none is used")
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
			t.Errorf("got a limit of %d while a body is present, want 7 units, and polled shares", limit())
		}
		time.Sleep(time.Second)
		if demand := shares.demand(share.Bytes("p")); demand != (share.Demand{Waiting: 1}) || f.usesShares() {
			t.Errorf("got demand %+v without a body, want only the pool's own, and no polling of shares", demand)
		}
		shares.set(share.Bytes("p"), 5)
		for _, instance := range []string{"p1", "p2", "p3"} {
			shares.set(share.Turn(instance), 1)
		}
		if failure := f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute)[0]; failure != nil || limit() != 5*share.BytesUnit {
			t.Errorf("got failure %v and a limit of %d after an idle period, want an answer and 5 units", failure, limit())
		}
		stop()
		follower.Wait()
	})
}

// TestUnsentChoiceReleasesItsBody checks that a body is removed from a chosen back end if the retry budget does not
// permit the send.
func TestUnsentChoiceReleasesItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, first := range map[string]step{"a retry": lost, "a second send": after(time.Second, good)} {
			f := newBudgeted(t, 0, "r route_kind repeatable;r timeout_millis 60000;r target_latency_millis 100", first, good).withSpreadBytes()
			f.serveConcurrently(t.Context(), 1, largeTestBody, time.Minute)
			if held := f.plan.Load().pools["p"].large.ledger.Bytes(); held != 0 || len(f.caller.instances()) != 1 {
				t.Errorf("%s: %d bytes are held after sends to %v, want 0 bytes after sends to one back end", name, held, f.caller.instances())
			}
		}
	})
}

// TestLargeBodyQueuesForSlotWithOtherRequests checks that a large body waits in the admission queue for a back end that
// has free space but no free slot. Otherwise it would get a slot only after all small requests.
func TestLargeBodyQueuesForSlotWithOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMemoryReplicas(1<<40, time.Second, time.Second)
		rows := rowsWithoutBackEnds("once", 3) + ";p max_in_flight 1;p queue_limit 9;p queue_wait_millis 30000"
		f := newFixture(t, rows, func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
			if call.Path == "/first" {
				time.Sleep(20 * time.Second) // in transfer throughout the test
			}
			return replicas.serveCall(ctx, call, sink)
		}).withSpreadBytes()
		var calls sync.WaitGroup
		var took time.Duration
		start := func(path string, size int, took *time.Duration) {
			calls.Go(func() {
				began := time.Now()
				if failure := f.Serve(t.Context(), largeRequest(path, size), &recordedReply{}); failure != nil {
					t.Errorf("%s: the request failed: %v", path, failure)
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
			t.Errorf("the second body took %v, want at most 4 s: a slot was free after 2 s", took)
		}
	})
}

// TestEstimateSpaceWait checks that no wait is expected without a limit, while a back end is empty, or while bodies are
// overdue. Under a limit the wait is the time until enough bodies end, plus that for the bodies queued before.
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
			t.Errorf("%s: got a wait of %v, want %v", what, wait, want)
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
		t.Errorf("one back end excluded: got a wait of %v, want 9 s", wait)
	}
}

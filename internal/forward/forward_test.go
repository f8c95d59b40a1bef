package forward

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// testLease is a Control that admits the version set by the test.
type testLease struct {
	mu      sync.Mutex
	version uint64
	lost    bool
}

func (l *testLease) Admit() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, !l.lost
}

func (l *testLease) set(version uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.lost = version, lost
}

// scriptedCaller is a Caller whose attempts run the steps of a script in order. The last step is repeated for all later
// attempts.
type scriptedCaller struct {
	mu     sync.Mutex
	script []step
	calls  []*replica.Call
}

type step func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome

func (s *scriptedCaller) Do(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
	if err := call.Admit(); err != nil {
		return replica.Outcome{Verdict: verdict.DidNotRun, Err: err}
	}
	s.mu.Lock()
	next := s.script[min(len(s.calls), len(s.script)-1)]
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	return next(ctx, call, sink)
}

func (s *scriptedCaller) instances() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, call := range s.calls {
		counts[call.Instance]++
	}
	return counts
}

var errReset = errors.New("reset")

// answers returns a step that answers with the given pieces as its body. whole reports whether the answer ends
// regularly.
func answers(status int, stream, whole bool, pieces ...string) step {
	return func(_ context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		outcome := replica.Outcome{Verdict: verdict.Ran, Status: status, Err: errReset}
		head := replica.Head{Status: status, Length: -1, Stream: stream, Header: []replica.Header{{Name: "Stamp", Value: call.Instance}}}
		if err := sink.Head(head); err != nil {
			outcome.Err = err
			return outcome
		}
		for _, piece := range pieces {
			if err := sink.Body([]byte(piece)); err != nil {
				outcome.Err = err
				return outcome
			}
		}
		if whole {
			outcome.Complete, outcome.Err = true, nil
		}
		return outcome
	}
}

func endsWith(outcome replica.Outcome) step {
	return func(context.Context, *replica.Call, replica.Sink) replica.Outcome { return outcome }
}

var (
	full        = endsWith(replica.Outcome{Verdict: verdict.DidNotRun, Refused: replica.RefusedFull, Status: 503, Err: replica.ErrRefused})
	unreachable = endsWith(replica.Outcome{Verdict: verdict.DidNotRun, Refused: replica.RefusedUnreachable, Err: errReset})
	lost        = endsWith(replica.Outcome{Verdict: verdict.MayHaveRun, Err: errReset})
	good        = answers(200, false, true, "good")
)

func silent(ctx context.Context, _ *replica.Call, _ replica.Sink) replica.Outcome {
	<-ctx.Done()
	return replica.Outcome{Verdict: verdict.MayHaveRun, Err: ctx.Err()}
}

// recordedReply is a Reply that records what it receives.
type recordedReply struct {
	heads []replica.Head
	body  strings.Builder
}

func (k *recordedReply) Head(head replica.Head) error { k.heads = append(k.heads, head); return nil }
func (k *recordedReply) Body(chunk []byte) error      { k.body.Write(chunk); return nil }

const baseRows = "p kind pool;q kind pool;p1 kind backend;p1 pool p;p1 address 127.0.0.1:1;p2 kind backend;p2 pool p;p2 address 127.0.0.1:2;" +
	"p3 kind backend;p3 pool p;p3 address 127.0.0.1:3;r kind route;r host h;r path_prefix /;r pools p:1;r max_attempts 2;"

// viewsOf returns the table view after each of a series of changes.
func viewsOf(t *testing.T, changes ...string) (views []*table.View) {
	t.Helper()
	made := table.New()
	for position, rows := range changes {
		change := &wire.TableChange{ChangeId: fmt.Sprint(position), Operator: "test", BaseVersion: uint64(position)}
		for text := range strings.SplitSeq(strings.Trim(rows, ";"), ";") {
			parts := strings.SplitN(text, " ", 3)
			change.Cells = append(change.Cells, &wire.CellChange{Row: parts[0], Column: parts[1], Value: parts[2]})
		}
		if result := made.Apply(change); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
			t.Fatal(result)
		}
		view, err := table.NewView().Apply(made.UpdateSince(0))
		if err != nil {
			t.Fatal(err)
		}
		views = append(views, view)
	}
	return views
}

type fixture struct {
	*Forwarder
	lease  *testLease
	caller *scriptedCaller
}

func newFixture(t *testing.T, rows string, script ...step) *fixture {
	t.Helper()
	lease, caller := &testLease{}, &scriptedCaller{script: script}
	forwarder, err := New(Config{Control: lease, Caller: caller, Seed: 1, Clock: testClock()})
	if err != nil {
		t.Fatal(err)
	}
	view := viewsOf(t, rows)[0]
	forwarder.Update(view)
	lease.set(view.Version(), false)
	return &fixture{Forwarder: forwarder, lease: lease, caller: caller}
}

func (f *fixture) serve(ctx context.Context) (*recordedReply, *Failure) {
	reply := &recordedReply{}
	return reply, f.Serve(ctx, &Request{AttemptID: "id", Method: "POST", Path: "/x?y", Host: "h", Received: time.Now()}, reply)
}

// TestRetryByOutcome checks which outcomes of an attempt permit another one, and what the caller receives.
func TestRetryByOutcome(t *testing.T) {
	for _, test := range []struct {
		name, kind string
		script     []step
		calls      int
		body       string // for a whole answer
		reason     Reason
		verdict    verdict.Verdict
	}{
		{"good", "once", []step{good}, 1, "good", 0, 0},
		{"full, then good", "once", []step{full, good}, 2, "good", 0, 0},
		{"all full", "repeatable", []step{full}, 2, "", Unavailable, verdict.DidNotRun},
		{"all unreachable", "once", []step{unreachable}, 3, "", Unavailable, verdict.DidNotRun},
		{"lost once", "once", []step{lost, good}, 1, "", Broken, verdict.MayHaveRun},
		{"lost, then good", "repeatable", []step{lost, good}, 2, "good", 0, 0},
		{"lost, then full", "repeatable", []step{lost, full}, 2, "", Broken, verdict.MayHaveRun},
		{"cut, then good", "repeatable", []step{answers(200, false, false, "part"), good}, 2, "good", 0, 0},
		{"cut once", "once", []step{answers(200, false, false, "part"), good}, 1, "", Broken, verdict.MayHaveRun},
		{"failed, then good", "repeatable", []step{answers(500, false, true, "no"), good}, 2, "good", 0, 0},
		{"failed twice", "repeatable", []step{answers(500, false, true, "no")}, 2, "no", 0, 0},
		{"failed once", "once", []step{answers(500, false, true, "no"), good}, 1, "no", 0, 0},
		{"503 after it ran, once", "once", []step{answers(503, false, true, "no"), good}, 1, "", Broken, verdict.MayHaveRun},
		{"429 after it ran, once", "once", []step{answers(429, false, true, "no"), good}, 1, "", Broken, verdict.MayHaveRun},
		{"408 after it ran, once", "once", []step{answers(408, false, true, "no"), good}, 1, "", Broken, verdict.MayHaveRun},
		{"full, then 503 after it ran, once", "once", []step{full, answers(503, false, true, "no")}, 2, "", Broken, verdict.MayHaveRun},
		{"503 after it ran, stream", "stream", []step{answers(503, false, true, "no"), good}, 1, "", Broken, verdict.MayHaveRun},
		{"503 after it ran, twice", "repeatable", []step{answers(503, false, true, "no")}, 2, "no", 0, 0},
		{"cut stream", "stream", []step{answers(200, true, false, "id: 1\n\n"), good}, 1, "", Cut, verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, baseRows+"r route_kind "+test.kind, test.script...)
			reply, failure := f.serve(context.Background())
			if counts := f.caller.instances(); len(counts) != test.calls || len(f.caller.calls) != test.calls {
				t.Errorf("sends by back end: got %v, want %d, each to a different one", counts, test.calls)
			}
			if test.reason == 0 {
				if failure != nil || len(reply.heads) != 1 || reply.body.String() != test.body || reply.heads[0].Length != int64(len(test.body)) {
					t.Fatalf("got failure %v, heads %+v and body %q, want one head and the whole body", failure, reply.heads, reply.body.String())
				}
				return
			}
			if failure == nil || failure.Reason != test.reason || failure.Verdict != test.verdict || (failure.RetryAfter > 0) != (test.verdict == verdict.DidNotRun) {
				t.Fatalf("got failure %+v, want the listed reason and verdict, and RetryAfter only if the request did not run", failure)
			}
			if test.reason != Cut && len(reply.heads) != 0 {
				t.Error("part of an answer was forwarded")
			}
		})
	}
}

func TestBrokenStreamResumesAtAnotherBackEnd(t *testing.T) {
	rows := strings.Replace(baseRows, "max_attempts 2", "max_attempts 3", 1) + "r route_kind stream;r resumable true"
	f := newFixture(t, rows, answers(200, true, false, "id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\nda"), full,
		answers(200, true, true, "id: 3\ndata: c\n\n"))
	reply, failure := f.serve(context.Background())
	if failure != nil || len(reply.heads) != 1 || reply.body.String() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" {
		t.Fatalf("got failure %v and body %q, want the events of both streams without a gap", failure, reply.body.String())
	}
	if first := f.caller.calls[0]; first.ResumeAfter != -1 || reply.heads[0].Header[0].Value != first.Instance {
		t.Errorf("the forwarded head is not that of the first back end: %+v", reply.heads[0])
	}
	if f.caller.calls[2].ResumeAfter != 2 {
		t.Errorf("the stream was resumed after event %d, want 2", f.caller.calls[2].ResumeAfter)
	}
	f = newFixture(t, rows, answers(200, true, false, "id: 1\n\n"), answers(500, false, true, "no"), answers(200, false, true, "all"))
	if reply, failure := f.serve(context.Background()); failure == nil || failure.Reason != Cut || reply.body.String() != "id: 1\n\n" {
		t.Errorf("got failure %v and body %q, want reason Cut and the first event only", failure, reply.body.String())
	}
}

// TestLargeAnswersAreNotBuffered checks that an answer larger than the buffer is forwarded as it arrives, and reported
// as cut if it ends early.
func TestLargeAnswersAreNotBuffered(t *testing.T) {
	large := strings.Repeat("x", DefaultMaxBufferedAnswer)
	f := newFixture(t, baseRows+"r route_kind repeatable", answers(200, false, true, large, "yz"))
	if reply, failure := f.serve(context.Background()); failure != nil || reply.body.String() != large+"yz" || reply.heads[0].Length != -1 {
		t.Errorf("got failure %v and %d bytes, want the whole answer of unknown length", failure, reply.body.Len())
	}
	f = newFixture(t, baseRows+"r route_kind repeatable", answers(200, false, false, large, "yz"))
	if _, failure := f.serve(context.Background()); failure == nil || failure.Reason != Cut {
		t.Errorf("got failure %v, want reason Cut", failure)
	}
}

func TestMissingLeaseOrRouteIsRejected(t *testing.T) {
	f := newFixture(t, baseRows+"r route_kind once", good)
	request := &Request{Method: "GET", Host: "other", Path: "/", Received: time.Now()}
	if failure := f.Serve(context.Background(), request, &recordedReply{}); failure == nil || failure.Reason != NoRoute {
		t.Errorf("got failure %v, want reason NoRoute", failure)
	}
	f.lease.set(f.plan.Load().version, true)
	for _, host := range []string{"h", "other"} {
		request.Host = host
		if failure := f.Serve(context.Background(), request, &recordedReply{}); failure == nil || failure.Reason != NoConfiguration || failure.RetryAfter < time.Second || f.Ready() {
			t.Errorf("without a lease: got failure %v, want reason NoConfiguration with RetryAfter of at least 1 s, and not ready", failure)
		}
	}
	empty, err := New(Config{Control: f.lease, Caller: f.caller})
	if err != nil {
		t.Fatal(err)
	}
	f.lease.set(0, false)
	if failure := empty.Serve(context.Background(), request, &recordedReply{}); failure == nil || failure.Reason != NoConfiguration || empty.Ready() {
		t.Errorf("without a configuration: got failure %v, want reason NoConfiguration, and not ready", failure)
	}
}

// TestTableChangeBeforeSendReroutesRequest checks that a request follows a table that changes between the choice of a
// back end and the send.
func TestTableChangeBeforeSendReroutesRequest(t *testing.T) {
	views := viewsOf(t, baseRows+"r route_kind once", "r pools q:1;q1 kind backend;q1 pool q;q1 address 127.0.0.1:4")
	f := newFixture(t, baseRows+"r route_kind once", good)
	asked := 0
	f.config.Control = admitFunc(func() (uint64, bool) {
		if asked++; asked == 2 { // the first check is for the route, the second for the send
			f.Update(views[1])
		}
		return f.plan.Load().version, true
	})
	reply, failure := f.serve(context.Background())
	if failure != nil || reply.body.String() != "good" || fmt.Sprint(f.caller.instances()) != "map[q1:1]" || asked < 3 {
		t.Errorf("got failure %v and sends %v, want one send to q1 of the new table", failure, f.caller.instances())
	}
	f.Update(views[0])
	if f.plan.Load().version != views[1].Version() {
		t.Error("an older view replaced the current one")
	}
}

// TestLeaseLapsedBeforeSendDoesNotRun checks that a request is not sent, and is reported as not run, if the lease
// lapses after the choice of a back end.
func TestLeaseLapsedBeforeSendDoesNotRun(t *testing.T) {
	f := newFixture(t, baseRows+"r route_kind once", good)
	asked := 0
	f.config.Control = admitFunc(func() (uint64, bool) {
		asked++
		return f.plan.Load().version, asked < 2
	})
	_, failure := f.serve(context.Background())
	if failure == nil || failure.Verdict != verdict.DidNotRun || len(f.caller.instances()) > 0 {
		t.Errorf("got failure %v and sends %v, want a request that did not run and no sends", failure, f.caller.instances())
	}
}

type admitFunc func() (uint64, bool)

func (a admitFunc) Admit() (uint64, bool) { return a() }

// TestTimeoutAndCallerDisconnect checks that an unanswered request ends at the route's timeout or as soon as its caller
// disconnects. It runs in virtual time.
func TestTimeoutAndCallerDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, baseRows+"r route_kind once;r timeout_millis 300", silent)
		started := time.Now()
		if _, failure := f.serve(context.Background()); failure == nil || failure.Reason != TimedOut || failure.Verdict != verdict.MayHaveRun {
			t.Errorf("got failure %v, want reason TimedOut and a request that may have run", failure)
		}
		if held, left := time.Since(started), f.caller.calls[0].Deadline; left != 300*time.Millisecond || held != left {
			t.Errorf("the back end received a deadline of %v and the caller was held for %v, want 300 ms for both", left, held)
		}
		f = newFixture(t, baseRows+"r route_kind repeatable", silent)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		started = time.Now()
		if _, failure := f.serve(ctx); failure == nil || failure.Reason != CallerGone || len(f.caller.calls) != 1 || time.Since(started) > 10*time.Millisecond {
			t.Errorf("got failure %v, want reason CallerGone after 1 send within 10 ms", failure)
		}
	})
}

// after delays a step in virtual time unless it is cancelled.
func after(wait time.Duration, then step) step {
	return func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		select {
		case <-time.After(wait):
			return then(ctx, call, sink)
		case <-ctx.Done():
			return replica.Outcome{Verdict: verdict.MayHaveRun, Err: ctx.Err()}
		}
	}
}

// TestHedging checks that a repeatable request goes to a second back end if the first is slow to answer, that exactly
// one of the two answers is forwarded, whole, and that the other attempt is cancelled.
func TestHedging(t *testing.T) {
	const delay = 40 * time.Millisecond // hedgeNumerator / hedgeDenominator of the target latency
	for name, test := range map[string]struct {
		first, second step
		calls         int
		body          string
		took          time.Duration
	}{
		"first in time":           {after(delay-1, good), nil, 1, "good", delay - 1},
		"second faster":           {silent, after(10, answers(200, false, true, "second")), 2, "second", delay + 10},
		"first faster after all":  {after(delay+5, good), after(10, answers(200, false, true, "second")), 2, "good", delay + 5},
		"first fails":             {after(delay+5, lost), after(10, good), 2, "good", delay + 10},
		"second fails":            {after(delay+15, good), after(10, lost), 2, "good", delay + 15},
		"second has no lease":     {after(delay+15, good), after(10, endsWith(replica.Outcome{Verdict: verdict.DidNotRun, Err: errNoLease})), 2, "good", delay + 15},
		"second is refused":       {after(delay+15, good), full, 2, "good", delay + 15},
		"both answer at one time": {after(delay+10, good), after(10, good), 2, "good", delay + 10},
		"first fails early":       {lost, good, 2, "good", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, baseRows+"r route_kind repeatable;r target_latency_millis 100", test.first, test.second)
				started := time.Now()
				reply, failure := f.serve(context.Background())
				if failure != nil || reply.body.String() != test.body || len(reply.heads) != 1 || time.Since(started) != test.took {
					t.Errorf("got failure %v and body %q after %v, want the listed body and time, and one head", failure, reply.body.String(), time.Since(started))
				}
				synctest.Wait() // until the other attempt has ended
				if counts := f.caller.instances(); len(counts) != test.calls || len(f.caller.calls) != test.calls {
					t.Errorf("got sends %v, want the listed number, each to a different back end", counts)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, baseRows+"r route_kind repeatable;r target_latency_millis 100", after(60*time.Millisecond, lost), after(10, lost))
		if _, failure := f.serve(context.Background()); failure == nil || failure.Reason != Broken || len(f.caller.calls) != 2 {
			t.Errorf("both attempts lost: got failure %v, want reason Broken after 2 sends", failure)
		}
	})
}

// TestSlotWaitEndsInRejection checks that a request waits for a slot for a fraction of the target latency and is then
// rejected as not run.
func TestSlotWaitEndsInRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := "p kind pool;p max_in_flight 1;p1 kind backend;p1 pool p;p1 address 127.0.0.1:1;r kind route;r host h;r path_prefix /;r pools p:1;r target_latency_millis 40"
		release := make(chan struct{})
		f := newFixture(t, rows, func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
			<-release
			return good(ctx, call, sink)
		}, good)
		first := make(chan *Failure)
		go func() { _, failure := f.serve(context.Background()); first <- failure }()
		synctest.Wait()
		started := time.Now()
		if _, failure := f.serve(context.Background()); failure == nil || failure.Reason != Overloaded || failure.Verdict != verdict.DidNotRun || failure.RetryAfter == 0 {
			t.Errorf("got failure %v, want reason Overloaded and RetryAfter for a request that did not run", failure)
		}
		if waited := time.Since(started); waited > 10*time.Millisecond {
			t.Errorf("rejected after %v, want at most 10 ms", waited)
		}
		second := make(chan *Failure)
		go func() { _, failure := f.serve(context.Background()); second <- failure }()
		synctest.Wait()
		close(release)
		if one, two := <-first, <-second; one != nil || two != nil {
			t.Errorf("got failures %v and %v, want two answers", one, two)
		}
		if _, failure := f.serve(context.Background()); failure != nil || f.pools["p"].queue.InFlight() != 0 {
			t.Errorf("slots were not released: failure %v", failure)
		}
	})
}

// TestRequestFailuresAreReportedWithoutQuarantine checks requests that may fail through their own fault: their failures
// are reported, and a single one quarantines no back end.
func TestRequestFailuresAreReportedWithoutQuarantine(t *testing.T) {
	f := newFixture(t, baseRows+"r route_kind repeatable", answers(500, false, true, "no"))
	for number, quarantined := range []int{0, 2} { // the second request fails at the same back ends
		var failed []string
		request := &Request{AttemptID: "id", Method: "POST", Path: "/x", Host: "h", Received: time.Now(),
			OnServerError: func(replica string) { failed = append(failed, replica) }}
		if failure := f.Serve(t.Context(), request, &recordedReply{}); failure != nil {
			t.Fatal(failure)
		}
		if len(failed) != 2 || failed[0] == failed[1] {
			t.Fatalf("request %d failed at %v, want two different back ends", number, failed)
		}
		inQuarantine := 0
		pool := f.plan.Load().pools["p"]
		for _, name := range []string{"p1", "p2", "p3"} {
			if length, _ := pool.replicas.Quarantine(name, f.now()); length > 0 {
				inQuarantine++
			}
		}
		if inQuarantine > quarantined {
			t.Fatalf("%d back ends are in quarantine after %d such requests", inQuarantine, number+1)
		}
	}
}

// TestSlotShare checks that a process with a SlotShare of one half has half of a pool's slots.
func TestSlotShare(t *testing.T) {
	lease := &testLease{}
	forwarder, err := New(Config{Control: lease, Caller: &scriptedCaller{script: []step{silent}}, SlotShare: 0.5, Seed: 1, Clock: testClock()})
	if err != nil {
		t.Fatal(err)
	}
	view := viewsOf(t, baseRows+"r route_kind repeatable;p max_in_flight 4")[0]
	forwarder.Update(view)
	if slots := forwarder.plan.Load().pools["p"].queue.Slots(); slots != 6 {
		t.Fatalf("got %d slots with half of three back ends with 4 slots each, want 6", slots)
	}
}

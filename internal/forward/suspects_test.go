package forward

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/poisonguard/poisonguardtest"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// guarded is a fixture whose runs a guard permits; suspects are rows of the table.
func newGuarded(t *testing.T, rows string, script ...step) (*fixture, *poisonguard.Guard) {
	t.Helper()
	return newGuardedWith(t, poisonguard.Config{Control: poisonguardtest.NoControl{}}, rows, script...)
}

// guardedBy is guarded with settings of the guard.
func newGuardedWith(t *testing.T, config poisonguard.Config, rows string, script ...step) (*fixture, *poisonguard.Guard) {
	t.Helper()
	start := time.Now()
	config.Clock = func() time.Duration { return time.Since(start) }
	guard, err := poisonguard.New(config)
	if err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, rows, script...)
	f.config.Guard = guard
	guard.Follow(viewsOf(t, rows)[0])
	return f, guard
}

// crashes is a back end that crashes under the request.
func crashesUnderRequest(ctx context.Context, _ *replica.Call, _ replica.Sink) replica.Outcome {
	select {
	case <-time.After(50 * time.Millisecond):
		return replica.Outcome{Verdict: verdict.MayHaveRun, Peer: replica.PeerGone, Err: errReset}
	case <-ctx.Done():
		return replica.Outcome{Verdict: verdict.MayHaveRun, Err: ctx.Err()}
	}
}

// TestCrashesEndARequest: where no record is kept yet, one call takes two back ends at most, whatever its route allows, and the next one is
// refused at once as not run, whatever its attempt id. Requests that crash nothing go on as if it were not there.
func TestCrashingRequestIsRejected(t *testing.T) {
	for _, kind := range []string{"repeatable", "once", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := strings.Replace(baseRows, "max_attempts 2", "max_attempts 5", 1) + "r route_kind " + kind + ";r resumable true"
				noRecord := poisonguard.Config{Control: poisonguardtest.NoControl{}, Recorded: poisonguardtest.NotRecorded}
				f, _ := newGuardedWith(t, noRecord, rows, crashesUnderRequest)
				ask := func(id, body string) *Failure {
					request := &Request{AttemptID: id, Method: "POST", Path: "/x", Host: "h", Body: []byte(body), Received: time.Now()}
					return f.Serve(t.Context(), request, &recordedReply{})
				}
				most := poison.TrialCrashes
				for _, id := range []string{"one", "two"} {
					if kind == "once" || id == "one" {
						if failure := ask(id, "bad"); failure == nil || failure.Verdict != verdict.MayHaveRun {
							t.Fatalf("%s: %v", id, failure)
						}
					}
				}
				if len(f.caller.calls) != most {
					t.Fatalf("%d sends, want %d", len(f.caller.calls), most)
				}
				failure := ask("three", "bad")
				if failure == nil || failure.Reason != Suspected || failure.Verdict != verdict.DidNotRun || failure.RetryAfter <= 0 || len(f.caller.calls) != most {
					t.Errorf("%+v after %d sends", failure, len(f.caller.calls))
				}
				f.caller.mu.Lock()
				f.caller.script, f.caller.calls = []step{good}, nil
				f.caller.mu.Unlock()
				time.Sleep(quarantineLimit)
				if failure = ask("four", "good"); failure != nil {
					t.Errorf("a harmless request: %v", failure)
				}
			})
		})
	}
}

// TestCallsTakeOneBackEndWithoutTheRecord: without a leader the crash that a call has caused is known to this process alone; no attempt
// follows until it is on record, and the next call of the same request is refused as not run. Others are served meanwhile.
func TestCrashingRequestRunsOnceWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newGuarded(t, strings.Replace(baseRows, "max_attempts 2", "max_attempts 5", 1)+"r route_kind repeatable", crashesUnderRequest)
		ask := func(id, body string) *Failure {
			request := &Request{AttemptID: id, Method: "POST", Path: "/x", Host: "h", Body: []byte(body), Received: time.Now()}
			return f.Serve(t.Context(), request, &recordedReply{})
		}
		if failure := ask("one", "bad"); failure == nil || failure.Verdict != verdict.MayHaveRun || len(f.caller.calls) != 1 {
			t.Fatalf("%v after %d sends, want 1", failure, len(f.caller.calls))
		}
		failure := ask("two", "bad")
		if failure == nil || failure.Reason != Suspected || failure.Verdict != verdict.DidNotRun || failure.RetryAfter <= 0 || len(f.caller.calls) != 1 {
			t.Errorf("%+v after %d sends", failure, len(f.caller.calls))
		}
		f.caller.mu.Lock()
		f.caller.script, f.caller.calls = []step{good}, nil
		f.caller.mu.Unlock()
		began := time.Now()
		if failure = ask("three", "good"); failure != nil || time.Since(began) > 100*time.Millisecond {
			t.Errorf("a harmless request: %v after %s", failure, time.Since(began))
		}
	})
}

// suspectRow is the request of the fixture on record with so many crashes.
func suspectRow(crashes string) string {
	identity := poison.Identity{Method: "POST", Host: "h", Path: "/x?y"}
	name := poison.RowName(identity.Digest())
	return ";" + name + " kind " + string(table.Suspect) + ";" + name + " crashes " + crashes
}

// TestSuspectsRunWithoutASecondSend: a hedge would take a second back end before the first one's crash is known.
func TestSuspectsAreNotHedged(t *testing.T) {
	for crashed, want := range map[string]int{"": 2, "1": 1} {
		synctest.Test(t, func(t *testing.T) {
			rows := baseRows + "r route_kind repeatable;r target_latency_millis 100"
			if crashed != "" {
				rows += suspectRow(crashed)
			}
			slow := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
				time.Sleep(300 * time.Millisecond)
				return good(ctx, call, sink)
			}
			f, _ := newGuarded(t, rows, slow)
			if _, failure := f.serve(t.Context()); failure != nil || len(f.caller.instances()) != want {
				t.Errorf("with %q crashes: %v, sends %v, want %d", crashed, failure, f.caller.instances(), want)
			}
			synctest.Wait()
			time.Sleep(time.Second) // the answer clears the suspect, in vain without a leader
		})
	}
}

// TestSuspectsKeepApart: two suspects run at different back ends while there are enough.
func TestSuspectsRunAtDifferentBackEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := baseRows + "r route_kind repeatable;p1 weight 1000;p2 weight 1;p3 weight 0" + suspectRow("1") // p1 is chosen by itself
		f, guard := newGuarded(t, rows, silent)
		for number := range 2 {
			go func() { _, _ = f.serve(t.Context()) }()
			synctest.Wait()
			if occupied := guard.Occupied(); len(occupied) != number+1 {
				t.Errorf("%d suspects run at %v", number+1, occupied)
			}
		}
	})
}

// TestCondemnedRequestsTellWhenToComeBack.
func TestCondemnedRequestGetsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newGuarded(t, baseRows+"r route_kind repeatable"+suspectRow("3"), good)
		_, failure := f.serve(t.Context())
		if failure == nil || !failure.Condemned || failure.RetryAfter != poison.DefaultCondemnedRest || len(f.caller.calls) != 0 {
			t.Errorf("%+v", failure)
		}
	})
}

// condemnedMeanwhile is a Caller to which a newer table comes while it opens a connection.
type updatingCaller struct {
	scriptedCaller
	beforeCall func()
}

func (c *updatingCaller) Do(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
	if c.beforeCall != nil {
		c.beforeCall()
		c.beforeCall = nil
	}
	return c.scriptedCaller.Do(ctx, call, sink)
}

// TestPermissionEndsWithItsTable: between the permission and the send another process has condemned the request. It is not sent.
func TestPermissionEndsWhenRequestIsCondemned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := baseRows + "r route_kind repeatable"
		f, guard := newGuarded(t, rows, good)
		caller := &updatingCaller{scriptedCaller: scriptedCaller{script: []step{good}}}
		f.config.Caller = caller
		caller.beforeCall = func() {
			next := viewsOf(t, rows, suspectRow("3"))[1]
			guard.Follow(next)
			f.Update(next)
			f.lease.set(next.Version(), false)
		}
		if _, failure := f.serve(t.Context()); failure == nil || !failure.Condemned || len(caller.calls) != 0 {
			t.Errorf("%+v after %d sends", failure, len(caller.calls))
		}
	})
}

// TestTrialIsSentAlthoughItsClaimChangedTheTable: the claim of a run makes a new version of the table, under which the send is decided
// again; the claim stays.
func TestTrialIsSentAfterItsClaimChangesTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := baseRows + "r route_kind repeatable" + suspectRow("2")
		group := &recordingControl{}
		views := viewsOf(t, rows)
		f, _ := newGuarded(t, rows, good)
		start := time.Now()
		guard, err := poisonguard.New(poisonguard.Config{Control: group, Clock: func() time.Duration { return time.Since(start) }})
		if err != nil {
			t.Fatal(err)
		}
		f.config.Guard = guard
		guard.Follow(views[0])
		group.onFirstChange = func() { // the change reaches this process before its answer does
			next := viewsOf(t, rows, "p queue_limit 9")[1]
			guard.Follow(next)
			f.Update(next)
			f.lease.set(next.Version(), false)
		}
		time.Sleep(poison.DefaultTrialRest)
		if _, failure := f.serve(t.Context()); failure != nil || len(f.caller.calls) != 1 {
			t.Errorf("the trial: %v after %d sends", failure, len(f.caller.calls))
		}
		synctest.Wait()
		if steps := group.changes; len(steps) != 2 {
			t.Errorf("%d changes of the record, want the claim and the clearing", len(steps))
		}
	})
}

// oneTable takes every change and tells when the first one is taken.
type recordingControl struct {
	poisonguardtest.NoControl
	onFirstChange func()

	mu      sync.Mutex
	changes []*wire.TableChange
}

func (o *recordingControl) changeCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.changes)
}

// ChangeTable implements configure.Control.
func (o *recordingControl) ChangeTable(_ context.Context, change *wire.TableChange, _ bool) (*wire.TableResult, uint64, error) {
	o.mu.Lock()
	o.changes = append(o.changes, change)
	o.mu.Unlock()
	if o.changeCount() == 1 {
		o.onFirstChange()
	}
	return &wire.TableResult{Outcome: wire.TableOutcome_TABLE_OUTCOME_ACCEPTED}, 0, nil
}

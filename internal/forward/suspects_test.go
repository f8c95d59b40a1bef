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

// newGuarded returns a fixture with a guard that follows the suspects in rows.
func newGuarded(t *testing.T, rows string, script ...step) (*fixture, *poisonguard.Guard) {
	t.Helper()
	return newGuardedWith(t, poisonguard.Config{Control: poisonguardtest.NoControl{}}, rows, script...)
}

// newGuardedWith is newGuarded with settings of the guard.
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

// crashesUnderRequest is a step in which the back end crashes while running the request.
func crashesUnderRequest(ctx context.Context, _ *replica.Call, _ replica.Sink) replica.Outcome {
	select {
	case <-time.After(50 * time.Millisecond):
		return replica.Outcome{Verdict: verdict.MayHaveRun, Peer: replica.PeerGone, Err: errReset}
	case <-ctx.Done():
		return replica.Outcome{Verdict: verdict.MayHaveRun, Err: ctx.Err()}
	}
}

// TestCrashingRequestIsRejected checks that, while crashes are not recorded in the table, one call crashes at most two
// back ends whatever its route permits, and the next call is rejected at once as not run whatever its attempt id.
// Harmless requests are still served.
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
							t.Fatalf("%s: got failure %v, want a request that may have run", id, failure)
						}
					}
				}
				if len(f.caller.calls) != most {
					t.Fatalf("got %d sends, want %d", len(f.caller.calls), most)
				}
				failure := ask("three", "bad")
				if failure == nil || failure.Reason != Suspected || failure.Verdict != verdict.DidNotRun || failure.RetryAfter <= 0 || len(f.caller.calls) != most {
					t.Errorf("got failure %+v after %d sends, want reason Suspected with RetryAfter, without another send", failure, len(f.caller.calls))
				}
				f.caller.mu.Lock()
				f.caller.script, f.caller.calls = []step{good}, nil
				f.caller.mu.Unlock()
				time.Sleep(quarantineLimit)
				if failure = ask("four", "good"); failure != nil {
					t.Errorf("a harmless request failed: %v", failure)
				}
			})
		})
	}
}

// TestCrashingRequestRunsOnceWithoutLeader checks that a crash that cannot be recorded for lack of a leader ends the
// request: no further attempt follows, and the next call of the same request is rejected as not run. Other requests are
// still served.
func TestCrashingRequestRunsOnceWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newGuarded(t, strings.Replace(baseRows, "max_attempts 2", "max_attempts 5", 1)+"r route_kind repeatable", crashesUnderRequest)
		ask := func(id, body string) *Failure {
			request := &Request{AttemptID: id, Method: "POST", Path: "/x", Host: "h", Body: []byte(body), Received: time.Now()}
			return f.Serve(t.Context(), request, &recordedReply{})
		}
		if failure := ask("one", "bad"); failure == nil || failure.Verdict != verdict.MayHaveRun || len(f.caller.calls) != 1 {
			t.Fatalf("got failure %v after %d sends, want a request that may have run, after 1 send", failure, len(f.caller.calls))
		}
		failure := ask("two", "bad")
		if failure == nil || failure.Reason != Suspected || failure.Verdict != verdict.DidNotRun || failure.RetryAfter <= 0 || len(f.caller.calls) != 1 {
			t.Errorf("got failure %+v after %d sends, want reason Suspected with RetryAfter, without another send", failure, len(f.caller.calls))
		}
		f.caller.mu.Lock()
		f.caller.script, f.caller.calls = []step{good}, nil
		f.caller.mu.Unlock()
		began := time.Now()
		if failure = ask("three", "good"); failure != nil || time.Since(began) > 100*time.Millisecond {
			t.Errorf("got failure %v after %s for a harmless request, want an answer within 100 ms", failure, time.Since(began))
		}
	})
}

// condemnedRow returns the table row that records the fixture's request as condemned.
func condemnedRow() string {
	identity := poison.Identity{Method: "POST", Host: "h", Path: "/x?y"}
	return suspectRow("3") + ";" + poison.RowName(identity.Digest()) + " crashed_back_ends " + poison.AddTrial("", "p1")
}

// suspectRow returns the table row that records the fixture's request with the given number of crashes.
func suspectRow(crashes string) string {
	identity := poison.Identity{Method: "POST", Host: "h", Path: "/x?y"}
	name := poison.RowName(identity.Digest())
	return ";" + name + " kind " + string(table.Suspect) + ";" + name + " crashes " + crashes
}

// TestSuspectsAreNotHedged checks that a suspect is sent to one back end at a time. A hedge would crash a second back
// end before the crash of the first is known.
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
				t.Errorf("with %q crashes: got failure %v and sends %v, want an answer from %d back ends", crashed, failure, f.caller.instances(), want)
			}
			synctest.Wait()
			time.Sleep(time.Second) // the answer clears the suspect, which fails without a leader
		})
	}
}

// TestSuspectsRunAtDifferentBackEnds checks that two suspects run at different back ends while there are enough.
func TestSuspectsRunAtDifferentBackEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := baseRows + "r route_kind repeatable;p1 weight 1000;p2 weight 1;p3 weight 0" + suspectRow("1") // the weights prefer p1
		f, guard := newGuarded(t, rows, silent)
		for number := range 2 {
			go func() { _, _ = f.serve(t.Context()) }()
			synctest.Wait()
			if occupied := guard.Occupied(); len(occupied) != number+1 {
				t.Errorf("%d suspects run at %v, want one back end each", number+1, occupied)
			}
		}
	})
}

// TestCondemnedRequestGetsRetryAfter checks that a condemned request is rejected with the time until it may run again.
func TestCondemnedRequestGetsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newGuarded(t, baseRows+"r route_kind repeatable"+condemnedRow(), good)
		_, failure := f.serve(t.Context())
		if failure == nil || !failure.Condemned || failure.RetryAfter != poison.DefaultCondemnedRest || len(f.caller.calls) != 0 {
			t.Errorf("got failure %+v, want a condemned request that is not sent and RetryAfter of the condemned rest", failure)
		}
	})
}

// updatingCaller is a scriptedCaller that calls beforeCall before its first call, as if a newer table arrived while a
// connection is opened.
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

// TestPermissionEndsWhenRequestIsCondemned checks that a request is not sent if another process condemns it between its
// permission and the send.
func TestPermissionEndsWhenRequestIsCondemned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := baseRows + "r route_kind repeatable"
		f, guard := newGuarded(t, rows, good)
		caller := &updatingCaller{scriptedCaller: scriptedCaller{script: []step{good}}}
		f.config.Caller = caller
		caller.beforeCall = func() {
			next := viewsOf(t, rows, condemnedRow())[1]
			guard.Follow(next)
			f.Update(next)
			f.lease.set(next.Version(), false)
		}
		if _, failure := f.serve(t.Context()); failure == nil || !failure.Condemned || len(caller.calls) != 0 {
			t.Errorf("got failure %+v after %d sends, want a condemned request that is not sent", failure, len(caller.calls))
		}
	})
}

// TestTrialIsSentAfterItsClaimChangesTheTable checks that a trial run is sent although claiming it creates a new table
// version, under which the send is decided again. The claim must be kept.
func TestTrialIsSentAfterItsClaimChangesTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := baseRows + "r route_kind repeatable" + suspectRow("2")
		control := &recordingControl{}
		views := viewsOf(t, rows)
		f, _ := newGuarded(t, rows, good)
		start := time.Now()
		guard, err := poisonguard.New(poisonguard.Config{Control: control, Clock: func() time.Duration { return time.Since(start) }})
		if err != nil {
			t.Fatal(err)
		}
		f.config.Guard = guard
		guard.Follow(views[0])
		control.onFirstChange = func() { // the change reaches this process before its answer does
			next := viewsOf(t, rows, "p queue_limit 9")[1]
			guard.Follow(next)
			f.Update(next)
			f.lease.set(next.Version(), false)
		}
		time.Sleep(poison.DefaultTrialRest)
		if _, failure := f.serve(t.Context()); failure != nil || len(f.caller.calls) != 1 {
			t.Errorf("got failure %v of the trial after %d sends, want an answer after 1 send", failure, len(f.caller.calls))
		}
		synctest.Wait()
		if steps := control.changes; len(steps) != 2 {
			t.Errorf("got %d changes of the record, want 2: the claim and the clearing", len(steps))
		}
	})
}

// recordingControl accepts and records every table change and calls onFirstChange after the first one.
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

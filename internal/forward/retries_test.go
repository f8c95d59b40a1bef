package forward

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/retrybudget"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// newBudgeted is a fixture whose pool may send so many requests again, and where another back end has lost more than any of the test's.
func newBudgeted(t *testing.T, permitted float64, rows string, script ...step) *fixture {
	t.Helper()
	f := newFixture(t, strings.Replace(baseRows, "max_attempts 2", "max_attempts 3", 1)+rows, script...)
	budget := retrybudget.New(0, retrybudget.Limits{Burst: permitted + 1})
	for range 100 {
		budget.Retry(0, "another")
	}
	budget.Hedge(0)
	f.pools["p"].budget = budget
	return f
}

// TestRetriesStayWithinTheBudget: what is permitted is sent again, and nothing beyond.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	for _, test := range []struct {
		name, rows string
		permitted  float64
		script     []step
		calls      int
		body       string // of a whole answer
		reason     Reason
		verdict    verdict.Verdict
	}{
		{"lost, none permitted", "r route_kind repeatable", 0, []step{lost, good}, 1, "", Broken, verdict.MayHaveRun},
		{"lost, one permitted", "r route_kind repeatable", 1, []step{lost, good}, 2, "good", 0, 0},
		{"lost twice, one permitted", "r route_kind repeatable", 1, []step{lost, lost, good}, 2, "", Broken, verdict.MayHaveRun},
		{"a failure is passed on", "r route_kind repeatable", 0, []step{answers(500, false, true, "no"), good}, 1, "no", 0, 0},
		{"a failure is replaced", "r route_kind repeatable", 1, []step{answers(500, false, true, "no"), good}, 2, "good", 0, 0},
		{"a second failure is passed on", "r route_kind repeatable", 1, []step{answers(500, false, true, "no")}, 2, "no", 0, 0},
		{"full is no failure", "r route_kind repeatable", 0, []step{full, full, good}, 3, "good", 0, 0},
		{"unreachable is no load", "r route_kind once", 0, []step{unreachable, unreachable, good}, 3, "good", 0, 0},
		{"lost, then full", "r route_kind repeatable", 1, []step{lost, full, good}, 3, "good", 0, 0},
		{"a stream goes on", "r route_kind stream;r resumable true", 0,
			[]step{answers(200, true, false, "id: 1\n\n"), answers(200, true, true, "id: 2\n\n")}, 2, "id: 1\n\nid: 2\n\n", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newBudgeted(t, test.permitted, test.rows, test.script...)
			reply, failure := f.serve(context.Background())
			if len(f.caller.calls) != test.calls {
				t.Errorf("%d calls, want %d", len(f.caller.calls), test.calls)
			}
			if test.reason == 0 && (failure != nil || reply.body.String() != test.body) {
				t.Errorf("%v %q", failure, reply.body.String())
			}
			if test.reason != 0 && (failure == nil || failure.Reason != test.reason || failure.Verdict != test.verdict) {
				t.Errorf("%+v", failure)
			}
			if inFlight := f.pools["p"].budget.Figures(0).InFlight; inFlight != 0 {
				t.Errorf("%d are counted in flight", inFlight)
			}
		})
	}
}

// TestSecondSendsStayWithinTheBudget: without room in it the first back end is waited for; where one runs, a failure of the first asks
// for nothing more.
func TestHedgesStayWithinTheBudget(t *testing.T) {
	const rows = "r route_kind repeatable;r target_latency_millis 100"
	slow := after(60*time.Millisecond, good)
	for name, test := range map[string]struct {
		permitted float64
		first     step
		calls     int
		took      time.Duration
	}{
		"none permitted": {0, slow, 1, 60 * time.Millisecond},
		"one permitted":  {1, slow, 2, 41 * time.Millisecond},
		// The second send is there already when the first fails: nothing more is asked for.
		"the first fails": {1, after(40*time.Millisecond+1, answers(500, false, true, "no")), 2, 41 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newBudgeted(t, test.permitted, rows, test.first, after(time.Millisecond, good))
			started := time.Now()
			reply, failure := f.serve(context.Background())
			if failure != nil || reply.body.String() != "good" || time.Since(started) != test.took {
				t.Errorf("%s: %v %q after %v", name, failure, reply.body.String(), time.Since(started))
			}
			synctest.Wait()
			if len(f.caller.calls) != test.calls {
				t.Errorf("%s: %d calls", name, len(f.caller.calls))
			}
		})
	}
}

// TestCrashOfOneBackEndCostsNoCaller: each request that was there is sent again, in a pool that may send nothing again otherwise.
func TestBackEndCrashRetriesEveryRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crash := make(chan struct{})
		f := newFixture(t, baseRows+"p max_in_flight 100;r route_kind repeatable", func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
			<-crash
			if call.Instance == "p1" {
				return replica.Outcome{Verdict: verdict.MayHaveRun, Err: errReset}
			}
			return good(ctx, call, sink)
		})
		f.pools["p"].budget = retrybudget.New(0, retrybudget.Limits{})
		ends := make(chan *Failure)
		for range 60 {
			go func() { _, failure := f.serve(context.Background()); ends <- failure }()
		}
		synctest.Wait()
		atCrash := f.caller.instances()["p1"]
		close(crash)
		for range 60 {
			if failure := <-ends; failure != nil {
				t.Error(failure)
			}
		}
		if atCrash < 10 || len(f.caller.calls) != 60+atCrash {
			t.Errorf("%d of %d calls were lost", atCrash, len(f.caller.calls))
		}
	})
}

// TestRetriesAreCounted by kind, and by whether they were sent.
func TestRetriesAreCounted(t *testing.T) {
	f := newBudgeted(t, 1, "r route_kind repeatable", lost)
	if _, failure := f.serve(context.Background()); failure == nil {
		t.Error("answered")
	}
	for outcome, want := range map[string]float64{retrySent: 1, retryOverBudget: 1} {
		if got := f.gather(t)["tamarindring_forward_retries_total "+kindRetry+" "+outcome]; got != want {
			t.Errorf("%v %s, want %v", got, outcome, want)
		}
	}
}

// TestBudgetsAreMadeWhereTheyAreAskedFor and are kept when the table changes.
func TestRetryBudgetIsOptionalAndKept(t *testing.T) {
	views := viewsOf(t, baseRows+"r route_kind once", "p max_in_flight 7")
	for _, limits := range []*retrybudget.Limits{nil, {Burst: 5}} {
		forwarder, err := New(Config{Control: &testLease{}, Caller: &scriptedCaller{}, Retries: limits, Clock: testClock()})
		if err != nil {
			t.Fatal(err)
		}
		forwarder.Update(views[0])
		held := forwarder.pools["p"].budget
		if forwarder.Update(views[1]); (held != nil) != (limits != nil) || forwarder.pools["p"].budget != held {
			t.Errorf("limits %v: %v, then %v", limits, held, forwarder.pools["p"].budget)
		}
	}
}

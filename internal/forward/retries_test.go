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

// newBudgeted returns a fixture whose pool permits the given number of retries. Retries after losses at the back end with
// the most losses do not use up the budget, so "another" back end outside the test has lost more than any other.
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

// TestRetriesStayWithinTheBudget checks that requests are sent again as far as the budget permits, and no further.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	for _, test := range []struct {
		name, rows string
		permitted  float64
		script     []step
		calls      int
		body       string // for a whole answer
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
				t.Errorf("got %d calls, want %d", len(f.caller.calls), test.calls)
			}
			if test.reason == 0 && (failure != nil || reply.body.String() != test.body) {
				t.Errorf("got failure %v and body %q, want the listed body", failure, reply.body.String())
			}
			if test.reason != 0 && (failure == nil || failure.Reason != test.reason || failure.Verdict != test.verdict) {
				t.Errorf("got failure %+v, want the listed reason and verdict", failure)
			}
			if inFlight := f.pools["p"].budget.State(0).InFlight; inFlight != 0 {
				t.Errorf("the budget counts %d requests in flight, want 0", inFlight)
			}
		})
	}
}

// TestHedgesStayWithinTheBudget checks that a request waits for its first back end if the budget permits no hedge, and
// that a failure of the first attempt asks for no retry while a hedge runs.
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
		// The hedge already runs when the first attempt fails, so no retry is asked for.
		"the first fails": {1, after(40*time.Millisecond+1, answers(500, false, true, "no")), 2, 41 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newBudgeted(t, test.permitted, rows, test.first, after(time.Millisecond, good))
			started := time.Now()
			reply, failure := f.serve(context.Background())
			if failure != nil || reply.body.String() != "good" || time.Since(started) != test.took {
				t.Errorf("%s: got failure %v and body %q after %v, want an answer after the listed time", name, failure, reply.body.String(), time.Since(started))
			}
			synctest.Wait()
			if len(f.caller.calls) != test.calls {
				t.Errorf("%s: got %d calls, want the listed number", name, len(f.caller.calls))
			}
		})
	}
}

// TestBackEndCrashRetriesEveryRequest checks that each request at a crashed back end is sent again, even if the budget
// permits no other retries.
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
			t.Errorf("%d requests were lost in %d calls, want each lost request sent once more", atCrash, len(f.caller.calls))
		}
	})
}

// TestRetriesAreCounted checks that retries are counted by kind and by whether the budget permitted them.
func TestRetriesAreCounted(t *testing.T) {
	f := newBudgeted(t, 1, "r route_kind repeatable", lost)
	if _, failure := f.serve(context.Background()); failure == nil {
		t.Error("the request was answered, want a failure")
	}
	for outcome, want := range map[string]float64{retrySent: 1, retryOverBudget: 1} {
		if got := f.gather(t)["tamarindring_forward_retries_total "+kindRetry+" "+outcome]; got != want {
			t.Errorf("got %v retries with outcome %s, want %v", got, outcome, want)
		}
	}
}

// TestRetryBudgetIsOptionalAndKept checks that pools have a retry budget only if limits are configured, and keep it
// when the table changes.
func TestRetryBudgetIsOptionalAndKept(t *testing.T) {
	views := viewsOf(t, baseRows+"r route_kind once", "p max_in_flight 7")
	for _, limits := range []*retrybudget.Limits{nil, {Burst: 5}} {
		forwarder, err := New(Config{Control: &testLease{}, Caller: &scriptedCaller{}, Retries: limits, Clock: testClock()})
		if err != nil {
			t.Fatal(err)
		}
		forwarder.Update(views[0])
		budget := forwarder.pools["p"].budget
		if forwarder.Update(views[1]); (budget != nil) != (limits != nil) || forwarder.pools["p"].budget != budget {
			t.Errorf("limits %v: got budget %v, then %v, want one only with limits, and the same after an update", limits, budget, forwarder.pools["p"].budget)
		}
	}
}

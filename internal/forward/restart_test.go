package forward

import (
	"context"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/routing"
)

var emptyRoutingRequest routing.Request

const restartRows = "p1 start_unix_millis 1000;p2 start_unix_millis 1000;p3 start_unix_millis 1000;"

// TestAttemptsEndWithTheirStart: a back end takes a request, crashes behind a cut and starts again under its name. The attempt is
// over once the table knows the new start, without a wait for an answer: a request that may run more than once goes on at
// another back end, any other one may have run.
func TestAttemptEndsWhenBackEndRestarts(t *testing.T) {
	for kind, want := range map[string]Reason{"repeatable": 0, "once": Broken} {
		t.Run(kind, func(t *testing.T) {
			taken := make(chan string, 1)
			holds := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
				taken <- call.Instance
				return silent(ctx, call, sink)
			}
			rows := baseRows + restartRows + "r route_kind " + kind + ";"
			f := newFixture(t, rows, holds, good)
			go func() {
				at := incarnation.Parse(<-taken)
				view := viewsOf(t, rows, at.ID+" start_unix_millis 2000")[1]
				f.Update(view)
				f.lease.set(view.Version(), false)
			}()
			reply, failure := f.serve(t.Context())
			if want != 0 {
				if failure == nil || failure.Reason != want {
					t.Fatalf("ended with %+v", failure)
				}
				return
			}
			if failure != nil || reply.body.String() != "good" || len(f.caller.calls) != 2 {
				t.Fatalf("ended with %+v and %q after %d calls", failure, reply.body.String(), len(f.caller.calls))
			}
		})
	}
}

// TestRestartedBackEndBeginsWithNothing: a back end that was put into quarantine starts again. The new start is chosen like
// one that was never tried; a late end of a request at the former one says nothing of it.
func TestRestartedBackEndHasNoFailureHistory(t *testing.T) {
	rows := "p kind pool;p1 kind backend;p1 pool p;p1 address 127.0.0.1:1;p1 start_unix_millis 1000;r kind route;r host h;r path_prefix /;r pools p:1;"
	f := newFixture(t, rows, good)
	held := f.plan.Load().pools["p"]
	chosen, ok := held.choose(f.now(), &emptyRoutingRequest, nil)
	if !ok || chosen.target.Instance != "p1@1000" {
		t.Fatalf("chose %+v", chosen)
	}
	if changed := held.endSend(f.now(), chosen.target.Instance, &emptyRoutingRequest, healthBad, nil); !changed.quarantined {
		t.Fatalf("a failed send left %+v", changed)
	}
	f.Update(viewsOf(t, rows, "p1 start_unix_millis 2000")[1])
	again, ok := held.choose(f.now(), &emptyRoutingRequest, nil)
	if !ok || again.target.Instance != "p1@2000" || again.inFlight != 1 {
		t.Fatalf("chose %+v", again)
	}
	held.endSend(f.now()+time.Millisecond, chosen.target.Instance, &emptyRoutingRequest, healthBad, nil)
	if left, _ := held.replicas.Quarantine(again.target.Instance, f.now()); left > 0 {
		t.Fatal("the end of a request at the former start was held against the new one")
	}
}

// TestAttemptsOutliveTheRecordOfTheirStart: starts are recorded from the step of an upgrade on. An attempt that began before it, at
// a back end whose start was not recorded, is not over for that.
func TestAttemptSurvivesFirstRecordedStart(t *testing.T) {
	taken, let := make(chan string, 1), make(chan struct{})
	waits := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		taken <- call.Instance
		<-let
		if err := ctx.Err(); err != nil {
			return silent(ctx, call, sink)
		}
		return good(ctx, call, sink)
	}
	rows := baseRows + "r route_kind once;"
	f := newFixture(t, rows, waits)
	go func() {
		at := <-taken
		view := viewsOf(t, rows, at+" start_unix_millis 1000")[1]
		f.Update(view)
		f.lease.set(view.Version(), false)
		close(let)
	}()
	reply, failure := f.serve(t.Context())
	if failure != nil || reply.body.String() != "good" || len(f.caller.calls) != 1 {
		t.Fatalf("ended with %+v after %d calls", failure, len(f.caller.calls))
	}
}

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

// TestAttemptEndsWhenBackEndRestarts covers a back end that takes a request, crashes behind a network partition and
// restarts under its name. The attempt must end as soon as the table shows the new start, without waiting for an
// answer. A repeatable request continues at another back end; any other may have run.
func TestAttemptEndsWhenBackEndRestarts(t *testing.T) {
	for kind, want := range map[string]Reason{"repeatable": 0, "once": Broken} {
		t.Run(kind, func(t *testing.T) {
			taken := make(chan string, 1)
			takeAndHold := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
				taken <- call.Instance
				return silent(ctx, call, sink)
			}
			rows := baseRows + restartRows + "r route_kind " + kind + ";"
			f := newFixture(t, rows, takeAndHold, good)
			go func() {
				at := incarnation.Parse(<-taken)
				view := viewsOf(t, rows, at.ID+" start_unix_millis 2000")[1]
				f.Update(view)
				f.lease.set(view.Version(), false)
			}()
			reply, failure := f.serve(t.Context())
			if want != 0 {
				if failure == nil || failure.Reason != want {
					t.Fatalf("got failure %+v, want the listed reason", failure)
				}
				return
			}
			if failure != nil || reply.body.String() != "good" || len(f.caller.calls) != 2 {
				t.Fatalf("got failure %+v and body %q after %d calls, want an answer after 2 calls", failure, reply.body.String(), len(f.caller.calls))
			}
		})
	}
}

// TestRestartedBackEndHasNoFailureHistory checks that a back end in quarantine is chosen like an untried one after a
// restart, and that the late end of a request at its previous start does not count against it.
func TestRestartedBackEndHasNoFailureHistory(t *testing.T) {
	rows := "p kind pool;p1 kind backend;p1 pool p;p1 address 127.0.0.1:1;p1 start_unix_millis 1000;r kind route;r host h;r path_prefix /;r pools p:1;"
	f := newFixture(t, rows, good)
	pool := f.plan.Load().pools["p"]
	chosen, ok := pool.choose(f.now(), &emptyRoutingRequest, nil)
	if !ok || chosen.target.Instance != "p1@1000" {
		t.Fatalf("got choice %+v, want p1@1000", chosen)
	}
	if changed := pool.endSend(f.now(), chosen.target.Instance, &emptyRoutingRequest, healthBad, nil); !changed.quarantined {
		t.Fatalf("got change %+v after a failed send, want quarantine", changed)
	}
	f.Update(viewsOf(t, rows, "p1 start_unix_millis 2000")[1])
	again, ok := pool.choose(f.now(), &emptyRoutingRequest, nil)
	if !ok || again.target.Instance != "p1@2000" || again.inFlight != 1 {
		t.Fatalf("got choice %+v, want p1@2000 with 1 request in flight", again)
	}
	pool.endSend(f.now()+time.Millisecond, chosen.target.Instance, &emptyRoutingRequest, healthBad, nil)
	if left, _ := pool.replicas.Quarantine(again.target.Instance, f.now()); left > 0 {
		t.Fatal("the end of a request at the previous start put the new start into quarantine")
	}
}

// TestAttemptSurvivesFirstRecordedStart covers an upgrade, from a certain step of which on starts are recorded. An
// attempt that began before that step, at a back end without a recorded start, must not end when its start is recorded.
func TestAttemptSurvivesFirstRecordedStart(t *testing.T) {
	taken, release := make(chan string, 1), make(chan struct{})
	takeAndWait := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		taken <- call.Instance
		<-release
		if err := ctx.Err(); err != nil {
			return silent(ctx, call, sink)
		}
		return good(ctx, call, sink)
	}
	rows := baseRows + "r route_kind once;"
	f := newFixture(t, rows, takeAndWait)
	go func() {
		at := <-taken
		view := viewsOf(t, rows, at+" start_unix_millis 1000")[1]
		f.Update(view)
		f.lease.set(view.Version(), false)
		close(release)
	}()
	reply, failure := f.serve(t.Context())
	if failure != nil || reply.body.String() != "good" || len(f.caller.calls) != 1 {
		t.Fatalf("got failure %+v after %d calls, want an answer after 1 call", failure, len(f.caller.calls))
	}
}

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// testClock returns a clock that follows the time of the test, virtual or real.
func testClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// TestDeadlineIncludesMachineSuspension checks a request during which the machine is suspended. Its caller keeps
// waiting while an ordinary monotonic clock stops. With such a clock the next back end received a deadline that the
// caller no longer had, and a request was still sent after its caller had given up.
func TestDeadlineIncludesMachineSuspension(t *testing.T) {
	for suspended, sends := range map[time.Duration]int{0: 2, time.Second: 2, 5 * time.Second: 1} {
		synctest.Test(t, func(t *testing.T) {
			asleep, steady := time.Duration(0), testClock()
			var named time.Duration
			f := newFixture(t, baseRows+"r route_kind repeatable;r timeout_millis 4000",
				func(context.Context, *replica.Call, replica.Sink) replica.Outcome {
					asleep = suspended
					return replica.Outcome{Verdict: verdict.MayHaveRun, Err: errReset}
				},
				func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
					named = call.Deadline
					return good(ctx, call, sink)
				})
			f.config.Clock = func() time.Duration { return steady() + asleep }
			_, failure := f.serve(t.Context())
			if len(f.caller.calls) != sends || (failure == nil) != (sends == 2) {
				t.Fatalf("after %s of suspension: got %d sends and failure %v, want a second send only before the caller's deadline", suspended, len(f.caller.calls), failure)
			}
			if failure == nil && named != 4*time.Second-suspended {
				t.Errorf("after %s of suspension the back end received a deadline of %s, want the caller's remaining time", suspended, named)
			}
		})
	}
}

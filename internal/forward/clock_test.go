package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// bubbleClock is a clock that follows the test's time, virtual or not.
func testClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// The machine was suspended while a request was under way. Its caller went on waiting, but the steady clock stood still: the next back end
// was named a deadline that the caller no longer had, and a request whose caller was long gone was still sent.
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
				t.Fatalf("after %s of suspension %d sends, %v", suspended, len(f.caller.calls), failure)
			}
			if failure == nil && named != 4*time.Second-suspended {
				t.Errorf("after %s of suspension the deadline is %s away", suspended, named)
			}
		})
	}
}

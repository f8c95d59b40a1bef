package forward

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/bytebudget"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestAnswerBuffersStayWithinTheBudget checks that an answer that does not fit the budget is forwarded as it arrives,
// whole and unchanged. If such an answer ends early, it is reported as cut and no other answer replaces it.
func TestAnswerBuffersStayWithinTheBudget(t *testing.T) {
	part := strings.Repeat("x", 10<<10)
	for _, test := range []struct {
		name   string
		others int64
		whole  bool
		reason Reason // 0: answered
		sends  int
	}{
		{"within the budget, whole", 0, true, 0, 1},
		{"within the budget, broken off", 0, false, 0, 2}, // another attempt's answer replaces it
		{"over the budget, whole", 95, true, 0, 1},
		{"over the budget, broken off", 95, false, Cut, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, baseRows+"r route_kind repeatable", answers(200, false, test.whole, part, part, part), answers(200, false, true, part, part, part))
			budget := bytebudget.New(100 << 10)
			f.config.Budget = budget
			budget.Reserve(bytebudget.LargeBody, test.others<<10)
			reply, failure := f.serve(context.Background())
			if test.reason == 0 && (failure != nil || reply.body.String() != part+part+part) {
				t.Errorf("got failure %v and %d bytes, want the whole answer", failure, reply.body.Len())
			}
			if test.reason != 0 && (failure == nil || failure.Reason != test.reason || failure.Verdict != verdict.MayHaveRun) {
				t.Errorf("got failure %v, want the listed reason and a request that may have run", failure)
			}
			if len(f.caller.calls) != test.sends || budget.Held(bytebudget.Answer) != 0 {
				t.Errorf("got %d sends and %d buffered bytes left, want the listed sends and 0 bytes", len(f.caller.calls), budget.Held(bytebudget.Answer))
			}
		})
	}
}

// TestLosingAttemptReleasesItsBuffer checks that the slower of two concurrent attempts releases its buffer when it
// ends, whether its answer is whole or not.
func TestLosingAttemptReleasesItsBuffer(t *testing.T) {
	for _, whole := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			slow := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
				time.Sleep(time.Second)
				return answers(200, false, whole, "slow")(ctx, call, sink)
			}
			f := newFixture(t, baseRows+"r route_kind repeatable;r target_latency_millis 100", slow, good)
			budget := bytebudget.New(100 << 10)
			f.config.Budget = budget
			if reply, failure := f.serve(t.Context()); failure != nil || reply.body.String() != "good" {
				t.Errorf("got failure %v and body %q, want the hedge's answer", failure, reply.body.String())
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if held := budget.Held(bytebudget.Answer); held != 0 {
				t.Errorf("%d buffered bytes are left, want 0", held)
			}
		})
	}
}

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

// TestAnswersAreHeldWithinTheBudget: an answer that does not fit is passed on as it comes, whole and unchanged; one that breaks off
// then is cut, and may not be replaced by another.
func TestAnswerBuffersStayWithinTheBudget(t *testing.T) {
	part := strings.Repeat("x", 10<<10)
	for _, test := range []struct {
		name   string
		others int64
		whole  bool
		reason Reason // 0: answered
		sends  int
	}{
		{"room, whole", 0, true, 0, 1},
		{"room, broken off", 0, false, 0, 2}, // another attempt's answer replaces it
		{"no room, whole", 95, true, 0, 1},
		{"no room, broken off", 95, false, Cut, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, baseRows+"r route_kind repeatable", answers(200, false, test.whole, part, part, part), answers(200, false, true, part, part, part))
			budget := bytebudget.New(100 << 10)
			f.config.Budget = budget
			budget.Reserve(bytebudget.LargeBody, test.others<<10)
			reply, failure := f.serve(context.Background())
			if test.reason == 0 && (failure != nil || reply.body.String() != part+part+part) {
				t.Errorf("%v, %d bytes", failure, reply.body.Len())
			}
			if test.reason != 0 && (failure == nil || failure.Reason != test.reason || failure.Verdict != verdict.MayHaveRun) {
				t.Errorf("%v", failure)
			}
			if len(f.caller.calls) != test.sends || budget.Held(bytebudget.Answer) != 0 {
				t.Errorf("%d sends, %d bytes are left", len(f.caller.calls), budget.Held(bytebudget.Answer))
			}
		})
	}
}

// TestLosersGiveTheirAnswersBack: the slower of two attempts beside each other holds nothing once it has ended, whole or not.
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
				t.Errorf("%v %q", failure, reply.body.String())
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if held := budget.Held(bytebudget.Answer); held != 0 {
				t.Errorf("%d bytes are left", held)
			}
		})
	}
}

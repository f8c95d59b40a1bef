package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestRefusalBelowTheLedgersMemoryMayHaveRun: the ledger has no record of the key, and the request is older
// than its memory, so nobody can say that the key did not run.
func TestRefusalBelowTheLedgersMemoryMayHaveRun(t *testing.T) {
	for state, want := range map[wire.ClaimState]verdict.Verdict{
		wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT: verdict.MayHaveRun,
		wire.ClaimState_CLAIM_STATE_UNSPECIFIED:   verdict.DidNotRun,
	} {
		settings := Settings{Random: func() float64 { return 0.5 }, Budget: NewRetryBudget(0, 5)}.WithDefaults()
		machine := New(Request{Key: "key", Attempt: "a", Ticket: 3, Replayable: true, Deadline: time.Hour}, &settings)
		refused := machine.Request().Command(ClaimAction{Kind: ClaimRefuse}, 0).GetClaimRefuse()
		if refused.GetTicket() != 3 {
			t.Errorf("the refusal's ticket is %d", refused.GetTicket())
		}
		var last []Action
		for _, event := range []Event{
			{Kind: Arrived}, {Kind: Admitted},
			{Kind: ClaimAnswered, Claim: &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT}},
			{Kind: ClaimAnswered, Claim: &wire.ClaimResult{State: state}},
		} {
			last = machine.Step(0, &event)
		}
		if len(last) == 0 || last[0].Kind != Reply || last[0].Outcome.Verdict != want || last[0].Outcome.Status != http.StatusServiceUnavailable {
			t.Errorf("%v: %+v, want the verdict %v", state, last, want)
		}
	}
}

// TestLateArrivalForgetsTheAttemptThatHoldsItsKey has a request come too late for its own claim while another
// attempt runs: it must wait for that one's answer, not end in "may have run".
func TestLateArrivalForgetsTheAttemptThatHoldsItsKey(t *testing.T) {
	settings := Settings{Random: func() float64 { return 0.5 }, Budget: NewRetryBudget(0, 5)}.WithDefaults()
	machine := New(Request{Attempt: "a", Owner: "g", Key: "k", Deadline: time.Minute, Replayable: true}, &settings)
	claimed := func(state wire.ClaimState, answer *wire.Answer) *Event {
		return &Event{Kind: ClaimAnswered, Claim: &wire.ClaimResult{State: state, Answer: answer}}
	}
	machine.Step(0, &Event{Kind: Arrived})
	machine.Step(0, &Event{Kind: Admitted})
	machine.Step(0, claimed(wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT, nil))
	actions := machine.Step(0, claimed(wire.ClaimState_CLAIM_STATE_RUNNING, nil))
	if len(actions) != 1 || actions[0].Kind != Wait {
		t.Fatalf("it does not wait: %+v", actions)
	}
	if actions = machine.Step(time.Second, &Event{Kind: TimerFired}); len(actions) != 1 || actions[0].Claim.Kind != ClaimQuery {
		t.Fatalf("it does not ask for the key: %+v", actions)
	}
	actions = machine.Step(time.Second, claimed(wire.ClaimState_CLAIM_STATE_DONE, &wire.Answer{Status: 200}))
	if len(actions) != 2 || actions[0].Kind != Reply || actions[0].Outcome.Verdict != verdict.Ran {
		t.Fatalf("it does not get the answer: %+v", actions)
	}
}

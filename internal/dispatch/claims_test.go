package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestRefusalBelowTheLedgersMemoryMayHaveRun guards against the verdict "did not run" for a key that the ledger has
// dropped: the request's ticket is below the ledger's floor, so the key may have run and been dropped since.
func TestRefusalBelowTheLedgersMemoryMayHaveRun(t *testing.T) {
	for state, want := range map[wire.ClaimState]verdict.Verdict{
		wire.ClaimState_CLAIM_STATE_STALE_ATTEMPT: verdict.MayHaveRun,
		wire.ClaimState_CLAIM_STATE_UNSPECIFIED:   verdict.DidNotRun,
	} {
		settings := Settings{Random: func() float64 { return 0.5 }, Budget: NewRetryBudget(0, 5)}.WithDefaults()
		machine := New(Request{Key: "key", Attempt: "a", Ticket: 3, Replayable: true, Deadline: time.Hour}, &settings)
		refused := machine.Request().Command(ClaimAction{Kind: ClaimRefuse}, 0).GetClaimRefuse()
		if refused.GetTicket() != 3 {
			t.Errorf("the refusal has ticket %d, want 3", refused.GetTicket())
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

// TestStaleAttemptWaitsForRunningAttempt guards against the verdict "may have run" for a request whose own attempt is
// stale while another attempt runs the key. The request must wait for the other attempt's answer.
func TestStaleAttemptWaitsForRunningAttempt(t *testing.T) {
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
		t.Fatalf("got actions %+v, want one Wait", actions)
	}
	if actions = machine.Step(time.Second, &Event{Kind: TimerFired}); len(actions) != 1 || actions[0].Claim.Kind != ClaimQuery {
		t.Fatalf("got actions %+v, want one ClaimQuery", actions)
	}
	actions = machine.Step(time.Second, claimed(wire.ClaimState_CLAIM_STATE_DONE, &wire.Answer{Status: 200}))
	if len(actions) != 2 || actions[0].Kind != Reply || actions[0].Outcome.Verdict != verdict.Ran {
		t.Fatalf("got actions %+v, want a reply with the verdict Ran and Finish", actions)
	}
}

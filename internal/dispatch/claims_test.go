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

package poisonguard

import (
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/poison"
)

// logStep emits the event of a step on the record of a suspect.
func (g *Guard) logStep(request poison.StepRequest, outcome poison.Outcome) {
	logging.Emit(g.config.Log, &events.SuspectChanged{Digest: request.Digest.String(), Step: request.Step.String(), Taken: outcome.Done,
		Crashes: int(outcome.Crashes), Replica: request.Instance, Subject: request.Subject})
}

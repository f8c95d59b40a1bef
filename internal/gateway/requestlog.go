package gateway

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// logOutcome logs how a request ended.
func (x *exchange) logOutcome(took time.Duration) {
	version, leased := x.server.config.Control.Admit()
	outcome := &x.outcome
	if !outcome.Failed() {
		logging.Emit(x.server.config.Log, &events.RequestAnswered{Request: x.displayName(), Key: x.call.key, RouteKind: x.call.class,
			Pool: x.call.pool, Replica: x.chosen.name, Status: outcome.Status, TableVersion: version, Sends: x.sendCount, TookMs: events.Millis(took)})
		return
	}
	logging.Emit(x.server.config.Log, &events.RequestFailed{
		Request: x.displayName(), Key: x.call.key, RouteKind: x.call.class, Pool: x.call.pool, Reason: outcome.Code,
		Verdict: outcome.Verdict.String(), RetryAfterMs: events.Millis(outcome.RetryAfter), Cause: outcome.Reason, TableVersion: version,
		LeaseHeld: leased, Sends: x.sendCount, DeadlineMs: events.Millis(x.deadline - x.arrived), TookMs: events.Millis(took),
	})
}

// displayName returns the caller's request ID, or the gateway's attempt ID if the caller gave none.
func (x *exchange) displayName() string {
	if x.call.requestID != "" {
		return x.call.requestID
	}
	return x.machine.Request().Attempt
}

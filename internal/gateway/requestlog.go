package gateway

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// logEnd tells how a request ended.
func (x *exchange) logEnd(took time.Duration) {
	version, leased := x.server.config.Control.Admit()
	outcome := &x.outcome
	if !outcome.Failed() {
		logging.Emit(x.server.config.Log, &events.RequestAnswered{Request: x.requestName(), Key: x.call.key, RouteKind: x.call.class,
			Pool: x.call.pool, Replica: x.chosen.name, Status: outcome.Status, TableVersion: version, Sends: x.sends, TookMs: events.Millis(took)})
		return
	}
	logging.Emit(x.server.config.Log, &events.RequestFailed{
		Request: x.requestName(), Key: x.call.key, RouteKind: x.call.class, Pool: x.call.pool, Reason: outcome.Code,
		Verdict: outcome.Verdict.String(), RetryAfterMs: events.Millis(outcome.RetryAfter), Cause: outcome.Reason, TableVersion: version,
		LeaseHeld: leased, Sends: x.sends, DeadlineMs: events.Millis(x.deadline - x.arrived), TookMs: events.Millis(took),
	})
}

// requestName is the caller's name of the request, or this gateway's where the caller names none.
func (x *exchange) requestName() string {
	if x.call.requestID != "" {
		return x.call.requestID
	}
	return x.machine.Request().Attempt
}

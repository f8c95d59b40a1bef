package forward

import (
	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// logResult logs how a request ended.
func (x *exchange) logResult(failure *Failure) {
	if failure == nil {
		x.logAnswered()
		return
	}
	version, leaseHeld := x.forwarder.config.Control.Admit()
	event := &events.RequestFailed{
		Request: x.request.AttemptID, Method: x.request.Method, Host: x.request.Host, Path: x.request.Path,
		Reason: failure.Reason.String(), Verdict: failure.Verdict.String(), RetryAfterMs: events.Millis(failure.RetryAfter),
		Cause: events.ErrorText(failure.Cause), TableVersion: version, LeaseHeld: leaseHeld, Sends: x.sends, Pool: x.poolName,
		DeadlineMs: events.Millis(x.request.Deadline), TookMs: x.tookMs(),
	}
	if x.mayHaveRun || x.runRefused {
		event.Digest = x.digest().String()
	}
	if x.route != nil {
		event.Route, event.RouteKind = x.route.Name, string(x.route.Kind)
		event.TimeoutMs = events.Millis(x.route.Timeout)
	}
	logging.Emit(x.forwarder.config.Log, event)
}

func (x *exchange) logAnswered() {
	answered := x.answeredBy
	logging.Emit(x.forwarder.config.Log, &events.RequestAnswered{
		Request: x.request.AttemptID, Route: x.route.Name, RouteKind: string(x.route.Kind), Pool: x.poolName,
		Replica: answered.target.Instance, Status: x.status, TableVersion: answered.chosen.version, Sends: x.sends, TookMs: x.tookMs(),
	})
}

// logAdmissionRefused logs the figures by which a pool's queue rejected a request.
func (x *exchange) logAdmissionRefused(pool *pool, request *admission.Request, refusal *admission.Refusal, failure *Failure) {
	figures := &refusal.Figures
	logging.Emit(x.forwarder.config.Log, &events.AdmissionRefused{
		Request: x.request.AttemptID, Tenant: x.tenantName, Weight: request.Weight, Class: request.Class, Pool: pool.name,
		Reason: refusal.Reason.Name(), Returned: request.Retried, Slots: figures.Slots, Reach: figures.Reach, InFlight: figures.InFlight,
		Waiting: figures.Waiting, Ahead: figures.Ahead, ServiceMs: events.Millis(figures.Service),
		ExpectedWaitMs: events.Millis(figures.ExpectedWait), AllowedMs: events.Millis(figures.Allowed),
		RetryAfterMs: events.Millis(failure.RetryAfter),
	})
}

func (x *exchange) tookMs() float64 {
	return events.Millis(x.forwarder.config.Now().Sub(x.request.Received))
}

// refusalNames are the names in logs and metrics of the reasons why a call did not run at a back end.
var refusalNames = [...]string{replica.RefusedNone: "", replica.RefusedFull: "full", replica.RefusedWrongTarget: "wrong_target",
	replica.RefusedUnreachable: "unreachable"}

// logAttempt logs a send that returned no whole answer.
func (x *exchange) logAttempt(a *attempt) {
	now := x.forwarder.config.Now()
	event := &events.AttemptFailed{
		Request: x.request.AttemptID, Attempt: a.sendNumber, Pool: x.poolName, Replica: a.target.Instance, TableVersion: a.chosen.version,
		Refused: refusalNames[a.outcome.Refused], Status: a.outcome.Status, Verdict: a.outcome.Verdict.String(), Health: a.reportedHealth.String(),
		Cause: events.ErrorText(a.outcome.Err), Running: a.chosen.inFlight, PassedOn: a.answer.owner.Load() == a.answer,
		TookMs: events.Millis(now.Sub(a.started)), RequestLeftMs: events.Millis(x.remaining()), MostSends: int(x.route.MaxAttempts),
	}
	if a.outcome.Verdict != verdict.DidNotRun {
		event.Digest, event.Peer = x.digest().String(), a.outcome.Peer.String()
	}
	if load := a.outcome.Load; load != nil {
		event.ReportRunning, event.ReportWaiting, event.ReportedSlots = load.Running, load.Waiting, load.Slots
	}
	logging.Emit(x.forwarder.config.Log, event)
}

func (x *exchange) logHedge(first, second *attempt) {
	x.forwarder.metrics.hedges.WithLabelValues().Inc()
	logging.Emit(x.forwarder.config.Log, &events.AttemptHedged{Request: x.request.AttemptID, First: first.target.Instance,
		Second: second.target.Instance, AfterMs: events.Millis(x.forwarder.config.Now().Sub(first.started))})
}

// logHealthChange logs that a send put its back end into quarantine or restored it.
func (a *attempt) logHealthChange(changed healthChange) {
	switch {
	case changed.quarantined:
		a.forwarder.metrics.quarantines.WithLabelValues(a.reportedHealth.String()).Inc()
		logging.Emit(a.forwarder.config.Log, &events.ReplicaQuarantined{Pool: a.pool.name, Replica: a.target.Instance,
			Request: a.call.AttemptID, Health: a.reportedHealth.String(), LengthMs: events.Millis(changed.quarantineLeft), InRow: changed.failuresInRow})
	case changed.restored:
		logging.Emit(a.forwarder.config.Log, &events.ReplicaRestored{Pool: a.pool.name, Replica: a.target.Instance})
	}
}

// logTable logs a new table version. The caller holds the mutex.
func (f *Forwarder) logTable(view *table.View, next *plan) {
	if !logging.IsEnabled(f.config.Log, (&events.TableAdopted{}).Kind()) {
		return
	}
	event := &events.TableAdopted{TableVersion: next.version, Routes: len(next.routes.Routes())}
	if previous := f.plan.Load(); previous != nil {
		event.BeforeVersion = previous.version
	}
	for name := range next.pools {
		for _, backend := range view.Backends(name) {
			if backend.Serving() {
				event.Replicas++
			}
		}
	}
	logging.Emit(f.config.Log, event)
}

package forward

import (
	"context"
	"errors"
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/retrybudget"
)

// errRetryBudget reports that the pool's retry budget does not permit another send that the route would permit.
var errRetryBudget = errors.New("forward: too much of the pool is sent again already")

// Kinds of sends after the first one of a request, and their outcomes, in metrics and logs.
const (
	kindRetry  = "retry"
	kindHedge  = "hedge"
	kindResume = "resume"

	retrySent       = "sent"
	retryOverBudget = "over_budget"
)

// ensureRetryBudget creates the pool's retry budget if it has none. nil limits leave the pool without a budget.
func (p *pool) ensureRetryBudget(now time.Duration, limits *retrybudget.Limits) {
	if limits == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget == nil {
		p.budget = retrybudget.New(now, *limits)
	}
}

// countRequest records in the retry budget that a request has acquired a slot. releaseSlot records its end.
func (p *pool) countRequest(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget != nil {
		p.budget.Began(now)
	}
}

// permitFollowUp asks the retry budget for another send of the given kind, after a send to backEnd. Resumptions are
// counted but always permitted.
func (p *pool) permitFollowUp(now time.Duration, kind, backEnd string) (permitted bool, figures retrybudget.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget == nil {
		return true, figures
	}
	figures = p.budget.State(now)
	switch kind {
	case kindHedge:
		return p.budget.Hedge(now), figures
	case kindResume:
		p.budget.Resumed(now, backEnd)
		return true, figures
	}
	return p.budget.Retry(now, backEnd), figures
}

// mayFollowUp reports whether the pool's retry budget permits another send after this attempt, and records the
// decision. It may be called while the attempt runs.
func (a *attempt) mayFollowUp(kind string) bool {
	permitted, figures := a.pool.permitFollowUp(a.forwarder.now(), kind, a.target.Instance)
	outcome := retrySent
	if !permitted {
		outcome = retryOverBudget
		logging.Emit(a.forwarder.config.Log, &events.RetryRefused{Request: a.call.AttemptID, Send: kind, Pool: a.pool.name,
			Replica: a.target.Instance, InFlight: figures.InFlight, Permitted: figures.Tokens, Most: figures.Capacity})
	}
	a.forwarder.metrics.retries.WithLabelValues(kind, outcome).Inc()
	return permitted
}

// permitPendingRetry asks the retry budget for the send that follows the attempt in retryPending, if any. It returns a
// failure if the budget rejects it.
func (x *exchange) permitPendingRetry(ctx context.Context) *Failure {
	before := x.retryPending
	if x.retryPending = nil; before == nil {
		return nil
	}
	kind := kindRetry
	if x.partForwarded {
		kind = kindResume
	}
	if before.mayFollowUp(kind) {
		return nil
	}
	return x.newFailure(ctx, Broken, errors.Join(errRetryBudget, x.lastErr))
}

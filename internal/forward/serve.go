package forward

import (
	"context"
	"errors"
	"time"

	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/recovery"
	"github.com/tamarindring/tamarindring/internal/route"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/tenant"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

var (
	errNoLease         = errors.New("forward: the lease does not hold")
	errTableChanged    = errors.New("forward: the table changed meanwhile")
	errOtherAttemptWon = errors.New("forward: another back end was faster")
	errReplaced        = errors.New("forward: the back end failed, another is tried")
	errNotResumed      = errors.New("forward: the back end did not resume the stream")
	errNoReplicas      = errors.New("forward: no back end may take the request")
	errCallerGone      = errors.New("forward: the caller is gone")
	errRouteGone       = errors.New("forward: the route was removed meanwhile")
	errMaxAttempts     = errors.New("forward: no attempt is left")
)

const (
	// defaultWorkTokens is the assumed work, in tokens, of a request of unknown size. It exceeds the routing cost of
	// another zone, so that the less busy of two back ends is chosen across zones.
	defaultWorkTokens = 64
	// slotWaitDivisor bounds the wait for a slot: it lasts at most the route's target latency, or its timeout if it
	// has no target, divided by this. A request that is not running by then does better to be rejected and sent again.
	slotWaitDivisor = 4
)

// exchange holds the state of one request while the forwarder serves it.
type exchange struct {
	forwarder      *Forwarder
	request        *Request
	reply          Reply
	id             uint64
	route          *route.Route
	callerTenant   *tenant.Tenant // nil: anonymous, or the tenant has been removed from the table
	tenantName     string         // sent to back ends; empty: none
	pool           *pool
	poolName       string
	routingRequest routing.Request
	triedBackends  []string // back ends of triedPool that are excluded from further attempts
	// attemptsUsed counts the sends charged against the route's MaxAttempts: those that ran or may have run, and those
	// that a full back end rejected.
	attemptsUsed  int
	tableRetries  int
	mayHaveRun    bool
	lastErr       error
	sends         int              // attempts started
	answeredBy    *attempt         // its answer was forwarded whole
	status        int              // of the forwarded answer
	partForwarded bool             // part of an answer was forwarded
	startedAt     time.Duration    // on Config.Clock
	elapsedBefore time.Duration    // from the request's receipt to startedAt
	permittedRun  *poisonguard.Run // not yet used by an attempt; nil: none
	runRefused    bool             // the guard permitted no further run
	triedPool     *pool            // the pool of triedBackends
	largeBodyPool string           // pool in which a large body found free space or waits for it
	spaceWait     *largeBodyWait   // set while a large body waits for free space at a back end
	noSpace       bool             // the last choice failed only for lack of free space for the body
	// retryPending is an attempt that may have run and returned no answer, while the retry budget has not been asked
	// yet for another send.
	retryPending *attempt
	lastEventID  int64 // of the last event forwarded; -1: none
}

// Serve forwards the request and writes the answer to reply. It returns nil once reply has received a whole answer.
func (f *Forwarder) Serve(ctx context.Context, request *Request, reply Reply) *Failure {
	f.metrics.inFlight.Inc()
	defer f.metrics.inFlight.Dec()
	x := f.newExchange(request, reply)
	var failure *Failure
	if err := recovery.Do(f.config.Log, request.AttemptID, "request", func() { failure = x.serve(ctx) }); err != nil {
		failure = x.failureOfPanic(err)
	}
	f.metrics.countRequest(x.routeKind(), failure, time.Since(request.Received))
	x.logResult(failure)
	return failure
}

// failureOfPanic returns the failure of a request whose work panicked. It may have run, and part of its answer may have
// been forwarded.
func (x *exchange) failureOfPanic(err error) *Failure {
	x.mayHaveRun = true
	return &Failure{Reason: Cut, Verdict: verdict.MayHaveRun, Cause: err}
}

func (f *Forwarder) newExchange(request *Request, reply Reply) *exchange {
	x := &exchange{forwarder: f, request: request, reply: reply, id: f.nextID.Add(1), lastEventID: -1,
		routingRequest: routing.Request{Work: request.Work, Urgent: true}}
	if x.routingRequest.Work <= 0 {
		x.routingRequest.Work = defaultWorkTokens
	}
	x.startedAt, x.elapsedBefore = f.config.Clock(), f.config.Now().Sub(request.Received)
	return x
}

// routeKind returns the kind of the matched route, or "" without a route.
func (x *exchange) routeKind() table.RouteKind {
	if x.route == nil {
		return ""
	}
	return x.route.Kind
}

func (x *exchange) serve(ctx context.Context) *Failure {
	plan := x.forwarder.currentPlan()
	if plan == nil {
		return notRun(NoConfiguration, 0, nil)
	}
	matched := plan.routes.Match(x.request.Host, x.request.Path)
	if matched == nil {
		return notRun(NoRoute, 0, nil)
	}
	x.route = matched
	if err := x.authenticate(plan, matched); err != nil {
		return notRun(Unauthenticated, 0, err)
	}
	limited, cancel := context.WithDeadline(ctx, x.deadline())
	defer cancel()
	if failure := x.enterQuota(limited); failure != nil {
		return failure
	}
	defer x.releaseSlot()
	defer x.returnRun(ctx)
	defer x.stopSpaceWait()
	for {
		if failure, done := x.tryOnce(limited); done {
			return x.finalFailure(ctx, failure)
		}
	}
}

// maxDuration returns how long the request may take from its receipt.
func (x *exchange) maxDuration() time.Duration {
	if x.request.Deadline > 0 {
		return min(x.request.Deadline, x.route.Timeout)
	}
	return x.route.Timeout
}

// deadline returns the time at which the request is abandoned.
func (x *exchange) deadline() time.Time { return x.request.Received.Add(x.maxDuration()) }

// remaining returns how much time the request has left.
func (x *exchange) remaining() time.Duration {
	return x.maxDuration() - x.elapsedBefore - (x.forwarder.config.Clock() - x.startedAt)
}

// finalFailure converts the failure of the last attempt to the failure reported to the caller.
func (x *exchange) finalFailure(ctx context.Context, failure *Failure) *Failure {
	if failure == nil {
		return nil
	}
	switch {
	case ctx.Err() != nil || errors.Is(failure.Cause, errCallerGone):
		failure.Reason = CallerGone
	case x.partForwarded:
		failure.Reason = Cut
	}
	if x.mayHaveRun {
		failure.Verdict, failure.RetryAfter = verdict.MayHaveRun, 0
	}
	return failure
}

// newFailure returns the failure of a request for which no attempt succeeded.
func (x *exchange) newFailure(ctx context.Context, reason Reason, cause error) *Failure {
	if ctx.Err() != nil {
		reason = TimedOut
	}
	if x.mayHaveRun {
		if reason != TimedOut {
			reason = Broken
		}
		return &Failure{Reason: reason, Verdict: verdict.MayHaveRun, Cause: cause}
	}
	return notRun(reason, 0, cause)
}

// tryOnce sends the request once, or determines that it cannot be sent. done reports that the request has ended, and it
// has ended with an answer if failure is nil.
func (x *exchange) tryOnce(ctx context.Context) (failure *Failure, done bool) {
	if ctx.Err() != nil || x.route != nil && x.remaining() <= 0 {
		return x.newFailure(ctx, TimedOut, x.lastErr), true
	}
	plan := x.forwarder.plan.Load()
	matched := plan.routes.Match(x.request.Host, x.request.Path)
	if matched == nil {
		return x.endUnroutable(ctx, plan, NoRoute, errRouteGone)
	}
	if err := x.authenticate(plan, matched); err != nil {
		return x.endUnroutable(ctx, plan, Unauthenticated, err)
	}
	x.route = matched
	if x.attemptsUsed >= int(max(matched.MaxAttempts, 1)) {
		return x.newFailure(ctx, Unavailable, errors.Join(errMaxAttempts, x.lastErr)), true
	}
	if failure, waited := x.ensureSpace(ctx, plan); waited {
		return failure, failure != nil
	}
	if failure := x.permitRun(ctx); failure != nil {
		return failure, true
	}
	if failure := x.acquireSlot(ctx, plan); failure != nil {
		return failure, true
	}
	return x.chooseAndSend(ctx, plan)
}

// chooseAndSend sends the request to a back end of the pool in which it holds a slot. Its results are those of tryOnce.
func (x *exchange) chooseAndSend(ctx context.Context, plan *plan) (failure *Failure, done bool) {
	chosen, ok := x.chooseBackend()
	if !ok && x.noSpace {
		failure := x.requeueForSpace(ctx)
		return failure, failure != nil
	}
	if !ok {
		return x.newFailure(ctx, Unavailable, errors.Join(errNoReplicas, x.lastErr)), true
	}
	if chosen.version != plan.version {
		x.releaseChoice(chosen)
		return x.retryOnNewTable(ctx, errTableChanged)
	}
	if failure := x.permitPendingRetry(ctx); failure != nil {
		x.releaseChoice(chosen)
		return failure, true
	}
	return x.send(ctx, chosen)
}

// releaseChoice undoes a choice to which nothing was sent.
func (x *exchange) releaseChoice(chosen choice) {
	x.pool.endBody(x.forwarder.now(), chosen.largeBody, false)
	x.pool.endSend(x.forwarder.now(), chosen.target.Instance, &x.routingRequest, healthNeutral, nil)
}

// chooseBackend chooses the back end of the next send.
func (x *exchange) chooseBackend() (chosen choice, ok bool) {
	preferred, needed := x.excludedBackends()
	if len(preferred) > len(needed) {
		if chosen, ok = x.drawBackend(preferred); ok {
			return chosen, ok
		}
	}
	return x.drawBackend(needed)
}

// endUnroutable ends a request whose route or key is no longer in the configuration.
func (x *exchange) endUnroutable(ctx context.Context, plan *plan, reason Reason, cause error) (*Failure, bool) {
	if err := x.checkLease(plan.version); err != nil {
		return x.retryOnNewTable(ctx, err)
	}
	if x.attemptsUsed == 0 {
		return notRun(reason, 0, cause), true
	}
	return x.newFailure(ctx, Unavailable, cause), true
}

// retryOnNewTable repeats the decision because the table changed, at most maxTableRetries times. It ends the request if
// the lease is lost.
func (x *exchange) retryOnNewTable(ctx context.Context, err error) (*Failure, bool) {
	x.tableRetries++
	x.returnUnclaimedRun()
	if errors.Is(err, errNoLease) || x.tableRetries > maxTableRetries {
		return x.newFailure(ctx, NoConfiguration, err), true
	}
	time.Sleep(tableRetryDelay)
	return nil, false
}

// checkLease verifies that the lease holds and still covers the given table version.
func (x *exchange) checkLease(version uint64) error {
	admitted, ok := x.forwarder.config.Control.Admit()
	if !ok {
		return errNoLease
	}
	if admitted != version {
		return errTableChanged
	}
	return nil
}

// canRepeat reports whether the request may be sent to another back end after it may have run at one.
func (x *exchange) canRepeat() bool {
	return x.route.Repeatable() && x.route.Kind != table.Batch
}

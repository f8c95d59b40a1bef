package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/recovery"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

const (
	// hedgeNumerator / hedgeDenominator is the fraction of the target latency after which a repeatable request is
	// hedged, if the first back end has not begun to answer.
	hedgeNumerator   = 2
	hedgeDenominator = 5
	minHedgeDelay    = 20 * time.Millisecond
)

// attempt is one send of a request to one back end. It must not access mutable fields of its exchange, because another
// attempt of the same exchange may run concurrently.
type attempt struct {
	forwarder       *Forwarder
	pool            *pool
	target          replica.Target
	chosen          choice
	sendNumber      int // among the sends of its request, from 1
	started         time.Time
	sentAt          time.Time // immediately before the first byte; zero: nothing was sent
	startReported   bool      // Config.OnRunStarted was called
	reportedHealth  health    // what the finished attempt indicates about its back end
	routingRequest  routing.Request
	call            *replica.Call
	answer          *answer
	outcome         replica.Outcome
	answerForwarded bool             // its answer was being forwarded when it ended early
	crashedBySum    bool             // its back end crashed because of the total size of its large bodies
	requestMayFail  bool             // the request itself may cause the failure
	permittedRun    *poisonguard.Run // nil: there is no guard
}

// newAttempt creates an attempt. Concurrent attempts of a request share owner.
func (x *exchange) newAttempt(chosen choice, owner *atomic.Pointer[answer], replaceable bool) *attempt {
	config := &x.forwarder.config
	sink := &answer{owner: owner, reply: x.reply, buffer: answerBuffer{budget: config.Budget, maxBytes: config.MaxBufferedAnswer}, replaceable: replaceable,
		resuming: x.partForwarded, resumable: x.route.Resumable && x.route.Kind == table.Stream, runsOnce: !x.canRepeat(),
		lastEventID: x.lastEventID}
	x.sends++
	created := &attempt{forwarder: x.forwarder, pool: x.pool, target: chosen.target, chosen: chosen, sendNumber: x.sends, routingRequest: x.routingRequest,
		started: x.forwarder.config.Now(), call: x.newCall(chosen), answer: sink, requestMayFail: x.request.OnServerError != nil, permittedRun: x.permittedRun}
	if x.permittedRun = nil; created.permittedRun != nil {
		created.permittedRun.SetBackEnd(chosen.target.Instance, chosen.target.Address)
	}
	sink.mayReplace = func() bool { return created.mayFollowUp(kindRetry) }
	created.watchStart()
	created.watchBodyAccept()
	return created
}

// send sends the request to the chosen back end and evaluates the outcome. A repeatable request of a route with a target
// latency is hedged if the back end is slow to answer.
func (x *exchange) send(ctx context.Context, chosen choice) (*Failure, bool) {
	first := x.newAttempt(chosen, new(atomic.Pointer[answer]), x.canRepeat() && chosen.hasSpare && x.attemptsUsed+1 < int(x.route.MaxAttempts))
	if !first.answer.replaceable || x.partForwarded || x.route.TargetLatency <= 0 {
		first.run(ctx)
		return x.conclude(ctx, first)
	}
	return x.hedge(ctx, first)
}

// hedge runs an attempt, and a second one concurrently if the first has no usable answer within the hedge delay. The
// first whole answer wins and the other attempt is cancelled.
func (x *exchange) hedge(ctx context.Context, first *attempt) (failure *Failure, done bool) {
	raced, cancel := context.WithCancelCause(ctx)
	defer cancel(errOtherAttemptWon)
	ended := make(chan *attempt, 2)
	start := func(a *attempt) {
		go func() { a.runRecovered(raced); ended <- a }()
	}
	start(first)
	running := 1
	timer := time.NewTimer(max(x.route.TargetLatency*hedgeNumerator/hedgeDenominator, minHedgeDelay))
	defer timer.Stop()
	defer func() { releaseAnswers(ended, running) }()
	for {
		select {
		case <-timer.C:
			if second := x.chooseHedge(first); second != nil {
				x.logHedge(first, second)
				start(second)
				running++
			}
		case a := <-ended:
			running--
			failure, done = x.conclude(ctx, a)
			if done && (failure == nil || a.answerForwarded) || running == 0 {
				return failure, done
			}
		}
	}
}

// releaseAnswers releases the answer buffers of the attempts that are still running, once they have ended.
func releaseAnswers(ended <-chan *attempt, running int) {
	if running == 0 {
		return
	}
	go func() {
		for range running {
			(<-ended).answer.buffer.release()
		}
	}()
}

// chooseHedge returns an attempt at a second back end for a request whose first back end has not begun to answer, or sends
// a body that is still not whole. It returns nil if there is none. A suspect is not hedged, because it may run at only one
// back end at a time.
func (x *exchange) chooseHedge(first *attempt) *attempt {
	if first.answer.usable.Load() || !x.permitHedge() {
		x.returnRun(context.Background())
		return nil
	}
	excluded := append(append([]string(nil), x.triedBackends...), first.target.Instance)
	chosen, ok := x.drawBackend(excluded)
	if !ok {
		return nil
	}
	if !first.mayFollowUp(kindHedge) {
		x.releaseChoice(chosen)
		return nil
	}
	first.answer.hedged.Store(true)
	return x.newAttempt(chosen, first.answer.owner, false)
}

// watchStart calls Config.OnRunStarted as soon as the answer's head shows that the request runs. A long stream ends
// much later.
func (a *attempt) watchStart() {
	if a.forwarder.config.OnRunStarted == nil {
		return
	}
	admit := a.call.Admit
	a.call.Admit = func() error {
		a.sentAt = a.forwarder.config.Now()
		return admit()
	}
	a.answer.onHead = func(stream bool) {
		if stream {
			a.reportStart(a.forwarder.config.Now())
			return
		}
		a.reportStart(a.sentAt)
	}
}

// reportStart calls Config.OnRunStarted unless that was done already.
func (a *attempt) reportStart(at time.Time) {
	if a.startReported || a.forwarder.config.OnRunStarted == nil {
		return
	}
	a.startReported = true
	a.forwarder.config.OnRunStarted(a.call.Tenant, at)
}

// runRecovered is run for a goroutine of its own. A panic in it becomes the failure of the attempt.
func (a *attempt) runRecovered(ctx context.Context) {
	err := recovery.Do(a.forwarder.config.Log, a.call.AttemptID, "attempt", func() { a.run(ctx) })
	if err != nil {
		a.outcome = replica.Outcome{Verdict: verdict.MayHaveRun, Err: err}
	}
}

// run sends the request and receives the answer.
func (a *attempt) run(ctx context.Context) {
	ctx, stop := a.pool.trackSend(ctx, a)
	defer stop()
	a.outcome = a.forwarder.config.Caller.Do(ctx, a.call, a.answer)
	if !a.outcome.Complete {
		a.answer.buffer.release() // a partial answer is useless
	}
	if a.outcome.Err != nil && errors.Is(context.Cause(ctx), errRestarted) {
		a.outcome.Err = errRestarted
	}
	if a.outcome.Verdict != verdict.DidNotRun {
		a.reportStart(a.sentAt)
	}
	a.crashedBySum = a.recordCrash()
	a.endRun(ctx)
	a.reportedHealth = a.assessHealth(ctx)
	a.pool.endBody(a.forwarder.now(), a.chosen.largeBody, a.outcome.Complete)
	changed := a.pool.endSend(a.forwarder.now(), a.target.Instance, &a.routingRequest, a.reportedHealth, a.loadObservation())
	a.forwarder.metrics.countSend(a, a.forwarder.config.Now().Sub(a.started))
	a.logHealthChange(changed)
}

// loadObservation returns the load that the back end reported with its answer, or nil if it reported none.
func (a *attempt) loadObservation() *loadreport.Observation {
	if a.outcome.Load == nil {
		return nil
	}
	observed := &loadreport.Observation{Report: *a.outcome.Load, Seen: a.outcome.Answered.Sub(a.forwarder.start), Source: loadreport.FromAnswer}
	if a.outcome.Verdict == verdict.DidNotRun {
		observed.Source = loadreport.FromRefusal
	}
	return observed
}

// assessHealth derives the back end's health from the outcome of the attempt.
func (a *attempt) assessHealth(ctx context.Context) health {
	outcome := &a.outcome
	switch {
	case outcome.Complete && outcome.Status < 500:
		return healthGood
	case a.requestMayFail && a.isServerFailure():
		return healthDoubtful
	case outcome.Refused == replica.RefusedWrongTarget:
		return healthLeaving
	case errors.As(outcome.Err, new(unprovenRefusal)) && outcome.Status < http.StatusInternalServerError:
		return healthGood // as for any other answer with such a status
	case outcome.Refused == replica.RefusedFull, errors.Is(outcome.Err, errTableChanged), errors.Is(outcome.Err, errNoLease),
		errors.Is(outcome.Err, errCallerGone), errors.Is(outcome.Err, errOtherAttemptWon):
		return healthNeutral
	case errors.Is(context.Cause(ctx), errOtherAttemptWon):
		if a.answer.replaceable && !a.answer.headReceived.Load() {
			return healthSlow // the first attempt lost to its hedge
		}
		return healthNeutral
	case ctx.Err() != nil:
		return healthNeutral
	}
	return healthBad
}

// isServerFailure reports whether the back end ran the request and answered status 500.
func (a *attempt) isServerFailure() bool {
	return a.outcome.Status == http.StatusInternalServerError && a.outcome.Refused == replica.RefusedNone
}

func (x *exchange) newCall(chosen choice) *replica.Call {
	return &replica.Call{Target: chosen.target, AttemptID: x.request.AttemptID, Method: x.request.Method,
		Path: x.request.Path, Host: x.request.Host, Header: x.request.Header, Body: x.request.Body,
		Tenant:   x.tenantName,
		Deadline: max(x.remaining(), time.Millisecond), Urgency: -1, ResumeAfter: x.lastEventID,
		MaxConnections: chosen.maxConnections,
		Admit:          func() error { return x.checkLease(chosen.version) }}
}

// conclude forwards a whole answer, or decides how to continue without one.
func (x *exchange) conclude(ctx context.Context, a *attempt) (*Failure, bool) {
	if x.request.OnServerError != nil && a.isServerFailure() {
		x.request.OnServerError(a.target.Instance)
	}
	if !a.outcome.Complete {
		x.logAttempt(a)
		return x.decideNext(ctx, a)
	}
	err := a.answer.finish()
	switch {
	case errors.Is(err, errOtherAttemptWon):
		return nil, false // the other attempt's answer is being forwarded
	case err != nil:
		x.mayHaveRun, a.answerForwarded = true, true
		return x.newFailure(ctx, Broken, err), true
	}
	x.answeredBy, x.status = a, a.outcome.Status
	return nil, true
}

// decideNext decides how to continue after an attempt that returned no whole answer. done is false if another attempt
// may follow.
func (x *exchange) decideNext(ctx context.Context, a *attempt) (*Failure, bool) {
	outcome := &a.outcome
	if a.isUnsent() {
		x.reclaimRun(a)
		return x.retryOnNewTable(ctx, outcome.Err)
	}
	x.lastErr = outcome.Err
	x.triedBackends = append(x.triedBackends, a.target.Instance)
	if outcome.Verdict == verdict.DidNotRun {
		if outcome.Refused == replica.RefusedFull && !errors.Is(outcome.Err, replica.ErrConnections) {
			x.attemptsUsed++
		}
		return nil, false
	}
	x.attemptsUsed++
	x.mayHaveRun = true
	if !a.answer.replacementPermitted {
		x.retryPending = a
	}
	if a.answerForwarded = a.answer.owner.Load() == a.answer; a.answerForwarded {
		x.partForwarded, x.lastEventID = true, a.answer.lastEventID
	}
	switch {
	case errors.Is(outcome.Err, errCallerGone), !x.canRepeat():
		return x.newFailure(ctx, Broken, outcome.Err), true
	case a.answerForwarded && (!a.answer.resumable || a.answer.lastEventID < 0):
		return x.newFailure(ctx, Cut, outcome.Err), true
	}
	return nil, false
}

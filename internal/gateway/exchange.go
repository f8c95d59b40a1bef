package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// exchange drives the dispatch machine of one request. It runs on the goroutine of the caller's connection. Ledger
// commands that remain after the caller was answered run on a separate goroutine.
type exchange struct {
	server     *Server
	call       *call
	pool       *pool
	machine    *dispatch.Machine
	id         uint64
	claimGroup uint32 // ledger group of the idempotency key

	arrived      time.Duration
	deadline     time.Duration
	wallDeadline time.Time // the deadline as wall-clock time, for connections
	priority     int       // rank of the request's class in the pool's class order; 0 is the first

	pendingEvents   []dispatch.Event  // not yet given to the machine
	arrivedDraining bool              // the request arrived while the gateway was draining
	bodyUnread      bool              // the caller's body was not read to its end
	deferredActions []dispatch.Action // blocking actions to perform after the caller was answered
	machineFinished bool              // the machine has no work left

	routingRequest   routing.Request
	chosen           choice
	run              *poisonguard.Run // permitted run of the request; nil without one, or when no guard is configured
	countedAtBackend bool             // the request is counted as in flight at the chosen back end
	sendCount        int              // dispatches made so far

	admissionDecisions chan admissionDecision
	preempted          atomic.Bool            // admission wants the slot back
	abandoned          atomic.Bool            // the chosen back end stopped responding, and the request is to be moved
	backendName        atomic.Pointer[string] // name of the chosen back end, for the pool; nil without one
	notReplayable      atomic.Bool            // part of the answer is no longer held, so that the request cannot be replayed
	upstreamMutex      sync.Mutex             // guards upstream against preempt and abandonBackend
	upstream           *upstream
	streamID           string

	outcome  dispatch.Outcome
	answered bool
	stages   stages
	caller   *fasthttp.RequestCtx // valid until Close
	stream   streamState
}

// newExchange creates the exchange of a request. p may be nil for a request that will be refused.
func (s *Server) newExchange(ctx *fasthttp.RequestCtx, c *call, p *pool) *exchange {
	x := &exchange{server: s, call: c, pool: p, id: s.nextID.Add(1), admissionDecisions: make(chan admissionDecision, 2),
		arrived: s.now(), caller: ctx}
	timeout := c.timeout
	if p != nil {
		row := p.tableRow()
		if timeout == 0 || timeout > maxDeadline {
			timeout = row.Deadline
		}
		x.priority = classRank(row.ClassOrder, c.class)
	}
	if timeout == 0 {
		timeout = defaultDeadline
	}
	x.deadline = x.arrived + timeout
	x.wallDeadline = time.Now().Add(timeout)
	if c.pacedRemainder != nil {
		c.pacedRemainder.deadline = x.wallDeadline
	}
	x.routingRequest = routing.Request{Work: c.estimateWork(), Urgent: c.class != ClassRollout, Blocks: c.prefixBlocks}
	x.machine = dispatch.New(x.dispatchRequest(), &s.dispatch)
	return x
}

const (
	defaultDeadline = time.Minute
	maxDeadline     = 24 * time.Hour
)

// classRank returns the position of a class in the pool's class order. An unknown class ranks after all others.
func classRank(order []string, class string) int {
	for rank, name := range order {
		if name == class {
			return rank
		}
	}
	return len(order)
}

// dispatchRequest describes the call to the machine. The ledger ticket is taken here, when the request arrives.
func (x *exchange) dispatchRequest() dispatch.Request {
	c := x.call
	request := dispatch.Request{
		Attempt: x.server.attemptPrefix + strconv.FormatUint(x.id, 10), Owner: x.server.config.Control.Owner(),
		Repeatable: c.repeatable, Streamed: c.fields.Stream, Replayable: c.isBuffered(),
		Continuable: c.service == table.Engine && c.fields.Stream && c.fields.N <= 1,
		FirstToken:  uint64(c.fields.PrefixTokens), Deadline: x.deadline,
	}
	if !c.repeatable && c.key != "" {
		request.Key = c.pool + "/" + c.key
		request.BodyHash = c.hashBody()
		x.claimGroup = x.server.config.Control.ClaimGroup(request.Key)
		request.Ticket = x.server.config.Control.LearnedIndex(x.claimGroup)
	}
	return request
}

// queueEvent queues an event for the machine.
func (x *exchange) queueEvent(event dispatch.Event) { x.pendingEvents = append(x.pendingEvents, event) }

// drive runs the machine until the caller is answered or no events are left, which is also the case while a stream
// is being read.
func (x *exchange) drive() {
	for len(x.pendingEvents) > 0 && !x.answered {
		event := x.pendingEvents[0]
		x.pendingEvents = x.pendingEvents[1:]
		x.step(&event)
		x.checkDeadline()
	}
	if x.answered && !x.machineFinished {
		x.settleInBackground()
	}
}

// checkDeadline delivers a passed deadline to the machine ahead of the queued events.
func (x *exchange) checkDeadline() {
	if x.answered || x.machineFinished || x.server.now() < x.deadline {
		return
	}
	if len(x.pendingEvents) > 0 && x.pendingEvents[0].Kind == dispatch.Completed {
		return // the answer has already arrived
	}
	x.step(&dispatch.Event{Kind: dispatch.DeadlinePassed})
}

// step delivers one event to the machine and performs the resulting actions. Blocking actions after a Reply are
// deferred until the caller has its answer.
func (x *exchange) step(event *dispatch.Event) {
	actions := x.machine.Step(x.server.now(), event)
	if event.Kind == dispatch.CallerGone && x.machine.Replied() && !x.answered {
		x.answered, x.outcome = true, dispatch.Outcome{Status: statusCallerGone, Code: CodeCallerGone}
	}
	for i := range actions {
		if x.answered && !isNonBlocking(actions[i].Kind) {
			x.deferredActions = append(x.deferredActions, actions[i])
			continue
		}
		x.perform(&actions[i])
	}
}

// statusCallerGone is the status that metrics and logs record for a request whose caller disconnected. It is never
// sent.
const statusCallerGone = 499

// isNonBlocking reports whether an action never blocks.
func isNonBlocking(kind dispatch.ActionKind) bool {
	return kind == dispatch.FreeSlot || kind == dispatch.Cancel || kind == dispatch.Finish || kind == dispatch.Reply
}

func (x *exchange) perform(action *dispatch.Action) {
	switch action.Kind {
	case dispatch.Admit:
		x.admit()
	case dispatch.FreeSlot:
		x.pool.releaseSlot(x.server.now(), x.id)
	case dispatch.Claim:
		x.claim(action.Claim)
	case dispatch.Choose:
		x.choose(action.Excluded)
	case dispatch.Send, dispatch.Resume, dispatch.Replay:
		x.send(action)
	case dispatch.Cancel:
		x.cancel()
	case dispatch.Forward:
		x.forward()
	case dispatch.Reply:
		x.reply(action.Outcome)
	case dispatch.Wait:
		time.Sleep(action.Pause)
		x.queueEvent(dispatch.Event{Kind: dispatch.TimerFired})
	case dispatch.Finish:
		x.endRun(poisonguard.NotRun)
		x.machineFinished = true
	}
}

// admit waits for a slot of the pool.
func (x *exchange) admit() {
	began := x.server.now()
	defer func() { x.stages.add(stageQueue, x.server.now()-began) }()
	resumed := x.preempted.Swap(false)
	until := x.pool.requestSlot(began, x, admission.Request{ID: x.id, Class: x.call.class, Rollout: x.call.class == ClassRollout,
		Deadline: x.deadline, Preemptible: x.call.repeatable && x.call.isBuffered(), Resumed: resumed})
	answer := x.awaitAdmission(until)
	if answer.granted && !x.stream.opened && x.server.now()-began > callerCheckWait && isCallerGone(x.caller.Conn()) {
		x.queueEvent(dispatch.Event{Kind: dispatch.Admitted})
		x.queueEvent(dispatch.Event{Kind: dispatch.CallerGone})
		return
	}
	if answer.granted {
		x.queueEvent(dispatch.Event{Kind: dispatch.Admitted})
		return
	}
	x.pool.withdraw(x.server.now(), x.id)
	x.queueEvent(dispatch.Event{Kind: dispatch.Refused, Status: http.StatusServiceUnavailable, Code: CodeOverloaded,
		Reason: answer.refusal.Reason.String(), RetryAfter: answer.refusal.RetryAfter})
}

// callerCheckWait is the queueing time after which the gateway checks whether the caller is still connected before
// it starts work for it.
const callerCheckWait = 10 * time.Millisecond

// awaitAdmission waits for the queue's decision and expires the request's place in the queue at until.
func (x *exchange) awaitAdmission(until time.Duration) admissionDecision {
	select {
	case answer := <-x.admissionDecisions:
		return answer
	default:
	}
	timer := time.NewTimer(until - x.server.now())
	defer timer.Stop()
	select {
	case answer := <-x.admissionDecisions:
		return answer
	case <-timer.C:
		x.pool.expireWait(x.server.now(), x.id)
		return <-x.admissionDecisions
	}
}

// preempt interrupts the wait for the back end so that the request gives its slot back. The pool calls it.
func (x *exchange) preempt() {
	if x.notReplayable.Load() {
		return
	}
	x.preempted.Store(true)
	x.upstreamMutex.Lock()
	defer x.upstreamMutex.Unlock()
	if x.upstream != nil {
		_ = x.upstream.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// choose selects a back end.
func (x *exchange) choose(excluded []string) {
	x.releaseBackend(outcomeNeutral)
	x.abandoned.Store(false)
	if !x.beginRun() {
		return
	}
	chosen, ok := x.pool.choose(x.server.now(), &x.routingRequest, excluded, x.call.preferred)
	x.chosen = chosen
	if !ok {
		x.queueEvent(dispatch.Event{Kind: dispatch.NoBackend})
		return
	}
	x.countedAtBackend = true
	if x.run != nil {
		x.run.SetBackEnd(chosen.name, chosen.address)
	}
	x.backendName.Store(&chosen.name)
	x.queueEvent(dispatch.Event{Kind: dispatch.BackendChosen, Backend: chosen.name})
}

// releaseBackend ends the request at the chosen back end and reports the result to routing. Further calls for the
// same send have no effect.
func (x *exchange) releaseBackend(result sendOutcome) {
	if x.countedAtBackend {
		x.countedAtBackend = false
		x.backendName.Store(nil)
		x.pool.recordEnd(x.server.now(), x.chosen.name, &x.routingRequest, result)
	}
}

// claim executes a ledger command. After the caller was answered, the command first waits for the settlement
// limiter.
func (x *exchange) claim(action dispatch.ClaimAction) {
	if x.answered {
		if !x.server.settlementLimiter.acquire(x.server.context, x.claimGroup, x.id, action.Kind) {
			return
		}
		defer func() {
			last := x.pendingEvents[len(x.pendingEvents)-1]
			x.server.settlementLimiter.release(x.claimGroup, last.Kind == dispatch.ClaimAnswered)
		}()
	}
	x.executeWithTimeout(action)
}

// executeWithTimeout executes a ledger command within ClaimTimeout, and within the request's deadline while its
// caller waits, and queues the resulting event.
func (x *exchange) executeWithTimeout(action dispatch.ClaimAction) {
	began := x.server.now()
	limit := x.server.config.ClaimTimeout
	if !x.answered {
		if remaining := x.deadline - began; remaining > 0 {
			limit = min(limit, remaining)
		}
	}
	ctx, cancel := context.WithTimeout(x.server.context, limit)
	defer cancel()
	result := x.executeClaim(ctx, action)
	if !x.answered {
		x.stages.add(stageClaim, x.server.now()-began)
	}
	if result == nil {
		x.queueEvent(dispatch.Event{Kind: dispatch.ClaimUnknown})
		return
	}
	x.queueEvent(dispatch.Event{Kind: dispatch.ClaimAnswered, Claim: result})
}

// executeClaim returns nil if it is unknown whether the command was applied.
func (x *exchange) executeClaim(ctx context.Context, action dispatch.ClaimAction) *wire.ClaimResult {
	control := x.server.config.Control
	if action.Kind == dispatch.ClaimQuery {
		view, err := control.Query(ctx, x.claimGroup, &wire.Query{Kind: &wire.Query_Claim{Claim: &wire.ClaimQuery{Key: x.machine.Request().Key}}})
		if err != nil {
			return nil
		}
		return view.GetClaim()
	}
	if action.Answer != nil && len(action.Answer.Body) > x.server.config.StoredAnswerBytes {
		action.Answer = nil
	}
	command := x.machine.Request().Command(action, time.Now().UnixMilli())
	result, err := control.Execute(ctx, x.claimGroup, command)
	if err != nil {
		return nil
	}
	return result.GetClaim()
}

// settleInBackground executes the remaining ledger commands after the caller was answered.
func (x *exchange) settleInBackground() {
	x.server.settlements.Add(1)
	x.server.inFlight.Add(1)
	go func() {
		defer x.server.inFlight.Add(-1)
		defer x.server.settlements.Add(-1)
		for !x.machineFinished && x.server.context.Err() == nil {
			pending := x.deferredActions
			x.deferredActions = nil
			for i := range pending {
				x.perform(&pending[i])
			}
			events := x.pendingEvents
			x.pendingEvents = nil
			for i := range events {
				x.step(&events[i])
			}
			if len(x.deferredActions) == 0 && len(x.pendingEvents) == 0 {
				break
			}
		}
	}()
}

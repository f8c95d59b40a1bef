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

// exchange drives one request's machine. It runs on the goroutine of the caller's connection; once the
// caller is answered, what the ledger still has to hear is settled on a goroutine of its own.
type exchange struct {
	server  *Server
	call    *call
	pool    *pool
	machine *dispatch.Machine
	id      uint64
	group   uint32

	arrived   time.Duration
	deadline  time.Duration
	wallLimit time.Time // the deadline on the wall clock, for connections
	priority  int

	events []dispatch.Event  // not yet given to the machine
	late   bool              // it arrived while the gateway drains
	unread bool              // the caller's body was not read
	rest   []dispatch.Action // to be done after the caller has its answer
	ended  bool              // the machine needs nothing more

	routed  routing.Request
	chosen  choice
	run     *poisonguard.Run // permitted, and under way once it is sent; nil: none, or nobody permits runs
	routing bool             // the request is counted at the chosen back end
	sends   int

	admission chan admissionAnswer
	yield     atomic.Bool
	abandoned atomic.Bool            // the chosen back end answers nothing any more
	at        atomic.Pointer[string] // name of the chosen back end; nil without one
	pinned    atomic.Bool            // the answer so far is not held, so that it cannot be replayed
	upMutex   sync.Mutex             // guards up against askToYield
	up        *upstream
	streamID  string

	outcome  dispatch.Outcome
	answered bool
	stages   stages
	caller   *fasthttp.RequestCtx // valid until Close
	stream   streamState
}

// newExchange prepares a request's life; pool may be nil for a request that is refused at once.
func (s *Server) newExchange(ctx *fasthttp.RequestCtx, c *call, p *pool) *exchange {
	x := &exchange{server: s, call: c, pool: p, id: s.nextID.Add(1), admission: make(chan admissionAnswer, 2),
		arrived: s.now(), caller: ctx}
	timeout := c.timeout
	if p != nil {
		row := p.settings()
		if timeout == 0 || timeout > maxDeadline {
			timeout = row.Deadline
		}
		x.priority = classRank(row.ClassOrder, c.class)
	}
	if timeout == 0 {
		timeout = defaultDeadline
	}
	x.deadline = x.arrived + timeout
	x.wallLimit = time.Now().Add(timeout)
	if c.paced != nil {
		c.paced.until = x.wallLimit
	}
	x.routed = routing.Request{Work: c.work(), Urgent: c.class != ClassRollout, Blocks: c.blocks}
	x.machine = dispatch.New(x.request(), &s.dispatch)
	return x
}

const (
	defaultDeadline = time.Minute
	maxDeadline     = 24 * time.Hour
)

func classRank(order []string, class string) int {
	for rank, name := range order {
		if name == class {
			return rank
		}
	}
	return len(order)
}

// request describes the call to the machine. The ticket is taken now, when the request arrives.
func (x *exchange) request() dispatch.Request {
	c := x.call
	request := dispatch.Request{
		Attempt: x.server.attemptPrefix + strconv.FormatUint(x.id, 10), Owner: x.server.config.Control.Owner(),
		Repeatable: c.repeatable, Streamed: c.fields.Stream, Replayable: c.whole(),
		Continuable: c.service == table.Engine && c.fields.Stream && c.fields.N <= 1,
		FirstToken:  uint64(c.fields.PrefixTokens), Deadline: x.deadline,
	}
	if !c.repeatable && c.key != "" {
		request.Key = c.pool + "/" + c.key
		request.BodyHash = c.bodyHash()
		x.group = x.server.config.Control.ClaimGroup(request.Key)
		request.Ticket = x.server.config.Control.Ticket(x.group)
	}
	return request
}

// feed queues an event for the machine.
func (x *exchange) feed(event dispatch.Event) { x.events = append(x.events, event) }

// drive runs the machine until the caller is answered, a stream of chunks is open, or nothing is left.
func (x *exchange) drive() {
	for len(x.events) > 0 && !x.answered {
		event := x.events[0]
		x.events = x.events[1:]
		x.step(&event)
		x.interrupt()
	}
	if x.answered && !x.ended {
		x.settle()
	}
}

// interrupt puts a passed deadline before the events that wait.
func (x *exchange) interrupt() {
	if x.answered || x.ended || x.server.now() < x.deadline {
		return
	}
	if len(x.events) > 0 && x.events[0].Kind == dispatch.Completed {
		return // the answer is here
	}
	x.step(&dispatch.Event{Kind: dispatch.DeadlinePassed})
}

// step gives one event to the machine and does what it asks for. Actions behind a Reply wait until the
// caller has its answer.
func (x *exchange) step(event *dispatch.Event) {
	actions := x.machine.Step(x.server.now(), event)
	if event.Kind == dispatch.CallerGone && x.machine.Replied() && !x.answered {
		x.answered, x.outcome = true, dispatch.Outcome{Status: statusCallerGone, Code: CodeCallerGone}
	}
	for i := range actions {
		if x.answered && !immediate(actions[i].Kind) {
			x.rest = append(x.rest, actions[i])
			continue
		}
		x.perform(&actions[i])
	}
}

// statusCallerGone is the status of metrics for a request whose caller did not wait; nobody reads it.
const statusCallerGone = 499

// immediate tells whether an action never blocks.
func immediate(kind dispatch.ActionKind) bool {
	return kind == dispatch.FreeSlot || kind == dispatch.Cancel || kind == dispatch.Finish || kind == dispatch.Reply
}

func (x *exchange) perform(action *dispatch.Action) {
	switch action.Kind {
	case dispatch.Admit:
		x.admit()
	case dispatch.FreeSlot:
		x.pool.done(x.server.now(), x.id)
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
		x.feed(dispatch.Event{Kind: dispatch.TimerFired})
	case dispatch.Finish:
		x.endRun(poisonguard.NotRun)
		x.ended = true
	}
}

// admit waits for a slot.
func (x *exchange) admit() {
	began := x.server.now()
	defer func() { x.stages.add(stageQueue, x.server.now()-began) }()
	resumed := x.yield.Swap(false)
	until := x.pool.arrive(began, x, admission.Request{ID: x.id, Class: x.call.class, Rollout: x.call.class == ClassRollout,
		Deadline: x.deadline, Preemptible: x.call.repeatable && x.call.whole(), Resumed: resumed})
	answer := x.awaitAdmission(until)
	if answer.granted && !x.stream.opened && x.server.now()-began > callerCheckWait && callerGone(x.caller.Conn()) {
		x.feed(dispatch.Event{Kind: dispatch.Admitted})
		x.feed(dispatch.Event{Kind: dispatch.CallerGone})
		return
	}
	if answer.granted {
		x.feed(dispatch.Event{Kind: dispatch.Admitted})
		return
	}
	x.pool.leave(x.server.now(), x.id)
	x.feed(dispatch.Event{Kind: dispatch.Refused, Status: http.StatusServiceUnavailable, Code: CodeOverloaded,
		Reason: answer.refusal.Reason.String(), RetryAfter: answer.refusal.RetryAfter})
}

// callerCheckWait is the wait in the queue after which it pays to look whether the caller is still there.
const callerCheckWait = 10 * time.Millisecond

func (x *exchange) awaitAdmission(until time.Duration) admissionAnswer {
	select {
	case answer := <-x.admission:
		return answer
	default:
	}
	timer := time.NewTimer(until - x.server.now())
	defer timer.Stop()
	select {
	case answer := <-x.admission:
		return answer
	case <-timer.C:
		x.pool.expire(x.server.now(), x.id)
		return <-x.admission
	}
}

// askToYield interrupts the wait for the back end, so that the slot can be given back. The pool calls it.
func (x *exchange) askToYield() {
	if x.pinned.Load() {
		return
	}
	x.yield.Store(true)
	x.upMutex.Lock()
	defer x.upMutex.Unlock()
	if x.up != nil {
		_ = x.up.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// choose picks a back end.
func (x *exchange) choose(excluded []string) {
	x.leaveBackend(outcomeNeutral)
	x.abandoned.Store(false)
	if !x.permit() {
		return
	}
	chosen, ok := x.pool.choose(x.server.now(), &x.routed, excluded, x.call.preferred)
	x.chosen = chosen
	if !ok {
		x.feed(dispatch.Event{Kind: dispatch.BackendNone})
		return
	}
	x.routing = true
	if x.run != nil {
		x.run.At(chosen.name, chosen.address)
	}
	x.at.Store(&chosen.name)
	x.feed(dispatch.Event{Kind: dispatch.BackendChosen, Backend: chosen.name})
}

// leaveBackend takes the request off the chosen back end, once.
func (x *exchange) leaveBackend(how outcome) {
	if x.routing {
		x.routing = false
		x.at.Store(nil)
		x.pool.ended(x.server.now(), x.chosen.name, &x.routed, how)
	}
}

// claim executes a ledger command. One behind the caller's back waits for its turn.
func (x *exchange) claim(action dispatch.ClaimAction) {
	if x.answered {
		if !x.server.settling.enter(x.server.context, x.group, x.id, action.Kind) {
			return
		}
		defer func() {
			last := x.events[len(x.events)-1]
			x.server.settling.leave(x.group, last.Kind == dispatch.ClaimAnswered)
		}()
	}
	x.executeInTime(action)
}

// executeInTime executes a ledger command within its time and feeds what came of it.
func (x *exchange) executeInTime(action dispatch.ClaimAction) {
	began := x.server.now()
	limit := x.server.config.ClaimTimeout
	if !x.answered {
		if left := x.deadline - began; left > 0 {
			limit = min(limit, left)
		}
	}
	ctx, cancel := context.WithTimeout(x.server.context, limit)
	defer cancel()
	result := x.executeClaim(ctx, action)
	if !x.answered {
		x.stages.add(stageClaim, x.server.now()-began)
	}
	if result == nil {
		x.feed(dispatch.Event{Kind: dispatch.ClaimUnknown})
		return
	}
	x.feed(dispatch.Event{Kind: dispatch.ClaimAnswered, Claim: result})
}

// executeClaim returns nil when the command's fate is unknown.
func (x *exchange) executeClaim(ctx context.Context, action dispatch.ClaimAction) *wire.ClaimResult {
	control := x.server.config.Control
	if action.Kind == dispatch.ClaimQuery {
		view, err := control.Query(ctx, x.group, &wire.Query{Kind: &wire.Query_Claim{Claim: &wire.ClaimQuery{Key: x.machine.Request().Key}}})
		if err != nil {
			return nil
		}
		return view.GetClaim()
	}
	if action.Answer != nil && len(action.Answer.Body) > x.server.config.StoredAnswerBytes {
		action.Answer = nil
	}
	command := x.machine.Request().Command(action, time.Now().UnixMilli())
	result, err := control.Execute(ctx, x.group, command)
	if err != nil {
		return nil
	}
	return result.GetClaim()
}

// settle does what is left for the ledger behind the caller's back.
func (x *exchange) settle() {
	x.server.settlements.Add(1)
	x.server.inFlight.Add(1)
	go func() {
		defer x.server.inFlight.Add(-1)
		defer x.server.settlements.Add(-1)
		for !x.ended && x.server.context.Err() == nil {
			pending := x.rest
			x.rest = nil
			for i := range pending {
				x.perform(&pending[i])
			}
			events := x.events
			x.events = nil
			for i := range events {
				x.step(&events[i])
			}
			if len(x.rest) == 0 && len(x.events) == 0 {
				break
			}
		}
	}()
}

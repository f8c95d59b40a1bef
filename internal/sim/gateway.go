package sim

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	claimTimeout = 2 * time.Second
	connectLimit = 300 * time.Millisecond
	// settlingLimit is low, so that runs reach it.
	settlingLimit = 4
)

// gateway takes callers' requests and drives one dispatch.Machine for each under its session's lease.
type gateway struct {
	*process
	fleet      *fleet
	rank       int
	client     *client
	session    *holderSession
	pool       *pool
	settings   dispatch.Settings
	exchanges  map[uint64]*exchange
	settling   map[uint32]*dispatch.Settlements // by ledger group
	idle       map[string][]*upstream
	nextID     uint64
	draining   bool
	knowsSince time.Duration // that it has had a table
}

func (f *fleet) newGateway(number int, zone string) *gateway {
	g := &gateway{process: f.world.newProcess(fmt.Sprintf("gateway-%d", number), zone), fleet: f, rank: number - 1}
	g.died = func() { f.restartLater(g.process) }
	f.gateways = append(f.gateways, g)
	return g
}

// launch starts the gateway with nothing remembered.
func (g *gateway) launch() {
	if g.up {
		return
	}
	g.start()
	g.client = g.fleet.newClient(g.process)
	g.exchanges, g.idle = map[uint64]*exchange{}, map[string][]*upstream{}
	g.settling = map[uint32]*dispatch.Settlements{}
	for group := uint32(1); group <= ledgerGroups; group++ {
		g.settling[group] = dispatch.NewSettlements(settlingLimit)
	}
	g.pool = g.newPool(applicationPool)
	g.settings = dispatch.Settings{Random: g.world.random.Float64, Budget: dispatch.NewRetryBudget(50, 50),
		Unsafe: g.world.mutation.dispatchUnsafe()}.WithDefaults()
	g.draining = false
	g.knowsSince = g.world.now
	g.poll()
	g.session = g.client.openSession(func(view *table.View) { g.pool.update(view) })
}

// listening tells whether callers can connect: a gateway binds its listener once it holds a lease and a table.
func (g *gateway) listening() bool { return g.up && g.session.everHeld && g.pool.row != nil }

func (g *gateway) owner() string {
	return wire.OwnerName(&wire.Member{Name: g.name, Incarnation: g.epoch})
}

// exchange is one request at a gateway; it does what gateway.exchange does, with events in place of
// blocking calls.
type exchange struct {
	gateway   *gateway
	call      *call
	id        uint64
	group     uint32
	machine   *dispatch.Machine
	arrivedAt time.Duration
	deadline  time.Duration
	answer    func(outcome dispatch.Outcome)

	events  []dispatch.Event
	busy    bool
	routed  routing.Request
	chosen  *backend
	version uint64 // table version of the choice
	counted bool
	sends   int
	settles dispatch.ClaimAction // waits for its turn
	up      *upstream
	early   bool // the lease was valid at the choice
}

// serve takes a caller's request.
func (g *gateway) serve(c *call, timeout time.Duration, answer func(dispatch.Outcome)) {
	if g.draining {
		answer(dispatch.Outcome{Status: 503, Verdict: verdict.DidNotRun, Code: "draining"})
		return
	}
	g.nextID++
	x := &exchange{gateway: g, call: c, id: g.nextID, arrivedAt: g.world.now, deadline: g.clock() + timeout, answer: answer,
		routed: routing.Request{Work: 1, Urgent: true}}
	g.exchanges[x.id] = x
	request := dispatch.Request{Attempt: fmt.Sprintf("%s/%d", g.owner(), x.id), Owner: g.owner(), Repeatable: c.repeatable,
		Replayable: true, Deadline: x.deadline}
	if c.key != "" {
		request.Key, request.BodyHash = c.key, []byte(c.body)
		x.group = state.LedgerGroup(c.key, ledgerGroups)
		request.Ticket = g.client.tickets[x.group]
	}
	x.machine = dispatch.New(request, &g.settings)
	g.after(timeout, func() { x.feed(dispatch.Event{Kind: dispatch.DeadlinePassed}) })
	x.feed(dispatch.Event{Kind: dispatch.Arrived})
}

// feed gives an event to the machine and does what it asks for.
func (x *exchange) feed(event dispatch.Event) {
	x.events = append(x.events, event)
	if x.busy {
		return
	}
	x.busy = true
	for len(x.events) > 0 {
		next := x.events[0]
		x.events = x.events[1:]
		actions := append([]dispatch.Action(nil), x.machine.Step(x.gateway.clock(), &next)...)
		for i := range actions {
			x.perform(&actions[i])
		}
	}
	x.busy = false
}

func (x *exchange) perform(action *dispatch.Action) {
	g := x.gateway
	switch action.Kind {
	case dispatch.Admit:
		x.admit()
	case dispatch.FreeSlot:
		g.pool.apply(g.pool.queue.Done(g.clock(), x.id))
	case dispatch.Claim:
		x.claim(action.Claim)
	case dispatch.Choose:
		x.choose(action.Excluded)
	case dispatch.Send, dispatch.Resume, dispatch.Replay:
		x.send(action)
	case dispatch.Cancel:
		x.drop()
		x.leaveBackend(false)
	case dispatch.Reply:
		x.reply(action.Outcome)
	case dispatch.Wait:
		g.after(action.Pause, func() { x.feed(dispatch.Event{Kind: dispatch.TimerFired}) })
	case dispatch.Finish:
		x.drop()
		delete(g.exchanges, x.id)
	}
}

func (x *exchange) admit() {
	g := x.gateway
	effects, until := g.pool.queue.Arrive(g.clock(), admission.Request{ID: x.id, Class: "live", Deadline: x.deadline})
	g.pool.apply(effects)
	if wait := until - g.clock(); wait > 0 {
		g.after(wait, func() { g.pool.apply(g.pool.queue.Expire(g.clock(), x.id)) })
	}
}

func (x *exchange) granted() { x.feed(dispatch.Event{Kind: dispatch.Admitted}) }

func (x *exchange) refused(refusal admission.Refusal) {
	x.feed(dispatch.Event{Kind: dispatch.Refused, Status: 503, Code: "overloaded", Reason: refusal.Reason.String(),
		RetryAfter: refusal.RetryAfter})
}

// claim executes a ledger command. One behind the caller's back waits for its turn.
func (x *exchange) claim(action dispatch.ClaimAction) {
	settling := x.gateway.settling[x.group]
	if !x.machine.Replied() {
		x.executeClaim(action, func(bool) {})
		return
	}
	x.settles = action
	if settling.Ask(x.id, action.Kind) {
		x.settle()
	}
}

// settle executes a ledger command whose turn has come.
func (x *exchange) settle() {
	g := x.gateway
	x.executeClaim(x.settles, func(answered bool) {
		for _, id := range g.settling[x.group].Done(answered) {
			g.exchanges[id].settle()
		}
	})
}

// executeClaim executes a ledger command; over is told first whether it was answered.
func (x *exchange) executeClaim(action dispatch.ClaimAction, over func(answered bool)) {
	g := x.gateway
	request := &wire.ExecuteRequest{Group: x.group}
	if action.Kind == dispatch.ClaimQuery {
		request.Query = &wire.Query{Kind: &wire.Query_Claim{Claim: &wire.ClaimQuery{Key: x.machine.Request().Key}}}
	} else {
		request.Command = x.machine.Request().Command(action, g.world.unixMillis())
	}
	limit := claimTimeout
	if left := x.deadline - g.clock(); left > 0 && !x.machine.Replied() {
		limit = min(limit, left)
	}
	answered := g.world.history.claiming(x.machine.Request(), &action)
	g.client.execute(request, limit, func(reply *wire.ExecuteReply) {
		over(reply != nil)
		if reply == nil {
			g.tracef("hears nothing from the ledger on call %s", x.call.id)
			x.feed(dispatch.Event{Kind: dispatch.ClaimUnknown})
			return
		}
		result := reply.GetResult().GetClaim()
		if action.Kind == dispatch.ClaimQuery {
			result = reply.GetView().GetClaim()
		}
		answered(result)
		g.tracef("hears from the ledger on call %s: %v", x.call.id, result.GetState())
		x.feed(dispatch.Event{Kind: dispatch.ClaimAnswered, Claim: result})
	})
}

func (x *exchange) choose(excluded []string) {
	x.leaveBackend(false)
	_, x.early = x.gateway.session.admit()
	chosen, ok := x.gateway.pool.choose(&x.routed, excluded)
	x.version = x.gateway.pool.version
	if !ok {
		x.feed(dispatch.Event{Kind: dispatch.BackendNone})
		return
	}
	x.chosen, x.counted = chosen, true
	x.feed(dispatch.Event{Kind: dispatch.BackendChosen, Backend: chosen.name})
}

// leaveBackend takes the request off the chosen back end, once.
func (x *exchange) leaveBackend(failed bool) {
	if !x.counted {
		return
	}
	x.counted = false
	g := x.gateway
	g.pool.replicas.Ended(x.chosen.name, &x.routed, g.clock())
	if failed {
		g.pool.replicas.Failed(x.chosen.name, g.clock())
	}
}

func (x *exchange) reply(outcome dispatch.Outcome) {
	x.leaveBackend(false)
	x.gateway.world.truth.answered(x, &outcome)
	x.answer(outcome)
}

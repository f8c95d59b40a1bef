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
	claimTimeout   = 2 * time.Second
	connectTimeout = 300 * time.Millisecond
	// settlementLimit is low so that runs reach it.
	settlementLimit = 4
)

// gateway serves callers' requests and drives one dispatch.Machine for each, under the lease of its session.
type gateway struct {
	*process
	fleet       *fleet
	rank        int
	client      *client
	session     *holderSession
	pool        *pool
	settings    dispatch.Settings
	exchanges   map[uint64]*exchange
	settlements map[uint32]*dispatch.SettlementLimiter // by ledger group
	idle        map[string][]*upstream                 // idle connections, by back end
	nextID      uint64
	draining    bool
	tableSince  time.Duration // since when it has had a table
}

func (f *fleet) newGateway(number int, zone string) *gateway {
	g := &gateway{process: f.world.newProcess(fmt.Sprintf("gateway-%d", number), zone), fleet: f, rank: number - 1}
	g.onDeath = func() { f.restartLater(g.process) }
	f.gateways = append(f.gateways, g)
	return g
}

// launch starts the gateway without any state of earlier runs, unless it is up.
func (g *gateway) launch() {
	if g.up {
		return
	}
	g.start()
	g.client = g.fleet.newClient(g.process)
	g.exchanges, g.idle = map[uint64]*exchange{}, map[string][]*upstream{}
	g.settlements = map[uint32]*dispatch.SettlementLimiter{}
	for group := uint32(1); group <= ledgerGroups; group++ {
		g.settlements[group] = dispatch.NewSettlementLimiter(settlementLimit)
	}
	g.pool = g.newPool(applicationPool)
	g.settings = dispatch.Settings{Random: g.world.random.Float64, Budget: dispatch.NewRetryBudget(50, 50),
		Unsafe: g.world.mutation.dispatchUnsafe()}.WithDefaults()
	g.draining = false
	g.tableSince = g.world.now
	g.pollLoads()
	g.session = g.client.openSession(func(view *table.View) { g.pool.update(view) })
}

// isListening reports whether callers can connect. A gateway binds its listener once it holds a lease and a table.
func (g *gateway) isListening() bool { return g.up && g.session.everLeased && g.pool.tableRow != nil }

func (g *gateway) owner() string {
	return wire.OwnerName(&wire.Member{Name: g.name, Incarnation: g.epoch})
}

// exchange is one request at a gateway. It follows gateway.exchange, with events in place of blocking calls.
type exchange struct {
	gateway   *gateway
	call      *call
	id        uint64
	group     uint32
	machine   *dispatch.Machine
	arrivedAt time.Duration
	deadline  time.Duration
	answer    func(outcome dispatch.Outcome)

	events           []dispatch.Event
	handlingEvents   bool
	routing          routing.Request
	chosen           *backend
	chosenVersion    uint64 // table version under which the back end was chosen
	countedAtBackend bool   // the pool counts the request at the chosen back end
	sendCount        int
	deferredClaim    dispatch.ClaimAction // waits for its turn in settlements
	connection       *upstream
	leasedAtChoice   bool // the lease was valid when the back end was chosen
}

// serve handles a caller's request, which must be answered within timeout.
func (g *gateway) serve(c *call, timeout time.Duration, answer func(dispatch.Outcome)) {
	if g.draining {
		answer(dispatch.Outcome{Status: 503, Verdict: verdict.DidNotRun, Code: "draining"})
		return
	}
	g.nextID++
	x := &exchange{gateway: g, call: c, id: g.nextID, arrivedAt: g.world.now, deadline: g.clock() + timeout, answer: answer,
		routing: routing.Request{Work: 1, Urgent: true}}
	g.exchanges[x.id] = x
	request := dispatch.Request{Attempt: fmt.Sprintf("%s/%d", g.owner(), x.id), Owner: g.owner(), Repeatable: c.repeatable,
		Replayable: true, Deadline: x.deadline}
	if c.key != "" {
		request.Key, request.BodyHash = c.key, []byte(c.body)
		x.group = state.LedgerGroup(c.key, ledgerGroups)
		request.Ticket = g.client.tickets[x.group]
	}
	x.machine = dispatch.New(request, &g.settings)
	g.after(timeout, func() { x.handleEvent(dispatch.Event{Kind: dispatch.DeadlinePassed}) })
	x.handleEvent(dispatch.Event{Kind: dispatch.Arrived})
}

// handleEvent passes an event to the dispatch machine and performs the actions that it returns.
func (x *exchange) handleEvent(event dispatch.Event) {
	x.events = append(x.events, event)
	if x.handlingEvents {
		return
	}
	x.handlingEvents = true
	for len(x.events) > 0 {
		next := x.events[0]
		x.events = x.events[1:]
		actions := append([]dispatch.Action(nil), x.machine.Step(x.gateway.clock(), &next)...)
		for i := range actions {
			x.perform(&actions[i])
		}
	}
	x.handlingEvents = false
}

func (x *exchange) perform(action *dispatch.Action) {
	g := x.gateway
	switch action.Kind {
	case dispatch.Admit:
		x.admit()
	case dispatch.FreeSlot:
		g.pool.applyEffects(g.pool.queue.Done(g.clock(), x.id))
	case dispatch.Claim:
		x.claim(action.Claim)
	case dispatch.Choose:
		x.choose(action.Excluded)
	case dispatch.Send, dispatch.Resume, dispatch.Replay:
		x.send(action)
	case dispatch.Cancel:
		x.closeConnection()
		x.releaseBackend(false)
	case dispatch.Reply:
		x.reply(action.Outcome)
	case dispatch.Wait:
		g.after(action.Pause, func() { x.handleEvent(dispatch.Event{Kind: dispatch.TimerFired}) })
	case dispatch.Finish:
		x.closeConnection()
		delete(g.exchanges, x.id)
	}
}

func (x *exchange) admit() {
	g := x.gateway
	effects, until := g.pool.queue.Arrive(g.clock(), admission.Request{ID: x.id, Class: "live", Deadline: x.deadline})
	g.pool.applyEffects(effects)
	if wait := until - g.clock(); wait > 0 {
		g.after(wait, func() { g.pool.applyEffects(g.pool.queue.Expire(g.clock(), x.id)) })
	}
}

func (x *exchange) onAdmitted() { x.handleEvent(dispatch.Event{Kind: dispatch.Admitted}) }

func (x *exchange) onRejected(refusal admission.Refusal) {
	x.handleEvent(dispatch.Event{Kind: dispatch.Refused, Status: 503, Code: "overloaded", Reason: refusal.Reason.String(),
		RetryAfter: refusal.RetryAfter})
}

// claim executes a ledger command. A command after the caller was answered waits for its turn in settlements.
func (x *exchange) claim(action dispatch.ClaimAction) {
	settlements := x.gateway.settlements[x.group]
	if !x.machine.Replied() {
		x.executeClaim(action, func(bool) {})
		return
	}
	x.deferredClaim = action
	if settlements.TryAcquire(x.id, action.Kind) {
		x.settle()
	}
}

// settle executes a deferred ledger command whose turn has come.
func (x *exchange) settle() {
	g := x.gateway
	x.executeClaim(x.deferredClaim, func(answered bool) {
		for _, id := range g.settlements[x.group].Release(answered) {
			g.exchanges[id].settle()
		}
	})
}

// executeClaim executes a ledger command. done is called with whether the ledger answered, before the
// dispatch machine gets the event.
func (x *exchange) executeClaim(action dispatch.ClaimAction, done func(answered bool)) {
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
	recordResult := g.world.history.recordClaim(x.machine.Request(), &action)
	g.client.execute(request, limit, func(reply *wire.ExecuteReply) {
		done(reply != nil)
		if reply == nil {
			g.tracef("got no answer from the ledger for call %s", x.call.id)
			x.handleEvent(dispatch.Event{Kind: dispatch.ClaimUnknown})
			return
		}
		result := reply.GetResult().GetClaim()
		if action.Kind == dispatch.ClaimQuery {
			result = reply.GetView().GetClaim()
		}
		recordResult(result)
		g.tracef("got the ledger's answer for call %s: %v", x.call.id, result.GetState())
		x.handleEvent(dispatch.Event{Kind: dispatch.ClaimAnswered, Claim: result})
	})
}

func (x *exchange) choose(excluded []string) {
	x.releaseBackend(false)
	_, x.leasedAtChoice = x.gateway.session.admit()
	chosen, ok := x.gateway.pool.choose(&x.routing, excluded)
	x.chosenVersion = x.gateway.pool.version
	if !ok {
		x.handleEvent(dispatch.Event{Kind: dispatch.NoBackend})
		return
	}
	x.chosen, x.countedAtBackend = chosen, true
	x.handleEvent(dispatch.Event{Kind: dispatch.BackendChosen, Backend: chosen.name})
}

// releaseBackend stops counting the request at the chosen back end, if it is still counted.
func (x *exchange) releaseBackend(failed bool) {
	if !x.countedAtBackend {
		return
	}
	x.countedAtBackend = false
	g := x.gateway
	g.pool.replicas.Ended(x.chosen.name, &x.routing, g.clock())
	if failed {
		g.pool.replicas.Failed(x.chosen.name, g.clock())
	}
}

func (x *exchange) reply(outcome dispatch.Outcome) {
	x.releaseBackend(false)
	x.gateway.world.truth.recordAnswer(x, &outcome)
	x.answer(outcome)
}

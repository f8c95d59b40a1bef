package sim

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
)

// send makes one dispatch: a connection first, then the lease and the table version at the last moment
// before the first byte.
func (x *exchange) send(action *dispatch.Action) {
	g := x.gateway
	x.drop()
	x.sends++
	send, target, unchecked := x.sends, x.chosen, action.Unchecked
	x.connect(target, func(up *upstream) {
		if send != x.sends || x.machine.Replied() {
			if up != nil {
				g.release(up)
			}
			return
		}
		if up == nil {
			x.leaveBackend(true)
			x.feed(dispatch.Event{Kind: dispatch.SendFailed})
			return
		}
		x.dispatch(up, unchecked)
	})
}

const (
	slowConnectPart = 0.02
	slowestConnect  = 3 * time.Second
)

// connect takes an idle connection or opens one; it gives nil when the back end cannot be reached.
func (x *exchange) connect(target *backend, done func(*upstream)) {
	g := x.gateway
	idle := g.idle[target.name]
	for len(idle) > 0 {
		up := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		g.idle[target.name] = idle
		if !up.closed {
			done(up)
			return
		}
	}
	network := g.world.network
	reachable := target.up && !network.isCut(g.process, target.process) && !network.isCut(target.process, g.process)
	if !reachable {
		g.after(g.world.between(refusedDial, connectLimit), func() { done(nil) })
		return
	}
	epoch := target.epoch
	delay := 2 * network.delay(g.process, target.process)
	if !g.fleet.gentle && g.world.chance(slowConnectPart) {
		delay += g.world.between(time.Second, slowestConnect) // the first packet was lost and is sent again
	}
	g.after(delay, func() {
		up := &upstream{gateway: g, owner: g.thisRun(), backend: target, epoch: epoch}
		target.connections = append(target.connections, up)
		done(up)
	})
}

// release keeps a connection without a pending answer for the next request.
func (g *gateway) release(up *upstream) {
	up.user = nil
	if !up.closed {
		g.idle[up.backend.name] = append(g.idle[up.backend.name], up)
	}
}

func (x *exchange) dispatch(up *upstream, unchecked bool) {
	g := x.gateway
	version, leased := g.session.admit()
	if g.world.mutated(LeaseCheckedEarly) {
		leased, version = x.early, x.version
	}
	if !leased && !unchecked {
		g.release(up)
		x.feed(dispatch.Event{Kind: dispatch.LeaseLapsed})
		return
	}
	if version != x.version {
		g.release(up)
		x.feed(dispatch.Event{Kind: dispatch.TableMoved})
		return
	}
	up.user, x.up = x, up
	request := invocation{call: x.call, requestID: x.requestID(), arrival: x.machine.Request().Attempt, arrivedAt: x.arrivedAt, gateway: g.name}
	g.world.truth.dispatchedToLeaving(g, up.backend)
	g.world.truth.dispatched(g.process, "sends to "+x.chosen.name, version)
	g.tracef("sends %s of call %s to %s under table version %d", request.requestID, x.call.id, x.chosen.name, version)
	backend, epoch := up.backend, up.epoch
	g.world.network.once(g.process, backend.process, func() {
		if backend.epoch != epoch {
			up.reset() // the connection is of an earlier run
			return
		}
		backend.invoke(request, up)
	})
}

func (x *exchange) requestID() string {
	return fmt.Sprintf("%s/%d.%d", x.gateway.name, x.id, x.sends)
}

// receive takes a back end's answer from the connection in use.
func (x *exchange) receive(up *upstream, answer backendAnswer) {
	if x.up != up {
		return
	}
	foreign := answer.requestID != x.requestID()
	if foreign && !x.gateway.world.mutated(ReuseBusyConnection) {
		x.broken(up)
		return
	}
	x.up = nil
	x.gateway.release(up)
	x.leaveBackend(false)
	if answer.leaving && !x.gateway.world.mutated(IgnoreLeaving) {
		x.gateway.pool.replicas.RefusedLeaving(x.chosen.name, x.gateway.clock())
	}
	if answer.refused {
		x.feed(dispatch.Event{Kind: dispatch.RefusedByBackend, Status: 503})
		return
	}
	x.gateway.pool.replicas.Succeeded(x.chosen.name, x.gateway.clock())
	x.feed(dispatch.Event{Kind: dispatch.Completed, Answer: answer.answer})
}

// broken ends a send whose connection broke after the request was written.
func (x *exchange) broken(up *upstream) {
	if x.up != up {
		return
	}
	x.drop()
	x.leaveBackend(true)
	x.feed(dispatch.Event{Kind: dispatch.SendUnknown})
}

// drop closes the connection of a send that is over.
func (x *exchange) drop() {
	up := x.up
	if up == nil {
		return
	}
	x.up = nil
	if x.gateway.world.mutated(ReuseBusyConnection) {
		x.gateway.release(up)
		return
	}
	up.close()
}

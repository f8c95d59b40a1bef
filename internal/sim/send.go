package sim

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
)

// send sends the request once. It takes a connection first, and checks the lease and the table version at the last
// moment before the first byte.
func (x *exchange) send(action *dispatch.Action) {
	g := x.gateway
	x.closeConnection()
	x.sendCount++
	send, target, unchecked := x.sendCount, x.chosen, action.Unchecked
	x.connect(target, func(up *upstream) {
		if send != x.sendCount || x.machine.Replied() {
			if up != nil {
				g.release(up)
			}
			return
		}
		if up == nil {
			x.releaseBackend(true)
			x.handleEvent(dispatch.Event{Kind: dispatch.SendFailed})
			return
		}
		x.dispatch(up, unchecked)
	})
}

const (
	slowConnectProbability = 0.02
	maxRetransmitDelay     = 3 * time.Second
)

// connect takes an idle connection or opens one; done gets nil when the back end cannot be reached.
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
		g.after(g.world.randomDuration(refusedDialDelay, connectTimeout), func() { done(nil) })
		return
	}
	epoch := target.epoch
	delay := 2 * network.drawDelay(g.process, target.process)
	if !g.fleet.plannedOnly && g.world.randomBool(slowConnectProbability) {
		delay += g.world.randomDuration(time.Second, maxRetransmitDelay) // the first packet was lost and is retransmitted
	}
	g.after(delay, func() {
		up := &upstream{gateway: g, gatewayRun: g.currentRun(), backend: target, backendEpoch: epoch}
		target.connections = append(target.connections, up)
		done(up)
	})
}

// release returns a connection without an outstanding answer to the idle ones.
func (g *gateway) release(up *upstream) {
	up.user = nil
	if !up.closed {
		g.idle[up.backend.name] = append(g.idle[up.backend.name], up)
	}
}

func (x *exchange) dispatch(up *upstream, unchecked bool) {
	g := x.gateway
	version, leased := g.session.admit()
	if g.world.hasMutation(LeaseCheckedEarly) {
		leased, version = x.leasedAtChoice, x.chosenVersion
	}
	if !leased && !unchecked {
		g.release(up)
		x.handleEvent(dispatch.Event{Kind: dispatch.LeaseLapsed})
		return
	}
	if version != x.chosenVersion {
		g.release(up)
		x.handleEvent(dispatch.Event{Kind: dispatch.TableChanged})
		return
	}
	up.user, x.connection = x, up
	request := invocation{call: x.call, requestID: x.requestID(), attempt: x.machine.Request().Attempt, arrivedAt: x.arrivedAt, gateway: g.name}
	g.world.truth.checkLeavingBackend(g, up.backend)
	g.world.truth.checkDispatch(g.process, "sends to "+x.chosen.name, version)
	g.tracef("sends %s of call %s to %s under table version %d", request.requestID, x.call.id, x.chosen.name, version)
	backend, epoch := up.backend, up.backendEpoch
	g.world.network.sendOnce(g.process, backend.process, func() {
		if backend.epoch != epoch {
			up.reset() // the connection belongs to an earlier run of the back end
			return
		}
		backend.invoke(request, up)
	})
}

func (x *exchange) requestID() string {
	return fmt.Sprintf("%s/%d.%d", x.gateway.name, x.id, x.sendCount)
}

// receiveAnswer handles a back end's answer on the connection in use.
func (x *exchange) receiveAnswer(up *upstream, answer backendAnswer) {
	if x.connection != up {
		return
	}
	foreign := answer.requestID != x.requestID()
	if foreign && !x.gateway.world.hasMutation(ReuseBusyConnection) {
		x.handleConnectionBreak(up)
		return
	}
	x.connection = nil
	x.gateway.release(up)
	x.releaseBackend(false)
	if answer.leaving && !x.gateway.world.hasMutation(IgnoreLeaving) {
		x.gateway.pool.replicas.RecordLeavingRefusal(x.chosen.name, x.gateway.clock())
	}
	if answer.refused {
		x.handleEvent(dispatch.Event{Kind: dispatch.RefusedByBackend, Status: 503})
		return
	}
	x.gateway.pool.replicas.Succeeded(x.chosen.name, x.gateway.clock())
	x.handleEvent(dispatch.Event{Kind: dispatch.Completed, Answer: answer.answer})
}

// handleConnectionBreak ends a send whose connection broke after the request was written, so that its outcome is
// unknown.
func (x *exchange) handleConnectionBreak(up *upstream) {
	if x.connection != up {
		return
	}
	x.closeConnection()
	x.releaseBackend(true)
	x.handleEvent(dispatch.Event{Kind: dispatch.SendUnknown})
}

// closeConnection closes the connection in use, if any.
func (x *exchange) closeConnection() {
	up := x.connection
	if up == nil {
		return
	}
	x.connection = nil
	if x.gateway.world.hasMutation(ReuseBusyConnection) {
		x.gateway.release(up)
		return
	}
	up.close()
}

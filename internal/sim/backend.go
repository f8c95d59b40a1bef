package sim

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// invocation is a request as a back end receives it.
type invocation struct {
	call      *call
	requestID string        // assigned by the gateway to this send
	attempt   string        // attempt name that the gateway assigned to the caller's request
	arrivedAt time.Duration // when the caller's request reached the gateway
	gateway   string
}

// backendAnswer is a back end's answer to a request.
type backendAnswer struct {
	requestID string
	refused   bool // the request certainly did not run
	leaving   bool // refused because the back end is leaving
	answer    *wire.Answer
}

// backend is an application replica. It reports every execution to the ground truth.
type backend struct {
	*process
	fleet        *fleet
	connections  []*upstream
	leaving      bool
	leavingSince time.Duration // when it was last told to leave
}

func (f *fleet) newBackend(number int, zone string) *backend {
	b := &backend{process: f.world.newProcess(fmt.Sprintf("replica-%d", number), zone), fleet: f}
	b.onDeath = func() {
		lost := b.connections
		b.connections = nil
		for _, up := range lost {
			up.reset()
		}
		f.restartLater(b.process)
	}
	f.backends = append(f.backends, b)
	return b
}

const (
	minServiceTime             = 2 * time.Millisecond
	maxServiceTime             = 150 * time.Millisecond
	refusalProbability         = 0.03
	connectionBreakProbability = 0.02
)

// invoke runs a request, or refuses it before it runs.
func (b *backend) invoke(request invocation, up *upstream) {
	if b.leaving || b.world.randomBool(refusalProbability) {
		b.answer(up, backendAnswer{requestID: request.requestID, refused: true, leaving: b.leaving})
		return
	}
	b.world.truth.recordExecution(b, &request)
	service := b.world.randomDuration(minServiceTime, maxServiceTime)
	if !b.fleet.plannedOnly && b.world.randomBool(connectionBreakProbability) {
		b.after(service, up.reset) // the request ran, and the connection breaks before the answer
		return
	}
	b.after(service, func() {
		b.answer(up, backendAnswer{requestID: request.requestID,
			answer: &wire.Answer{Status: 200, ContentType: "text/plain", Body: []byte(request.call.answer())}})
	})
}

// startLeaving tells the replica to leave, as the platform does. From here on it takes no new work. After a while it
// dies, and the supervisor starts it again as a new run.
func (b *backend) startLeaving() bool {
	if !b.up || b.leaving {
		return false
	}
	b.leaving, b.leavingSince = true, b.world.now
	b.tracef("leaves")
	epoch := b.epoch
	b.world.after(b.world.randomDuration(minLeaveTime, maxLeaveTime), func() {
		if b.epoch == epoch {
			b.die()
		}
	})
	return true
}

const (
	minLeaveTime = 6 * time.Second
	maxLeaveTime = 15 * time.Second
)

// launch starts the replica unless it is up.
func (b *backend) launch() {
	if !b.up {
		b.start()
		b.leaving = false
	}
}

func (b *backend) answer(up *upstream, answer backendAnswer) {
	b.world.network.reply(b.process, up.gatewayRun, func() { up.receive(answer) })
}

// upstream is a gateway's connection to a back end.
type upstream struct {
	gateway      *gateway
	gatewayRun   run // run of the gateway that opened it
	backend      *backend
	backendEpoch uint64 // run of the back end that accepted it
	user         *exchange
	closed       bool
}

// receive passes an answer to the exchange that uses the connection.
func (u *upstream) receive(answer backendAnswer) {
	if u.closed || u.user == nil {
		return
	}
	u.user.receiveAnswer(u, answer)
}

// reset breaks the connection; the gateway learns of it unless it is cut off.
func (u *upstream) reset() {
	if u.closed {
		return
	}
	u.gateway.world.network.reply(u.backend.process, u.gatewayRun, func() {
		if u.closed {
			return
		}
		u.closed = true
		if u.user != nil {
			u.user.handleConnectionBreak(u)
		}
	})
}

// close closes the connection at the gateway.
func (u *upstream) close() { u.closed, u.user = true, nil }

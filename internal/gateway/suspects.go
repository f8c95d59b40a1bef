package gateway

import (
	"context"
	"fmt"
	"net"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// identity is what stays the same when the request comes again: neither its id nor its idempotency key, which name one arrival.
func (x *exchange) identity() poison.Identity {
	return poison.Identity{Host: x.call.pool, Path: x.call.path, Body: x.call.body}
}

// permit asks for one more run of the request; false: it must not run now, and the machine is told. A body that passes through and is
// not held can't be told from others, so such requests are not judged.
func (x *exchange) permit() bool {
	guard := x.server.config.Suspects
	if guard == nil || x.run != nil || !x.call.whole() {
		return true
	}
	run, judged := guard.Begin(x.server.context, x.identity)
	if x.run = run; run != nil {
		return true
	}
	x.feed(dispatch.Event{Kind: dispatch.Suspected, RetryAfter: judged.Left,
		Reason: fmt.Sprintf("%d back ends crashed under this request", judged.Crashes)})
	return false
}

// endRun tells the guard how the run ended, before the machine decides what follows.
func (x *exchange) endRun(ending poisonguard.Ending) {
	if x.run != nil {
		x.run.End(x.server.context, ending)
		x.run = nil
	}
}

// putOff ends a run that the lease or a newer table forbade before it was sent. A claimed one stays: its claim has changed the table.
func (x *exchange) putOff() {
	if x.run == nil {
		return
	}
	x.run.Leave()
	if !x.run.Claimed() {
		x.endRun(poisonguard.NotRun)
	}
}

// breakOff ends a run whose connection failed for a cause.
func (x *exchange) breakOff(cause error) {
	if x.run == nil {
		return
	}
	if replica.Examine(x.server.context, dialTCP, x.chosen.address, cause) == replica.PeerGone {
		x.endRun(poisonguard.Crashed)
		return
	}
	x.endRun(poisonguard.BrokeOff)
}

// dialTCP opens a plain connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// forgetsSuspects tells whether this gateway takes outdated suspects off the record: the first one by name does it for all.
func (s *session) forgetsSuspects() bool {
	for _, member := range s.Members().GetMembers() {
		if member.GetRole() == wire.MemberRole_MEMBER_ROLE_GATEWAY && member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE {
			return s.Owner() == wire.OwnerName(member)
		}
	}
	return false
}

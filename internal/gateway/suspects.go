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

// requestIdentity returns the identity under which a request is recognized when it is sent again. It includes
// neither the request ID nor the idempotency key, because those name a single arrival.
func (x *exchange) requestIdentity() poison.Identity {
	return poison.Identity{Host: x.call.pool, Path: x.call.path, Body: x.call.body, Owed: x.call.class == ClassRollout}
}

// beginRun asks the suspect guard for one more run of the request. It returns false if the request must not run
// now, and queues the refusal for the machine. Requests whose body is not buffered are not judged, because they
// cannot be told apart.
func (x *exchange) beginRun() bool {
	guard := x.server.config.Suspects
	if guard == nil || x.run != nil || !x.call.isBuffered() {
		return true
	}
	run, judged := guard.Begin(x.server.context, x.requestIdentity)
	if x.run = run; run != nil {
		return true
	}
	x.queueEvent(dispatch.Event{Kind: dispatch.Suspected, RetryAfter: judged.Remaining,
		Reason: fmt.Sprintf("%d back ends crashed under this request", judged.Crashes)})
	return false
}

// endRun reports to the guard how the run ended. It must be called before the machine decides what follows.
func (x *exchange) endRun(ending poisonguard.Ending) {
	if x.run != nil {
		x.run.End(x.server.context, ending)
		x.run = nil
	}
}

// postponeRun ends a run that was prevented, before it was sent, by a newer table. A claimed run is kept, because
// its own claim has changed the table.
func (x *exchange) postponeRun() {
	if x.run == nil {
		return
	}
	x.run.ClearBackEnd()
	if !x.run.Claimed() {
		x.endRun(poisonguard.NotRun)
	}
}

// endBrokenRun ends a run whose connection failed. It examines the back end to distinguish a crash from a failure
// of unknown effect.
func (x *exchange) endBrokenRun(cause error) {
	if x.run == nil {
		return
	}
	if replica.Examine(x.server.context, dialTCP, x.chosen.address, cause) == replica.PeerGone {
		x.endRun(poisonguard.Crashed)
		return
	}
	x.endRun(poisonguard.Interrupted)
}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// isSuspectCleaner reports whether this gateway removes outdated suspects from the record. The first live gateway
// by name does it for all.
func (s *session) isSuspectCleaner() bool {
	for _, member := range s.Members().GetMembers() {
		if member.GetRole() == wire.MemberRole_MEMBER_ROLE_GATEWAY && member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE {
			return s.Owner() == wire.OwnerName(member)
		}
	}
	return false
}

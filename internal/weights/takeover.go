package weights

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// handOverDelay is the time that a new leader keeps the leadership before it offers it to the owner of the orders.
	// minHandOverGain is the minimum remaining wait for which an offer is worthwhile.
	handOverDelay   = 200 * time.Millisecond
	minHandOverGain = 1500 * time.Millisecond
	// ownerSilenceTimeout is the time for which the owner must have been silent before the orders are taken from it
	// ahead of Config.Takeover. It applies only if replicas check fencing tokens.
	ownerSilenceTimeout = 500 * time.Millisecond
)

// ErrOwnerSilent is returned by Config.HandOver if the owner of the orders can't be reached although it has not
// announced that it stops: it is down, frozen or partitioned.
var ErrOwnerSilent = errors.New("the owner of the orders is silent")

// takeover is the state of a leader that is taking over the orders and has no token yet.
type takeover struct {
	ownerRead   bool
	ownedSince  time.Duration // time since which this owner is known
	owner       string        // empty if the machine is unknown
	token       uint64
	offered     bool // the owner has accepted the leadership
	offerFailed bool // the last offer failed
	// silent reports whether the owner was silent at the last offer, and silentSince the time of the first such offer
	// in a row.
	silent      bool
	silentSince time.Duration
}

// takeOver acquires the right to send orders and reports whether this process holds it. The machine that already owns
// the orders continues at once. Any other machine waits for Config.Takeover, counted from the time at which it first
// saw the current owner. This keeps a leader that has lost the leadership but does not know it yet from taking the
// orders from the new leader.
func (d *Driver) takeOver(ctx context.Context) bool {
	held, err := d.readFence(ctx)
	if err != nil {
		return false
	}
	now := d.config.Clock()
	if d.unconfirmed.hasTakenEffect(held, d.config.Owner) {
		d.recordOwnership(held.GetToken(), now)
		return true
	}
	if t := &d.takeover; !t.ownerRead || held.GetToken() != t.token {
		*t = takeover{ownerRead: true, ownedSince: now, owner: held.GetOwner(), token: held.GetToken(), offered: t.offered}
	}
	if wait := d.takeover.remainingWait(now, &d.config); wait > 0 {
		d.offerLeadership(ctx, now, wait)
		if !d.takeover.isOwnerLost(d.config.Clock(), &d.config) {
			return false
		}
	}
	acquired, err := d.acquireFence(ctx, d.takeover.token)
	if err != nil {
		d.unconfirmed = acquisition{sent: true, previousToken: d.takeover.token}
		return false
	}
	d.unconfirmed = acquisition{}
	if acquired.GetRefused() {
		// Another machine acquired the orders after they were read and may have sent some, so the wait starts again
		// from now. That machine stays the owner, so that this one also waits if it restarts in the meantime.
		d.takeover = takeover{ownerRead: true, ownedSince: now, owner: acquired.GetOwner(), token: acquired.GetToken(), offered: d.takeover.offered}
		return false
	}
	d.recordOwnership(acquired.GetToken(), now)
	return true
}

// recordOwnership records the token under which this machine now sends orders.
func (d *Driver) recordOwnership(token uint64, now time.Duration) {
	d.token, d.unconfirmed = token, acquisition{}
	d.publishedToken.Store(token)
	event := events.OrdersTaken{Token: token, Owner: d.takeover.owner}
	if d.takeover.token > 0 && d.takeover.owner != d.config.Owner {
		event.WaitedMs = events.Millis(now - d.takeover.ownedSince)
	}
	logging.Emit(d.config.Log, &event)
}

// acquisition is an attempt to acquire the orders whose reply did not arrive in time.
type acquisition struct {
	sent          bool
	previousToken uint64 // token that the acquired one was to follow
}

// hasTakenEffect reports whether the attempt was applied after all: this machine owns the orders under a higher token
// than the one the attempt was to follow. If commits take longer than controlTimeout, no reply ever arrives in time,
// and a leader that only retried would never hold the orders.
func (a *acquisition) hasTakenEffect(held *wire.FenceResult, owner string) bool {
	return a.sent && held.GetOwner() == owner && held.GetToken() > a.previousToken
}

// remainingWait returns how much longer this machine must not send orders.
func (t *takeover) remainingWait(now time.Duration, config *Config) time.Duration {
	if t.token == 0 || t.owner == config.Owner {
		return 0
	}
	return t.ownedSince + config.Takeover - now
}

// isOwnerLost reports whether the orders may be taken before the wait for the owner is over: the owner has been
// silent for a while, and replicas reject what it may still send because its token is lower. If replicas don't check
// tokens, only the full wait is safe.
func (t *takeover) isOwnerLost(now time.Duration, config *Config) bool {
	return config.ReplicasCheckFences && t.silent && now >= t.silentSince+ownerSilenceTimeout
}

// offerLeadership offers the leadership to the owner of the orders until one offer succeeds.
func (d *Driver) offerLeadership(ctx context.Context, now, wait time.Duration) {
	t := &d.takeover
	if d.config.HandOver == nil || t.owner == "" || t.offered || now < t.ownedSince+handOverDelay || wait < minHandOverGain {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := d.config.HandOver(ctx, t.owner)
	if err == nil || !t.offerFailed {
		logging.Emit(d.config.Log, &events.OrdersOffered{Owner: t.owner, Cause: events.ErrorText(err)})
	}
	t.offered, t.offerFailed = err == nil, err != nil
	t.recordSilence(errors.Is(err, ErrOwnerSilent), now)
}

// recordSilence records whether the owner was silent at the last offer.
func (t *takeover) recordSilence(silent bool, now time.Duration) {
	if silent && !t.silent {
		t.silentSince = now
	}
	t.silent = silent
}

// readFence reads the owner and the token of the orders.
func (d *Driver) readFence(ctx context.Context) (*wire.FenceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	view, err := d.config.Control.Query(ctx, state.ControlGroup, &wire.Query{Kind: &wire.Query_Fence{
		Fence: &wire.FenceQuery{Resource: fenceResource}}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if view.GetFence() == nil {
		return nil, trace.BadParameter("the control group returned no owner of the orders")
	}
	return view.GetFence(), nil
}

// acquireFence acquires the orders for this machine if previousToken is still the current token. Otherwise the result
// is marked as refused and names the current owner.
func (d *Driver) acquireFence(ctx context.Context, previousToken uint64) (*wire.FenceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	result, err := d.config.Control.Execute(ctx, state.ControlGroup, &wire.Command{Kind: &wire.Command_FenceAcquire{
		FenceAcquire: &wire.FenceAcquire{Resource: fenceResource, Owner: d.config.Owner, RequestId: rand.Text(), IfFollows: true, Follows: previousToken}}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if result.GetFence().GetToken() == 0 {
		return nil, trace.BadParameter("failed to acquire the orders: %s", result.GetInvalid())
	}
	return result.GetFence(), nil
}

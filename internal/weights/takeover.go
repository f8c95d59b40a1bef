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
	// handOverAfter is how long a new leader leads before it gives the leadership away again, and
	// handOverWorth the least time of waiting that this must save.
	handOverAfter = 200 * time.Millisecond
	handOverWorth = 1500 * time.Millisecond
	// silentOwner is for how long the owner of the orders must not have been heard until they are taken from it before
	// its time is over, where replicas check fencing tokens.
	silentOwner = 500 * time.Millisecond
)

// ErrOwnerSilent is returned by Config.HandOver when the owner of the orders is not heard, although it has not said that it
// stops: it is down, frozen or cut off.
var ErrOwnerSilent = errors.New("the owner of the orders is silent")

// takeover is what a leader without a token knows of the owner of the orders.
type takeover struct {
	looked  bool
	since   time.Duration // from when on the owner is known to be this one
	owner   string        // empty: a machine that is not known
	token   uint64
	offered bool // the leadership was offered to the owner
	failed  bool // it was, and the owner did not take it
	// silent says that the owner was not heard when it was asked last, and silentSince since when.
	silent      bool
	silentSince time.Duration
}

// takeOver acquires the right to send orders and reports whether it is held. The machine that owns them goes on at
// once; any other one waits, counted from when it saw the present owner for the first time: a leader that does not
// know yet that it leads no more must not take the orders from the one that does.
func (d *Driver) takeOver(ctx context.Context) bool {
	held, err := d.fence(ctx)
	if err != nil {
		return false
	}
	now := d.config.Clock()
	if d.unanswered.tookEffect(held, d.config.Owner) {
		d.hold(held.GetToken(), now)
		return true
	}
	if t := &d.takeover; !t.looked || held.GetToken() != t.token {
		*t = takeover{looked: true, since: now, owner: held.GetOwner(), token: held.GetToken(), offered: t.offered}
	}
	if wait := d.takeover.wait(now, &d.config); wait > 0 {
		d.offer(ctx, now, wait)
		if !d.takeover.ownerLost(d.config.Clock(), &d.config) {
			return false
		}
	}
	acquired, err := d.acquire(ctx, d.takeover.token)
	if err != nil {
		d.unanswered = acquisition{sent: true, follows: d.takeover.token}
		return false
	}
	d.unanswered = acquisition{}
	if acquired.GetRefused() {
		// Another machine acquired them since the look, and may have sent orders: its time is waited out from now. It stays
		// the owner, so that this machine waits also if it starts again meanwhile.
		d.takeover = takeover{looked: true, since: now, owner: acquired.GetOwner(), token: acquired.GetToken(), offered: d.takeover.offered}
		return false
	}
	d.hold(acquired.GetToken(), now)
	return true
}

// hold notes the token under which this machine sends orders.
func (d *Driver) hold(token uint64, now time.Duration) {
	d.token, d.unanswered = token, acquisition{}
	d.right.Store(token)
	event := events.OrdersTaken{Token: token, Owner: d.takeover.owner}
	if d.takeover.token > 0 && d.takeover.owner != d.config.Owner {
		event.WaitedMs = events.Millis(now - d.takeover.since)
	}
	logging.Emit(d.config.Log, &event)
}

// acquisition is an attempt to take the orders whose answer did not come in time.
type acquisition struct {
	sent    bool
	follows uint64 // token that it was to follow
}

// tookEffect reports whether the attempt was carried out after all: this machine owns the orders by a token above the one that the
// attempt followed. Where commits take longer than controlTimeout no answer ever comes in time, and whoever asked anew each time
// would never hold the orders.
func (a *acquisition) tookEffect(held *wire.FenceResult, owner string) bool {
	return a.sent && held.GetOwner() == owner && held.GetToken() > a.follows
}

// wait is how much longer the orders must rest.
func (t *takeover) wait(now time.Duration, config *Config) time.Duration {
	if t.token == 0 || t.owner == config.Owner {
		return 0
	}
	return t.since + config.Takeover - now
}

// ownerLost reports whether the orders may be taken before the owner's time is over: it was silent for a while, and the
// replicas refuse what it may still send, since its token is lower. Where they don't check tokens only time protects them.
func (t *takeover) ownerLost(now time.Duration, config *Config) bool {
	return config.FencesChecked && t.silent && now >= t.silentSince+silentOwner
}

// offer offers the leadership to the owner of the orders, once.
func (d *Driver) offer(ctx context.Context, now, wait time.Duration) {
	t := &d.takeover
	if d.config.HandOver == nil || t.owner == "" || t.offered || now < t.since+handOverAfter || wait < handOverWorth {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := d.config.HandOver(ctx, t.owner)
	if err == nil || !t.failed {
		logging.Emit(d.config.Log, &events.OrdersOffered{Owner: t.owner, Cause: events.ErrorText(err)})
	}
	t.offered, t.failed = err == nil, err != nil
	t.heard(errors.Is(err, ErrOwnerSilent), now)
}

// heard notes whether the owner was silent when it was asked.
func (t *takeover) heard(silent bool, now time.Duration) {
	if silent && !t.silent {
		t.silentSince = now
	}
	t.silent = silent
}

// fence reads who owns the orders.
func (d *Driver) fence(ctx context.Context) (*wire.FenceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	view, err := d.config.Control.Query(ctx, state.ControlGroup, &wire.Query{Kind: &wire.Query_Fence{
		Fence: &wire.FenceQuery{Resource: fenceResource}}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if view.GetFence() == nil {
		return nil, trace.BadParameter("the control group does not tell the owner of the orders")
	}
	return view.GetFence(), nil
}

// acquire takes the orders from the owner with a token; refused if there is another one by now.
func (d *Driver) acquire(ctx context.Context, follows uint64) (*wire.FenceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	result, err := d.config.Control.Execute(ctx, state.ControlGroup, &wire.Command{Kind: &wire.Command_FenceAcquire{
		FenceAcquire: &wire.FenceAcquire{Resource: fenceResource, Owner: d.config.Owner, RequestId: rand.Text(), IfFollows: true, Follows: follows}}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if result.GetFence().GetToken() == 0 {
		return nil, trace.BadParameter("the orders can't be owned: %s", result.GetInvalid())
	}
	return result.GetFence(), nil
}

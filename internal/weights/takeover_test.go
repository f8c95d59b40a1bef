package weights

import (
	"context"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// overtaken is a control group in which another machine acquires the orders right before this one does.
type overtaken struct {
	*fakeControl
	times int // left
}

func (o *overtaken) Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error) {
	if command.GetFenceAcquire() != nil && o.times > 0 {
		o.times--
		other := &wire.FenceAcquire{Resource: fenceResource, Owner: "other", RequestId: "overtakes"}
		if _, err := o.fakeControl.Execute(ctx, group, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: other}}); err != nil {
			return nil, err
		}
	}
	return o.fakeControl.Execute(ctx, group, command)
}

// TestOrdersThatWereTakenMeanwhileWait: between this machine's look at the owner of the orders and its own taking of them
// another one takes them. That one may have sent orders, so its time is waited out, also by a process that starts anew
// right after the look: it must not find this machine named as the owner.
func TestOrdersThatWereTakenMeanwhileWait(t *testing.T) {
	for name, startsAnew := range map[string]bool{"the same process": false, "a process that starts anew": true} {
		t.Run(name, func(t *testing.T) { takenMeanwhile(t, startsAnew) })
	}
}

func takenMeanwhile(t *testing.T, startsAnew bool) {
	t.Helper()
	f := prepare(t, 1)
	now := time.Duration(0)
	f.driver.config.Clock, f.driver.config.Takeover = func() time.Duration { return now }, 4*time.Second
	f.driver.config.Control = &overtaken{fakeControl: f.control, times: 1}
	if f.driver.takeOver(t.Context()) {
		t.Fatal("took the orders of a machine that had taken them a moment before")
	}
	held := f.control.machine.Query(&wire.Query{Kind: &wire.Query_Fence{Fence: &wire.FenceQuery{Resource: fenceResource}}}).GetFence()
	if held.GetOwner() != "other" || held.GetToken() != 1 {
		t.Fatalf("the orders are %v: the machine that took them before is not their owner", held)
	}
	const step = 100 * time.Millisecond
	until := f.driver.config.Takeover // counted from the look
	if startsAnew {
		f.driver.takeover = takeover{}
		until += step // its first look comes a step later
	}
	for now = step; now < until; now += step {
		if f.driver.takeOver(t.Context()) {
			t.Fatalf("sends orders %s after another machine may have", now)
		}
	}
	if !f.driver.takeOver(t.Context()) {
		t.Fatal("the orders are never taken")
	}
}

// TestRightGoesWithTheLeadership, at once and not with the next turn, and with a token that was superseded.
func TestRightGoesWithTheLeadership(t *testing.T) {
	f := prepare(t, 1)
	if _, held := f.driver.Right(); held {
		t.Error("the right is held before it was taken")
	}
	f.driver.turn(t.Context(), false)
	token, held := f.driver.Right()
	if !held || token == 0 || token != f.driver.token {
		t.Fatalf("token %d, held %v", token, held)
	}
	f.leading.Store(false)
	if _, held = f.driver.Right(); held {
		t.Error("the right is held by a node that leads no more")
	}
	f.leading.Store(true)
	f.driver.dropToken()
	if _, held = f.driver.Right(); held {
		t.Error("the right is held without a token")
	}
}

// TestOrdersAreHeldWhereCommitsAreSlow: each command that acquires the orders is applied after its caller has given up. The driver asked
// anew each time, displaced itself, and never sent an order.
func TestOrdersAreHeldWhereCommitsAreSlow(t *testing.T) {
	f := prepare(t, 3)
	f.control.lateFences.Store(true)
	f.run(t)
	if err := Put(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.driver.Look()
	eventually(t, "the new weights at all replicas", func() bool { return f.fleet.serve("m0", 2) })
	if token := f.control.machine.Query(&wire.Query{Kind: &wire.Query_Fence{Fence: &wire.FenceQuery{Resource: fenceResource}}}).GetFence().GetToken(); token != 1 {
		t.Errorf("the orders were acquired %d times", token)
	}
}

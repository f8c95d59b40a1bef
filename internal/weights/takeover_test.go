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
// another one takes them. That one may have sent orders, so the time is waited out once more.
func TestOrdersThatWereTakenMeanwhileWait(t *testing.T) {
	f := prepare(t, 1)
	now := time.Duration(0)
	f.driver.config.Clock, f.driver.config.Takeover = func() time.Duration { return now }, 4*time.Second
	f.driver.config.FencesChecked = true
	f.driver.config.HandOver = func(context.Context, string) error { return ErrOwnerSilent }
	f.driver.config.Control = &overtaken{fakeControl: f.control, times: 1}
	if f.driver.takeOver(t.Context()) {
		t.Fatal("took the orders of a machine that had taken them a moment before")
	}
	held := f.control.machine.Query(&wire.Query{Kind: &wire.Query_Fence{Fence: &wire.FenceQuery{Resource: fenceResource}}}).GetFence()
	if held.GetOwner() != f.driver.config.Owner || held.GetToken() != 2 {
		t.Fatalf("the orders are %v: nothing was examined", held)
	}
	for now = 100 * time.Millisecond; now < 4*time.Second; now += 100 * time.Millisecond {
		if f.driver.takeOver(t.Context()) {
			t.Fatalf("sends orders %s after another machine may have", now)
		}
	}
	if !f.driver.takeOver(t.Context()) {
		t.Fatal("the orders are never taken")
	}
}

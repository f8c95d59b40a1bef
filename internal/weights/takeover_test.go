package weights

import (
	"context"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/servertest"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// racingControl is a control group in which another machine acquires the orders immediately before this one does.
type racingControl struct {
	*fakeControl
	acquisitions int // remaining acquisitions by the other machine
}

func (o *racingControl) Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error) {
	if command.GetFenceAcquire() != nil && o.acquisitions > 0 {
		o.acquisitions--
		other := &wire.FenceAcquire{Resource: fenceResource, Owner: "other", RequestId: "overtakes"}
		if _, err := o.fakeControl.Execute(ctx, group, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: other}}); err != nil {
			return nil, err
		}
	}
	return o.fakeControl.Execute(ctx, group, command)
}

// TestLostFenceRaceRestartsTakeoverWait checks the case in which another machine acquires the orders between this
// machine's read of the owner and its own acquisition. The other machine may have sent orders, so the full takeover
// time has to pass, also if this process restarts right after the read. The acquisition must therefore not record
// this machine as the owner.
func TestLostFenceRaceRestartsTakeoverWait(t *testing.T) {
	for name, restarts := range map[string]bool{"the same process": false, "a restarted process": true} {
		t.Run(name, func(t *testing.T) { testLostFenceRace(t, restarts) })
	}
}

func testLostFenceRace(t *testing.T, restarts bool) {
	t.Helper()
	f := newFixture(t, 1)
	now := time.Duration(0)
	f.driver.config.Clock, f.driver.config.Takeover = func() time.Duration { return now }, 4*time.Second
	f.driver.config.Control = &racingControl{fakeControl: f.control, acquisitions: 1}
	if f.driver.takeOver(t.Context()) {
		t.Fatal("acquired the orders although another machine acquired them after the read")
	}
	held := servertest.MustQuery(t, f.control.machine, &wire.Query{Kind: &wire.Query_Fence{Fence: &wire.FenceQuery{Resource: fenceResource}}}).GetFence()
	if held.GetOwner() != "other" || held.GetToken() != 1 {
		t.Fatalf("fence is %v, want owner other with token 1", held)
	}
	const step = 100 * time.Millisecond
	until := f.driver.config.Takeover // counted from the read of the owner
	if restarts {
		f.driver.takeover = takeover{}
		until += step // the restarted process reads the owner one step later
	}
	for now = step; now < until; now += step {
		if f.driver.takeOver(t.Context()) {
			t.Fatalf("holds the orders %s after another machine may have sent some", now)
		}
	}
	if !f.driver.takeOver(t.Context()) {
		t.Fatal("did not acquire the orders after the takeover time")
	}
}

// TestRightEndsWithLeadership checks that the right to send orders ends at once when the leadership is lost, not only
// at the next planning cycle, and when the token is superseded.
func TestRightEndsWithLeadership(t *testing.T) {
	f := newFixture(t, 1)
	if _, held := f.driver.OrderToken(); held {
		t.Error("OrderToken() reports true before the takeover")
	}
	f.driver.runCycle(t.Context(), false)
	token, held := f.driver.OrderToken()
	if !held || token == 0 || token != f.driver.token {
		t.Fatalf("OrderToken() after the takeover: got token %d, held %v", token, held)
	}
	f.leading.Store(false)
	if _, held = f.driver.OrderToken(); held {
		t.Error("OrderToken() reports true after the leadership was lost")
	}
	f.leading.Store(true)
	f.driver.dropToken()
	if _, held = f.driver.OrderToken(); held {
		t.Error("OrderToken() reports true without a token")
	}
}

// TestSlowCommitsDoNotPreventTakeover checks that orders are sent although each fence acquisition is applied only
// after its caller has timed out. A driver that acquired the fence anew after each timeout superseded its own token
// and never sent an order.
func TestSlowCommitsDoNotPreventTakeover(t *testing.T) {
	f := newFixture(t, 3)
	f.control.loseFenceReplies.Store(true)
	f.run(t)
	if err := RegisterVersion(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.driver.RequestVersionRead()
	eventually(t, "timed out waiting for all replicas to serve version 2", func() bool { return f.sender.serve("m0", 2) })
	if token := servertest.MustQuery(t, f.control.machine, &wire.Query{Kind: &wire.Query_Fence{Fence: &wire.FenceQuery{Resource: fenceResource}}}).GetFence().GetToken(); token != 1 {
		t.Errorf("fence token is %d, want 1", token)
	}
}

package weights

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestNewLeaderWaits checks that a leader sends no orders before the takeover time has passed if another machine sent
// the last ones, and that it offers the leadership to that machine until an offer succeeds.
func TestNewLeaderWaits(t *testing.T) {
	f := newFixture(t, 2)
	acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: "other", RequestId: "other"}
	if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
		t.Fatal(err)
	}
	_ = RegisterVersion(t.Context(), f.control, "m0", 2, "trainer")
	var offered atomic.Int64
	f.driver.config.HandOver = func(_ context.Context, owner string) error {
		if owner != "other" {
			t.Errorf("the leadership was offered to %q, want other", owner)
		}
		if offered.Add(1) == 1 {
			return errors.New("not back yet")
		}
		return nil
	}
	f.run(t)
	eventually(t, "timed out waiting for two offers of the leadership", func() bool { return offered.Load() == 2 })
	eventually(t, "timed out waiting for more than 10 queries to the control group", func() bool { return f.control.queries.Load() > 10 })
	f.sender.mutex.Lock()
	defer f.sender.mutex.Unlock()
	if f.sender.highestFence != 0 || offered.Load() != 2 {
		t.Fatalf("a new leader sent orders within the takeover time, or made %d offers instead of 2", offered.Load())
	}
}

// TestSupersededTokenIsNotReused checks that after a replica has seen a higher token than that of this leader, only
// the orders already sent are rejected and later ones carry a new token.
func TestSupersededTokenIsNotReused(t *testing.T) {
	const seen = 4
	f := newFixture(t, 6)
	f.sender.highestFence = seen
	if err := RegisterVersion(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.run(t)
	eventually(t, "timed out waiting for all replicas to serve the version", func() bool { return f.sender.serve("m0", 2) })
	f.sender.mutex.Lock()
	defer f.sender.mutex.Unlock()
	if len(f.sender.refusedByFence) == 0 {
		t.Fatal("no order was rejected, want some with the old token")
	}
	for token, times := range f.sender.refusedByFence {
		if token >= seen || times > DefaultMaxConcurrentLoads {
			t.Errorf("token %d was rejected %d times, want only older tokens and at most one rejection per load slot", token, times)
		}
	}
}

// TestPreviousOwnerResumesWithoutWaiting checks that the machine that sent the last orders does not wait when it
// leads again.
func TestPreviousOwnerResumesWithoutWaiting(t *testing.T) {
	f := newFixture(t, 3)
	for _, owner := range []string{"other", "node"} {
		acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: owner, RequestId: owner}
		if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
			t.Fatal(err)
		}
	}
	_ = RegisterVersion(t.Context(), f.control, "m0", 2, "trainer")
	f.run(t)
	eventually(t, "timed out waiting for all replicas to serve the version", func() bool { return f.sender.serve("m0", 2) })
}

// TestTakeoverWaitRestartsWithNewOwner checks that the takeover wait starts again if another machine acquires the
// orders during it.
func TestTakeoverWaitRestartsWithNewOwner(t *testing.T) {
	f := newFixture(t, 1)
	now := time.Duration(0)
	f.driver.config.Clock, f.driver.config.Takeover = func() time.Duration { return now }, 4*time.Second
	owned := func(owner string) {
		acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: owner, RequestId: owner}
		if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
			t.Fatal(err)
		}
	}
	owned("first")
	for ; now < 6*time.Second; now += time.Second {
		if now == 3*time.Second {
			owned("second")
		}
		if f.driver.takeOver(t.Context()) {
			t.Fatalf("took over the orders after %s, want 7s", now)
		}
	}
	if now = 7 * time.Second; !f.driver.takeOver(t.Context()) {
		t.Fatal("did not take over the orders after 7s")
	}
}

// TestSilentOwnerIsReplacedEarly checks that the orders of a silent owner are taken early if replicas check fencing
// tokens. The full takeover time applies if the owner stops by plan or if replicas check no tokens, and an answer of
// the owner restarts the silence timeout.
func TestSilentOwnerIsReplacedEarly(t *testing.T) {
	stops := errors.New("the owner stops")
	const step = 100 * time.Millisecond
	for name, one := range map[string]struct {
		unchecked bool
		answers   func(now time.Duration) error
		want      time.Duration
	}{
		"silent":              {false, func(time.Duration) error { return ErrOwnerSilent }, handOverDelay + ownerSilenceTimeout},
		"silent, not checked": {true, func(time.Duration) error { return ErrOwnerSilent }, 4 * time.Second},
		"stops":               {false, func(time.Duration) error { return stops }, 4 * time.Second},
		"heard in between": {false, func(now time.Duration) error {
			if now < time.Second {
				return stops
			}
			return ErrOwnerSilent
		}, time.Second + ownerSilenceTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			now := time.Duration(0)
			f.driver.config.Clock, f.driver.config.Takeover = func() time.Duration { return now }, 4*time.Second
			f.driver.config.ReplicasCheckFences = !one.unchecked
			f.driver.config.HandOver = func(context.Context, string) error { return one.answers(now) }
			acquire := &wire.FenceAcquire{Resource: fenceResource, Owner: "other", RequestId: "other"}
			if _, err := f.control.Execute(t.Context(), 0, &wire.Command{Kind: &wire.Command_FenceAcquire{FenceAcquire: acquire}}); err != nil {
				t.Fatal(err)
			}
			for !f.driver.takeOver(t.Context()) {
				if now += step; now > one.want {
					t.Fatalf("orders not taken after %s", now)
				}
			}
			if now < one.want {
				t.Fatalf("orders taken after %s, want %s", now, one.want)
			}
		})
	}
}

package forward

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestDrainingBackEndsGetNothing checks that requests go only to the back ends that are not draining, and are rejected
// as not run if there is none.
func TestDrainingBackEndsGetNothing(t *testing.T) {
	f := newFixture(t, baseRows+"r route_kind repeatable;p1 state draining;p3 state removed", good)
	for range 30 {
		if _, failure := f.serve(context.Background()); failure != nil {
			t.Fatal(failure)
		}
	}
	if got := fmt.Sprint(f.caller.instances()); got != "map[p2:30]" {
		t.Errorf("got sends %s, want all 30 to p2", got)
	}
	f = newFixture(t, baseRows+"r route_kind repeatable;p1 state draining;p2 state draining;p3 state draining", good)
	if _, failure := f.serve(context.Background()); failure == nil || failure.Reason != Unavailable && failure.Reason != Overloaded || len(f.caller.instances()) > 0 {
		t.Errorf("got failure %v and sends %v, want reason Unavailable or Overloaded and no sends", failure, f.caller.instances())
	}
}

var twoPools = strings.Replace(baseRows, "r pools p:1", "r pools p:70,q:30", 1) + "q1 kind backend;q1 pool q;q1 address 127.0.0.1:4;r route_kind repeatable;"

// TestPoolsReceiveRequestsByWeight checks that the pools of a route receive requests by weight. A pool that accepts
// none leaves its share to the others.
func TestPoolsReceiveRequestsByWeight(t *testing.T) {
	const requests = 2000
	f := newFixture(t, twoPools, good)
	for range requests {
		if _, failure := f.serve(context.Background()); failure != nil {
			t.Fatal(failure)
		}
	}
	if share := float64(f.caller.instances()["q1"]) / requests; share < 0.26 || share > 0.34 {
		t.Errorf("a pool with 30%% of the weight got %.1f%% of the requests, want 26%% to 34%%", 100*share)
	}
	f = newFixture(t, twoPools+"q1 state draining", good)
	for range 100 {
		if _, failure := f.serve(context.Background()); failure != nil {
			t.Fatal(failure)
		}
	}
	if got := f.caller.instances()["q1"]; got > 0 {
		t.Errorf("a pool without serving back ends got %d requests, want 0", got)
	}
}

// TestHedgeCountsAsAttempt checks that a slow back end gets no hedge if the route permits only one send.
func TestHedgeCountsAsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := strings.Replace(baseRows, "r max_attempts 2", "r max_attempts 1", 1)
		f := newFixture(t, rows+"r route_kind repeatable;r target_latency_millis 100", after(80*time.Millisecond, good))
		if _, failure := f.serve(context.Background()); failure != nil {
			t.Error(failure)
		}
		if calls := len(f.caller.calls); calls != 1 {
			t.Errorf("got %d sends, want 1", calls)
		}
	})
}

// TestRouteTimeoutBoundsCallerDeadline checks that a caller whose deadline is longer than the route's timeout gets its
// answer at the timeout.
func TestRouteTimeoutBoundsCallerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, baseRows+"r route_kind once;r timeout_millis 1000", silent)
		started := time.Now()
		failure := f.Serve(t.Context(), &Request{AttemptID: "id", Method: "POST", Path: "/", Host: "h", Received: started, Deadline: 5 * time.Second}, &recordedReply{})
		if failure == nil || failure.Reason != TimedOut || time.Since(started) != time.Second {
			t.Errorf("got failure %v after %v, want reason TimedOut after 1 s", failure, time.Since(started))
		}
	})
}

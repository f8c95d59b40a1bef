package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// oneSlotRows configures a pool with one slot and a queue with the given number of places.
const oneSlotRows = "p kind pool;p max_in_flight 1;p queue_limit %d;p1 kind backend;p1 pool p;p1 address 127.0.0.1:1;r kind route;r host h;" +
	"r path_prefix /;r pools p:1;t kind tenant;t tenant_name heavy;u kind tenant;u tenant_name light"

// newGatedFixture returns a fixture whose back end answers one request for each value sent on turns.
func newGatedFixture(t *testing.T, places int) (f *fixture, turns chan struct{}) {
	turns = make(chan struct{})
	f = newFixture(t, fmt.Sprintf(oneSlotRows, places), func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		<-turns
		return good(ctx, call, sink)
	})
	return f, turns
}

// serveInBackground serves a request in the background and returns once it is waiting.
func (f *fixture) serveInBackground(tenant, path string) <-chan *Failure {
	ended := make(chan *Failure, 1)
	request := &Request{AttemptID: "id", Method: "POST", Path: path, Host: "h", Tenant: tenant, Received: time.Now()}
	go func() { ended <- f.Serve(context.Background(), request, &recordedReply{}) }()
	synctest.Wait()
	return ended
}

// TestSlotsAlternateBetweenTenants checks that a tenant's first request gets a slot before the later requests of
// another tenant that arrived earlier.
func TestSlotsAlternateBetweenTenants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, turns := newGatedFixture(t, 100)
		var ends []<-chan *Failure
		for _, tenant := range []string{"heavy", "heavy", "heavy", "heavy", "light"} {
			ends = append(ends, f.serveInBackground(tenant, "/x"))
		}
		for range ends {
			turns <- struct{}{}
			synctest.Wait()
		}
		order := ""
		for number, call := range f.caller.calls {
			order += call.Tenant + " "
			if failure := <-ends[number]; failure != nil {
				t.Error(failure)
			}
		}
		if order != "heavy heavy light heavy heavy " {
			t.Error(order)
		}
	})
}

// TestRejectedRequestGoesFirstOnReturn checks that a rejected request that returns goes once before the new requests of
// its tenant.
func TestRejectedRequestGoesFirstOnReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, turns := newGatedFixture(t, 2)
		ends := []<-chan *Failure{f.serveInBackground("heavy", "/1"), f.serveInBackground("heavy", "/2"), f.serveInBackground("heavy", "/3")}
		failure := <-f.serveInBackground("heavy", "/refused")
		if failure == nil || failure.Reason != Overloaded || failure.Verdict != verdict.DidNotRun {
			t.Fatal(failure)
		}
		turns <- struct{}{}
		synctest.Wait()
		ends = append(ends, f.serveInBackground("heavy", "/refused"))
		for range ends[1:] {
			turns <- struct{}{}
			synctest.Wait()
		}
		order := ""
		for number, call := range f.caller.calls {
			order += call.Path + " "
			if failure := <-ends[number]; failure != nil {
				t.Error(failure)
			}
		}
		if order != "/1 /2 /refused /3 " {
			t.Error(order)
		}
	})
}

// TestRejectedRequestsAreBounded checks that the number of remembered rejected requests is bounded and that they are
// dropped once they are no longer expected.
func TestRejectedRequestsAreBounded(t *testing.T) {
	var rejected rejectedRequests
	for number := range uint64(2 * maxRejectedRequests) {
		digest := (&poison.Identity{Tenant: fmt.Sprint(number)}).Digest()
		rejected.add(time.Duration(number), digest, 0)
	}
	if len(rejected.expiry) != maxRejectedRequests {
		t.Errorf("%d rejected requests are remembered, want maxRejectedRequests", len(rejected.expiry))
	}
	known := (&poison.Identity{Tenant: "1"}).Digest()
	if !rejected.take(0, known) || rejected.take(0, known) {
		t.Error("a rejected request is not recognized exactly once on its return")
	}
	if late := (&poison.Identity{Tenant: "2"}).Digest(); rejected.take(time.Hour, late) {
		t.Error("a rejected request is still recognized an hour later")
	}
	rejected.dropExpired(time.Hour)
	if len(rejected.expiry) != 0 {
		t.Errorf("%d rejected requests are remembered after an hour, want 0", len(rejected.expiry))
	}
}

// TestDisconnectedCallerFreesItsQueuePlace checks that a caller that disconnects while its request is queued frees its
// place in the queue at once.
func TestDisconnectedCallerFreesItsQueuePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, turns := newGatedFixture(t, 1)
		first := f.serveInBackground("heavy", "/1")
		ctx, leave := context.WithCancel(context.Background())
		go f.Serve(ctx, &Request{AttemptID: "id", Method: "POST", Path: "/2", Host: "h", Received: time.Now()}, &recordedReply{})
		synctest.Wait()
		leave()
		synctest.Wait()
		second := f.serveInBackground("light", "/3")
		if waiting := f.pools["p"].queue.Waiting(); waiting != 1 {
			t.Errorf("%d requests wait, want 1", waiting)
		}
		close(turns)
		if one, two := <-first, <-second; one != nil || two != nil {
			t.Errorf("got failures %v and %v, want two answers", one, two)
		}
	})
}

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/tenant"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

func quotaFixture(t *testing.T, quota string, script ...step) (*fixture, *fakeShares) {
	t.Helper()
	source := newFakeShares()
	f := newFixture(t, tenantRows, script...)
	lease := f.lease
	forwarder, err := New(Config{Control: lease, Caller: f.caller, Shares: source, Seed: 1, Clock: testClock()})
	if err != nil {
		t.Fatal(err)
	}
	view := viewsOf(t, tenantRows+";u key_digests "+tenant.Digest("k2")+quota)[0]
	forwarder.Update(view)
	lease.set(view.Version(), false)
	return &fixture{Forwarder: forwarder, lease: lease, caller: f.caller}, source
}

func (f *fixture) serveAs(ctx context.Context, key string) *Failure {
	return f.Serve(ctx, &Request{AttemptID: "id", Method: "POST", Path: "/x", Host: "h", Key: key, Received: time.Now()}, &recordedReply{})
}

// TestTenantRateIsLimited checks that requests beyond the share of a tenant's rate are rejected as not run, that a
// retry after RetryAfter succeeds, and that the demand is published. Other tenants, and tenants whose rate nobody
// divides, are not limited.
func TestTenantRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, source := quotaFixture(t, ";t rate_per_second 10", good)
		if _, published := source.demands[share.Rate("One")]; !published {
			t.Fatal("no demand is published for a tenant with a rate")
		}
		for range 20 {
			if failure := f.serveAs(t.Context(), "k1"); failure != nil {
				t.Fatal("rejected while nobody divides the rate:", failure)
			}
		}
		source.set(share.Rate("One"), 2*share.RateUnit)
		served := 0
		var failure *Failure
		for ; failure == nil && served < 10; served++ {
			failure = f.serveAs(t.Context(), "k1")
		}
		if failure == nil || served > 4 || failure.Reason != QuotaExceeded || failure.Verdict != verdict.DidNotRun || failure.RetryAfter <= 0 || failure.RetryAfter > time.Second {
			t.Fatalf("after %d requests: got failure %+v, want reason QuotaExceeded for a request that did not run, with RetryAfter of at most 1 s", served, failure)
		}
		if want := source.demands[share.Rate("One")]; want.Waiting == 0 || source.renewals == 0 {
			t.Errorf("got demand %+v, want Waiting above 0 and an early renewal", want)
		}
		if failure := f.serveAs(t.Context(), "k2"); failure != nil {
			t.Error("another tenant was rejected:", failure)
		}
		time.Sleep(failure.RetryAfter + time.Millisecond)
		if failure := f.serveAs(t.Context(), "k1"); failure != nil {
			t.Error("rejected after waiting for RetryAfter:", failure)
		}
	})
}

// TestTenantConcurrencyIsLimited checks that a request above the share of a tenant's concurrency waits for
// concurrencyWait and is then rejected, unless the share grows in the meantime.
func TestTenantConcurrencyIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		gated := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
			<-release
			return good(ctx, call, sink)
		}
		f, source := quotaFixture(t, ";t concurrency 5;r timeout_millis 60000", gated)
		source.set(share.Calls("One"), 1)
		first := make(chan *Failure)
		go func() { first <- f.serveAs(t.Context(), "k1") }()
		synctest.Wait()
		began := time.Now()
		if failure := f.serveAs(t.Context(), "k1"); failure == nil || failure.Reason != QuotaExceeded || time.Since(began) < concurrencyWait {
			t.Fatal(failure)
		}
		if want := source.demands[share.Calls("One")]; want != (share.Demand{InUse: 1, Waiting: 1}) {
			t.Errorf("got demand %+v, want InUse 1 and Waiting 1", want)
		}
		second := make(chan *Failure)
		go func() { second <- f.serveAs(t.Context(), "k1") }()
		synctest.Wait()
		source.set(share.Calls("One"), 2)
		time.Sleep(2 * concurrencyPoll)
		close(release)
		if failure := <-first; failure != nil {
			t.Error(failure)
		}
		if failure := <-second; failure != nil {
			t.Error("rejected although the share grew:", failure)
		}
		synctest.Wait()
		f.quotas.publishDemands(f.now())
		if want := source.demands[share.Calls("One")]; want.InUse != 0 {
			t.Errorf("got demand %+v after the requests ended, want InUse 0", want)
		}
	})
}

// TestIdleTenantDemandIsWithdrawn checks that the demand of a long request is published while it runs and withdrawn
// after its end.
func TestIdleTenantDemandIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
			time.Sleep(2 * quotaIdleTimeout)
			return good(ctx, call, sink)
		}
		f, source := quotaFixture(t, ";t concurrency 5;r timeout_millis 60000", long)
		source.set(share.Calls("One"), 5)
		done := make(chan *Failure)
		go func() { done <- f.serveAs(t.Context(), "k1") }()
		time.Sleep(quotaIdleTimeout + time.Second)
		f.quotas.publishDemands(f.now())
		if want := source.demands[share.Calls("One")]; want.InUse != 1 {
			t.Errorf("got demand %+v with a request in flight, want InUse 1", want)
		}
		if failure := <-done; failure != nil {
			t.Error(failure)
		}
		synctest.Wait()
		f.quotas.publishDemands(f.now())
		if want := source.demands[share.Calls("One")]; want != (share.Demand{}) {
			t.Errorf("got demand %+v after the request ended, want none", want)
		}
	})
}

// TestFirstRequestPublishesTenantDemand checks that the first early renewal already carries the demand of a tenant's
// first request.
func TestFirstRequestPublishesTenantDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, source := quotaFixture(t, ";t concurrency 5", good)
		source.set(share.Calls("One"), 0)
		f.serveAs(t.Context(), "k1")
		if first := source.demandsAtFirstRenewal[share.Calls("One")]; first.Waiting != 1 {
			t.Errorf("got demand %+v at the first early renewal, want Waiting 1", first)
		}
	})
}

// TestTenantWithoutQuotaIsNotTracked checks that a tenant without a quota has no state here and publishes no demand.
func TestTenantWithoutQuotaIsNotTracked(t *testing.T) {
	f, source := quotaFixture(t, "", good)
	if failure := f.serveAs(t.Context(), "k1"); failure != nil {
		t.Fatal(failure)
	}
	f.SharesChanged()
	if len(f.quotas.tenants) != 0 || len(source.demands) != 0 {
		t.Error(f.quotas.tenants, source.demands)
	}
}

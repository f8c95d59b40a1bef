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

// TestRateOfATenant: what is beyond the share is refused unrun, with a time to come back that holds; the demand is told; other tenants
// and a tenant whose rate nobody divides are let through.
func TestTenantRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, source := quotaFixture(t, ";t rate_per_second 10", good)
		if _, told := source.demands[share.Rate("One")]; !told {
			t.Fatal("nothing is told of a tenant with a rate")
		}
		for range 20 {
			if failure := f.serveAs(t.Context(), "k1"); failure != nil {
				t.Fatal("refused before anybody divides the rate:", failure)
			}
		}
		source.set(share.Rate("One"), 2*share.RateUnit)
		served := 0
		var failure *Failure
		for ; failure == nil && served < 10; served++ {
			failure = f.serveAs(t.Context(), "k1")
		}
		if failure == nil || served > 4 || failure.Reason != QuotaExceeded || failure.Verdict != verdict.DidNotRun || failure.RetryAfter <= 0 || failure.RetryAfter > time.Second {
			t.Fatalf("after %d: %+v", served, failure)
		}
		if want := source.demands[share.Rate("One")]; want.Waiting == 0 || source.renewals == 0 {
			t.Errorf("told %+v", want)
		}
		if failure := f.serveAs(t.Context(), "k2"); failure != nil {
			t.Error("another tenant is refused:", failure)
		}
		time.Sleep(failure.RetryAfter + time.Millisecond)
		if failure := f.serveAs(t.Context(), "k1"); failure != nil {
			t.Error("refused when it was told to come back:", failure)
		}
	})
}

// TestConcurrencyOfATenant: a request above the share waits a little for a larger one, then is refused; one that ends makes room.
func TestTenantConcurrencyIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hold := make(chan struct{})
		held := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
			<-hold
			return good(ctx, call, sink)
		}
		f, source := quotaFixture(t, ";t concurrency 5;r timeout_millis 60000", held)
		source.set(share.Calls("One"), 1)
		first := make(chan *Failure)
		go func() { first <- f.serveAs(t.Context(), "k1") }()
		synctest.Wait()
		began := time.Now()
		if failure := f.serveAs(t.Context(), "k1"); failure == nil || failure.Reason != QuotaExceeded || time.Since(began) < concurrencyWait {
			t.Fatal(failure)
		}
		if want := source.demands[share.Calls("One")]; want != (share.Demand{InUse: 1, Waiting: 1}) {
			t.Errorf("told %+v", want)
		}
		second := make(chan *Failure)
		go func() { second <- f.serveAs(t.Context(), "k1") }()
		synctest.Wait()
		source.set(share.Calls("One"), 2)
		time.Sleep(2 * concurrencyPoll)
		close(hold)
		if failure := <-first; failure != nil {
			t.Error(failure)
		}
		if failure := <-second; failure != nil {
			t.Error("refused although the share grew:", failure)
		}
		synctest.Wait()
		f.quotas.publishDemands(f.now())
		if want := source.demands[share.Calls("One")]; want.InUse != 0 {
			t.Errorf("%+v after the ends", want)
		}
	})
}

// TestDemandOfAnIdleTenantEnds: what was told of a long request is withdrawn after its end, and what is told of a quota with the quota.
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
			t.Errorf("told %+v of a request in flight", want)
		}
		if failure := <-done; failure != nil {
			t.Error(failure)
		}
		synctest.Wait()
		f.quotas.publishDemands(f.now())
		if want := source.demands[share.Calls("One")]; want != (share.Demand{}) {
			t.Errorf("told %+v after its end", want)
		}
	})
}

// TestFirstRequestOfATenantIsTold with the demand that it makes.
func TestFirstRequestPublishesTenantDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, source := quotaFixture(t, ";t concurrency 5", good)
		source.set(share.Calls("One"), 0)
		f.serveAs(t.Context(), "k1")
		if first := source.demandsAtFirstRenewal[share.Calls("One")]; first.Waiting != 1 {
			t.Errorf("told %+v first", first)
		}
	})
}

// TestWithoutQuotaNothingIsComputed: no tenant is held, nothing told.
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

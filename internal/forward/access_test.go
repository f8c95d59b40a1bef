package forward

import (
	"context"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/tenant"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

var tenantRows = baseRows + "r route_kind repeatable;l kind listener;l keys_required true;" +
	"t kind tenant;t tenant_name One;t key_digests " + tenant.Digest("k1") + ";u kind tenant;u tenant_name Two;u priority 3"

// serveWithKey serves a request with a key, or with the name of a tenant that was authenticated before.
func (f *fixture) serveWithKey(key, known string) *Failure {
	return f.Serve(context.Background(), &Request{AttemptID: "id", Method: "POST", Path: "/x", Host: "h", Key: key, Tenant: known, Received: time.Now()}, &recordedReply{})
}

func TestTenantIsSentToBackEnds(t *testing.T) {
	f := newFixture(t, tenantRows, good)
	for _, test := range []struct {
		key, known, want string
		reason           Reason
	}{{"k1", "", "One", 0}, {"", "Two", "Two", 0}, {"k1", "Gone", "Gone", 0}, {"k2", "", "", Unauthenticated}, {"", "", "", Unauthenticated}} {
		before := len(f.caller.calls)
		failure := f.serveWithKey(test.key, test.known)
		if test.reason != 0 {
			if failure == nil || failure.Reason != test.reason || failure.Verdict != verdict.DidNotRun || len(f.caller.calls) != before {
				t.Errorf("%+v: got failure %v after %d sends, want the listed reason, no run and no send", test, failure, len(f.caller.calls)-before)
			}
			continue
		}
		if failure != nil || f.caller.calls[before].Tenant != test.want {
			t.Errorf("%+v: got failure %v, want an answer and the listed tenant sent to the back end", test, failure)
		}
	}
}

// TestKeyRemovedBetweenAttempts checks a request whose key is removed from the table during its first attempt. If no
// back end ran it, it is rejected as unauthenticated. If it may have run, it is not sent again.
func TestKeyRemovedBetweenAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		first step
		want  Reason
		known verdict.Verdict
	}{"refused by the first": {unreachable, Unauthenticated, verdict.DidNotRun}, "lost by the first": {lost, Broken, verdict.MayHaveRun}} {
		views := viewsOf(t, tenantRows, "t key_digests "+tenant.Digest("k2"))
		var f *fixture
		f = newFixture(t, tenantRows, func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
			f.Update(views[1])
			f.lease.set(views[1].Version(), false)
			return test.first(ctx, call, sink)
		}, good)
		failure := f.serveWithKey("k1", "")
		if failure == nil || failure.Reason != test.want || failure.Verdict != test.known || len(f.caller.calls) != 1 {
			t.Errorf("%s: got failure %v after %d sends, want the listed reason and verdict after 1 send", name, failure, len(f.caller.calls))
		}
	}
}

// TestTenantPriorityOverridesRoutePriority checks that a tenant's own priority takes precedence over that of the route.
func TestTenantPriorityOverridesRoutePriority(t *testing.T) {
	f := newFixture(t, tenantRows+";r priority 7", good)
	for known, want := range map[string]uint32{"One": 7, "Two": 3, "Gone": 7} {
		x := f.newExchange(&Request{Tenant: known, Host: "h", Path: "/"}, &recordedReply{})
		plan := f.plan.Load()
		x.route = plan.routes.Match("h", "/")
		if err := x.authenticate(plan, x.route); err != nil || x.priority() != want {
			t.Errorf("%s: got priority %d and error %v, want the listed priority", known, x.priority(), err)
		}
	}
}

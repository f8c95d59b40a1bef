package forward

import (
	"context"
	"errors"
	"fmt"

	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
)

// identityOf returns the parts of a request that stay the same when it is sent again.
func identityOf(request *Request, tenant string) poison.Identity {
	identity := poison.Identity{Tenant: tenant, Method: request.Method, Host: request.Host, Path: request.Path, Body: request.Body, Owed: request.Owed}
	for _, field := range request.Header {
		identity.Header = append(identity.Header, poison.Field(field))
	}
	return identity
}

// digest returns the digest of the request's identity.
func (x *exchange) digest() poison.Digest {
	identity := identityOf(x.request, x.tenantName)
	return identity.Digest()
}

// permitRun asks the guard for one more run of the request, and returns a failure if none is permitted now. Each send
// is a separate run, because the back end of the previous one may have crashed since.
func (x *exchange) permitRun(ctx context.Context) *Failure {
	guard := x.forwarder.config.Guard
	if guard == nil || x.permittedRun != nil {
		return nil
	}
	run, judged := guard.Begin(ctx, x.identityFunc())
	if run != nil {
		x.permittedRun = run
		return nil
	}
	x.runRefused = true
	failure := x.newFailure(ctx, Suspected, errors.Join(fmt.Errorf("forward: %d back ends crashed under the request", judged.Crashes), x.lastErr))
	failure.Condemned = judged.Condemned()
	if !x.mayHaveRun {
		failure.RetryAfter = judged.Remaining
	}
	return failure
}

// identityFunc returns a function that computes the request's identity with its present tenant. Later attempts may
// change the tenant.
func (x *exchange) identityFunc() func() poison.Identity {
	tenant := x.tenantName
	return func() poison.Identity { return identityOf(x.request, tenant) }
}

// permitHedge asks the guard for a concurrent run without waiting. It returns false if no run is permitted, or only one
// at a time.
func (x *exchange) permitHedge() bool {
	guard := x.forwarder.config.Guard
	if guard == nil {
		return true
	}
	if x.permittedRun == nil {
		x.permittedRun, _ = guard.TryBegin(context.Background(), x.identityFunc())
	}
	return x.permittedRun != nil && !x.permittedRun.Suspected()
}

// returnUnclaimedRun returns a permitted run that is not sent yet, so that permission is asked again: a newer table may
// forbid the run. A claimed run is kept, because the claim itself changes the table.
func (x *exchange) returnUnclaimedRun() {
	if x.permittedRun != nil && !x.permittedRun.Claimed() {
		x.returnRun(context.Background())
	}
}

// returnRun returns a permitted run that was not used.
func (x *exchange) returnRun(ctx context.Context) {
	if x.permittedRun != nil {
		x.permittedRun.End(ctx, poisonguard.NotRun)
		x.permittedRun = nil
	}
}

// excludedBackends returns the back ends that the next choice excludes. needed holds those already tried. preferred
// also holds, for a suspect, the back ends that run another suspect; it applies as long as it leaves a back end.
func (x *exchange) excludedBackends() (preferred, needed []string) {
	if x.permittedRun == nil || !x.permittedRun.Suspected() {
		return x.triedBackends, x.triedBackends
	}
	return append(x.forwarder.config.Guard.Occupied(), x.triedBackends...), x.triedBackends
}

// isUnsent reports whether the table or the lease stopped the attempt before it was sent. Its run can still be used.
func (a *attempt) isUnsent() bool {
	return errors.Is(a.outcome.Err, errTableChanged) || errors.Is(a.outcome.Err, errNoLease)
}

// reclaimRun takes back the run of an attempt that was not sent.
func (x *exchange) reclaimRun(a *attempt) {
	if a.permittedRun == nil {
		return
	}
	a.permittedRun.ClearBackEnd()
	x.returnRun(context.Background())
	x.permittedRun = a.permittedRun
}

// endRun reports to the guard how the attempt's run ended. It is called before any other decision on the attempt.
func (a *attempt) endRun(ctx context.Context) {
	if a.permittedRun == nil || a.isUnsent() {
		return
	}
	a.permittedRun.End(ctx, a.runEnding(ctx))
}

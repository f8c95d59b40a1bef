package forward

import (
	"errors"

	"github.com/tamarindring/tamarindring/internal/route"
	"github.com/tamarindring/tamarindring/internal/tenant"
)

var (
	errKeyMissing = errors.New("forward: the request has no key")
	errKeyUnknown = errors.New("forward: no tenant has the request's key")
)

// Access is what the table in force says of a request before anything else is decided.
type Access struct {
	Route   *route.Route // nil: no route matches
	Tenant  string       // empty: the caller is anonymous
	Refused bool         // the key is missing, or no tenant has it
}

// Access returns a request's route and tenant, under the lease; known is false when there is no configuration to tell by, or
// no lease.
func (f *Forwarder) Access(host, path, key string) (access Access, known bool) {
	plan := f.current()
	if plan == nil {
		return Access{}, false
	}
	access.Route = plan.routes.Match(host, path)
	if access.Route == nil {
		return access, true
	}
	found, refused := plan.tenants.Authenticate(key, access.Route.Anonymous)
	access.Refused, access.Tenant = refused, nameOf(found)
	return access, true
}

// Match returns the route of a request, under the lease; known is false when there is no configuration to tell by, or no
// lease.
func (f *Forwarder) Match(host, path string) (matched *route.Route, known bool) {
	plan := f.current()
	if plan == nil {
		return nil, false
	}
	return plan.routes.Match(host, path), true
}

// HostAccess returns the tenant of a call that concerns a host and no route of it, under the lease. It may be anonymous where
// one of the host's routes is.
func (f *Forwarder) HostAccess(host, key string) (access Access, known bool) {
	plan := f.current()
	if plan == nil {
		return Access{}, false
	}
	found, refused := plan.tenants.Authenticate(key, plan.routes.Anonymous(host))
	return Access{Tenant: nameOf(found), Refused: refused}, true
}

func nameOf(found *tenant.Tenant) string {
	if found == nil {
		return ""
	}
	return found.Name
}

// authenticate finds out who the request is from, by the plan that it is decided on; an error if it may not run.
func (x *exchange) authenticate(plan *plan, matched *route.Route) error {
	if name := x.request.Tenant; name != "" {
		x.caller, x.tenant = plan.tenants.Named(name), name
		return nil
	}
	found, refused := plan.tenants.Authenticate(x.request.Key, matched.Anonymous)
	switch {
	case refused && x.request.Key == "":
		return errKeyMissing
	case refused:
		return errKeyUnknown
	}
	x.caller, x.tenant = found, nameOf(found)
	return nil
}

// priority is the rank of the request: its tenant's, where that has one, or its route's.
func (x *exchange) priority() uint32 {
	if x.caller != nil && x.caller.Ranked {
		return x.caller.Priority
	}
	return x.route.Priority
}

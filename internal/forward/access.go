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

// Access holds the route and tenant that the current table assigns to a request.
type Access struct {
	Route   *route.Route // nil: no route matches
	Tenant  string       // empty: the caller is anonymous
	Refused bool         // the key is missing, or no tenant has it
}

// Access returns a request's route and tenant while the lease holds. known is false without a configuration or a lease.
func (f *Forwarder) Access(host, path, key string) (access Access, known bool) {
	plan := f.currentPlan()
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

// Match returns the route of a request while the lease holds, or nil if none matches. known is false without a
// configuration or a lease.
func (f *Forwarder) Match(host, path string) (matched *route.Route, known bool) {
	plan := f.currentPlan()
	if plan == nil {
		return nil, false
	}
	return plan.routes.Match(host, path), true
}

// HostAccess returns the tenant of a call that concerns a host rather than one of its routes, while the lease holds.
// The caller may be anonymous if one of the host's routes permits that. known is false without a configuration or a
// lease.
func (f *Forwarder) HostAccess(host, key string) (access Access, known bool) {
	plan := f.currentPlan()
	if plan == nil {
		return Access{}, false
	}
	found, refused := plan.tenants.Authenticate(key, plan.routes.AllowsAnonymous(host))
	return Access{Tenant: nameOf(found), Refused: refused}, true
}

func nameOf(found *tenant.Tenant) string {
	if found == nil {
		return ""
	}
	return found.Name
}

// authenticate determines the request's tenant from the given plan. It returns an error if the request is not
// permitted.
func (x *exchange) authenticate(plan *plan, matched *route.Route) error {
	if name := x.request.Tenant; name != "" {
		x.callerTenant, x.tenantName = plan.tenants.Find(name), name
		return nil
	}
	found, refused := plan.tenants.Authenticate(x.request.Key, matched.Anonymous)
	switch {
	case refused && x.request.Key == "":
		return errKeyMissing
	case refused:
		return errKeyUnknown
	}
	x.callerTenant, x.tenantName = found, nameOf(found)
	return nil
}

// priority returns the priority of the request's tenant if that has one, else the route's.
func (x *exchange) priority() uint32 {
	if x.callerTenant != nil && x.callerTenant.HasPriority {
		return x.callerTenant.Priority
	}
	return x.route.Priority
}

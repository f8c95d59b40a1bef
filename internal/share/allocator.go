package share

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
)

// ResourceDemand is a demand that a process reports for a named resource.
type ResourceDemand struct {
	Resource string
	Demand   Demand
}

// Grant is the amount of a named resource that a process may use until its lease ends.
type Grant struct {
	Resource string
	Amount   uint32
}

// Renewal is the report of a process that renews its lease.
type Renewal struct {
	Holder lease.HolderID
	// Number identifies the answer to this renewal. It increases with each renewal, across all holders.
	Number uint64
	// AppliedAnswer is the number of the newest answer that the holder has applied. 0 means that it has applied none of
	// this leader's answers.
	AppliedAnswer uint64
	LeaseEnds     time.Duration // end of the lease by the leader's clock
	Demands       []ResourceDemand
}

// Allocator is the leader's side of the division. It divides each resource between the processes that want some of it,
// and does not give out an amount that one of its earlier answers may still leave in use. Unused amounts of most
// gateways can thus serve a burst at a few of them. A node creates a new Allocator each time it becomes leader. An
// Allocator is not safe for concurrent use.
type Allocator struct {
	settledAt time.Duration
	divisions map[string]*division
}

// NewAllocator returns the Allocator of a new leader. settledAt is the time by which the leases granted by earlier
// leaders have ended. Until then each process keeps what it has in use, because the rest may be in use elsewhere under
// a share from an earlier leader.
func NewAllocator(settledAt time.Duration) *Allocator {
	return &Allocator{settledAt: settledAt, divisions: map[string]*division{}}
}

// SetLimit sets the limit of a resource for subsequent answers, and starts dividing the resource if it was not
// divided.
func (a *Allocator) SetLimit(resource string, limit uint32) {
	existing := a.divisions[resource]
	if existing == nil {
		existing = newDivision(kindOf(resource))
		a.divisions[resource] = existing
	}
	existing.limit = int64(limit)
}

// Forget stops dividing a resource.
func (a *Allocator) Forget(resource string) { delete(a.divisions, resource) }

// Renew records a holder's demands and returns its shares of the resources that have a limit.
func (a *Allocator) Renew(now time.Duration, renewal *Renewal) []Grant {
	var grants []Grant
	for _, demand := range renewal.Demands {
		if existing := a.divisions[demand.Resource]; existing != nil {
			amount := existing.renew(now, now < a.settledAt, renewal, demand.Demand)
			grants = append(grants, Grant{Resource: demand.Resource, Amount: amount})
		}
	}
	return grants
}

// Release frees all shares of a holder that has promised to use nothing any more.
func (a *Allocator) Release(holder lease.HolderID) {
	for _, existing := range a.divisions {
		existing.release(holder)
	}
}

// Usage is the state of the division of one resource.
type Usage struct {
	Resource string
	Limit    uint32
	Entitled uint32 // sum of the shares in force, without lent amounts
	InUse    uint32 // as reported by the holders
	Waiting  uint32 // as reported by the holders
	Holders  int    // number of holders with a demand and a lease that has not ended
}

// Usages returns the state of all divided resources, in no particular order.
func (a *Allocator) Usages(now time.Duration) []Usage {
	usages := make([]Usage, 0, len(a.divisions))
	for resource, existing := range a.divisions {
		usages = append(usages, existing.usage(now, resource))
	}
	return usages
}

package control

import (
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/tenant"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// shares divides resources among the processes that renew their leases on this leader. Like the leases it is soft
// state: a new leader learns the demands from the renewals.
type shares struct {
	clock monotonic.Clock
	lease time.Duration // lease duration as the leader counts it, including clock drift
	read  func(known uint64) *wire.TableUpdate

	mutex     sync.Mutex
	term      uint64           // term in which this node leads
	allocator *share.Allocator // nil while this node does not lead
	view      *table.View      // table that the limits derive from
	tenants   *tenant.Index
	limited   map[string]bool // resources with a limit
}

func newShares(clock monotonic.Clock, settings lease.Settings, read func(known uint64) *wire.TableUpdate) *shares {
	counted := settings.Lease + time.Duration(float64(settings.Lease)*settings.ClockDrift)
	return &shares{clock: clock, lease: counted, read: read, view: table.NewView()}
}

// beginLeading resets the shares for a leader of term. Shares granted by earlier leaders may be in use until their
// leases have ended.
func (s *shares) beginLeading(term uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.allocator != nil && s.term == term {
		return
	}
	s.term, s.allocator, s.limited = term, share.NewAllocator(s.clock()+s.lease), map[string]bool{}
}

// stopLeading drops all demands and shares.
func (s *shares) stopLeading() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.allocator, s.limited = nil, nil
}

// release returns the shares of a holder that leaves.
func (s *shares) release(holder lease.HolderID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.allocator != nil {
		s.allocator.Release(holder)
	}
}

// renew returns the shares for the demands of a renewal whose lease was granted in term. version is the table version
// applied on this node. It returns nil if there are no demands or this node does not lead in term.
func (s *shares) renew(term, version uint64, holder *session, request *wire.SessionRequest) []*wire.ResourceShare {
	if len(request.Demands) == 0 {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.allocator == nil || s.term != term {
		return nil
	}
	s.followTable(version)
	renewal := &share.Renewal{Holder: holder.holder, Number: holder.answerNumber(request.Sequence), LeaseEnds: s.clock() + s.lease}
	if request.SharesFrom > 0 {
		renewal.AppliedAnswer = holder.answerNumber(request.SharesFrom)
	}
	for _, demand := range request.Demands {
		s.ensureLimit(demand.Resource)
		renewal.Demands = append(renewal.Demands, share.ResourceDemand{Resource: demand.Resource, Demand: share.Demand{InUse: demand.InUse, Waiting: demand.Waiting}})
	}
	grants := s.allocator.Renew(s.clock(), renewal)
	answered := make([]*wire.ResourceShare, 0, len(grants))
	for _, grant := range grants {
		answered = append(answered, &wire.ResourceShare{Resource: grant.Resource, Amount: grant.Amount})
	}
	return answered
}

// followTable updates the limits to a table version. The caller holds the mutex.
func (s *shares) followTable(version uint64) {
	if version <= s.view.Version() {
		return
	}
	update := s.read(s.view.Version())
	if update == nil {
		return
	}
	next, err := s.view.Apply(update)
	if err != nil {
		s.view = table.NewView() // the next renewal reads the whole table
		return
	}
	s.view, s.tenants = next, tenant.NewIndex(next, s.tenants)
	for resource := range s.limited {
		s.setLimit(resource)
	}
}

// ensureLimit sets the limit of a resource at its first demand. The caller holds the mutex.
func (s *shares) ensureLimit(resource string) {
	if !s.limited[resource] {
		s.setLimit(resource)
	}
}

func (s *shares) setLimit(resource string) {
	limit, divided := s.limitOf(resource)
	if !divided {
		s.allocator.Forget(resource)
		delete(s.limited, resource)
		return
	}
	s.limited[resource] = true
	s.allocator.SetLimit(resource, limit)
}

// limitOf returns the limit of a resource according to the table. divided is false if the table does not configure the
// resource as divided.
func (s *shares) limitOf(resource string) (limit uint32, divided bool) {
	if pool, is := share.PoolOf(resource); is {
		row := s.view.Pool(pool)
		if row == nil || !row.SharedSlots {
			return 0, false
		}
		for _, backend := range s.view.Backends(pool) {
			if backend.Serving() {
				limit += uint32(backend.MaxInFlight)
			}
		}
		return limit, true
	}
	if instance, is := share.TurnOf(resource); is {
		return 1, s.view.Backend(instance) != nil
	}
	if pool, is := share.BytesPool(resource); is {
		return 0, s.view.Pool(pool) != nil
	}
	if name, is := share.RateTenant(resource); is {
		if found := s.tenants.Find(name); found != nil && found.Quota.Rate > 0 {
			return found.Quota.Rate * share.RateUnit, true
		}
	}
	if name, is := share.CallsTenant(resource); is {
		if found := s.tenants.Find(name); found != nil && found.Quota.Concurrency > 0 {
			return found.Quota.Concurrency, true
		}
	}
	return 0, false
}

// usages lists the divided resources. It is empty while this node does not lead.
func (s *shares) usages() []share.Usage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.allocator == nil {
		return nil
	}
	return s.allocator.Usages(s.clock())
}

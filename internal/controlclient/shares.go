package controlclient

import (
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// earlyRenewalsPerLease bounds the early renewals that shares cause within a lease to twice the number of regular
// ones, which limits the load that a pool under pressure puts on the control group.
const earlyRenewalsPerLease = 2 * renewalsPerLease

// shareState holds the shares of divided resources that this session was granted and the demands that it reports. It
// is safe for concurrent use.
type shareState struct {
	mutex            sync.Mutex
	holding          *share.Holding
	demands          map[string]*demandState
	leaseDuration    time.Duration // duration of the last lease
	lastEarlyRenewal time.Duration // when the last early renewal was sent
	onShares         func()        // called when the leader has answered with shares; may be nil
}

// demandState tracks the demand of this process for one resource.
type demandState struct {
	demand   share.Demand
	updated  bool // the demand was set again since it was last reported
	reported bool // the present demand was reported on this stream and not left unanswered
}

// newShareState returns a state without shares or demands.
func newShareState() *shareState {
	return &shareState{holding: share.NewHolding(), demands: map[string]*demandState{}}
}

var _ share.Source = (*Session)(nil)

// Share implements share.Source.
func (s *Session) Share(resource string) (amount uint32, divided bool) {
	s.sharing.mutex.Lock()
	defer s.sharing.mutex.Unlock()
	return s.sharing.holding.Share(s.client.config.Clock(), resource)
}

// SetDemand implements share.Source.
func (s *Session) SetDemand(resource string, demand share.Demand) {
	s.sharing.mutex.Lock()
	defer s.sharing.mutex.Unlock()
	entry := s.sharing.demands[resource]
	if entry == nil {
		entry = &demandState{}
		s.sharing.demands[resource] = entry
	}
	if entry.demand != demand {
		entry.demand, entry.reported = demand, false
	}
	entry.updated = true
}

// RenewEarly implements share.Source.
func (s *Session) RenewEarly() {
	if s.sharing.mayRenewEarly(s.client.config.Clock()) {
		s.renewSoon()
	}
}

// OnShares sets the function to call whenever the leader has answered with shares. It must not block.
func (s *Session) OnShares(listener func()) {
	s.sharing.mutex.Lock()
	defer s.sharing.mutex.Unlock()
	s.sharing.onShares = listener
}

// listener returns the function set by OnShares, or nil.
func (h *shareState) listener() func() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.onShares
}

// mayRenewEarly reports whether an early renewal is allowed now, and if so counts it. None is allowed before the
// first grant.
func (h *shareState) mayRenewEarly(now time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.leaseDuration == 0 || now-h.lastEarlyRenewal < h.leaseDuration/earlyRenewalsPerLease {
		return false
	}
	h.lastEarlyRenewal = now
	return true
}

// resetReported clears which demands were reported, because the next renewal may go to a node that has not received
// them.
func (h *shareState) resetReported() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, entry := range h.demands {
		entry.reported = false
	}
}

// takeDue returns the demands to report with the next renewal and marks them reported. These are all nonzero demands,
// and zero demands set since their last report that the leader does not know yet. A process without demand reports
// nothing.
func (h *shareState) takeDue() []share.ResourceDemand {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var due []share.ResourceDemand
	for resource, entry := range h.demands {
		if entry.demand == (share.Demand{}) && (entry.reported || !entry.updated) {
			continue
		}
		entry.reported, entry.updated = true, false
		due = append(due, share.ResourceDemand{Resource: resource, Demand: entry.demand})
	}
	return due
}

// applyGrant applies the shares of a reply to a renewal that reported due. lowered reports that a share was reduced,
// which the leader waits to have confirmed.
func (h *shareState) applyGrant(due []share.ResourceDemand, reply *wire.SessionReply, sentAt, lease time.Duration) (lowered bool) {
	grants := make([]share.Grant, 0, len(reply.Shares))
	answered := make(map[string]bool, len(reply.Shares))
	for _, one := range reply.Shares {
		grants = append(grants, share.Grant{Resource: one.Resource, Amount: one.Amount})
		answered[one.Resource] = true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.leaseDuration = lease
	for _, reported := range due {
		if entry := h.demands[reported.Resource]; entry != nil && !answered[reported.Resource] {
			entry.reported = false
		}
	}
	return h.holding.Apply(due, grants, sentAt+lease)
}

// encodeDemands converts demands to the messages that a renewal carries.
func encodeDemands(due []share.ResourceDemand) []*wire.ResourceDemand {
	reported := make([]*wire.ResourceDemand, 0, len(due))
	for _, one := range due {
		reported = append(reported, &wire.ResourceDemand{Resource: one.Resource, InUse: one.Demand.InUse, Waiting: one.Demand.Waiting})
	}
	return reported
}

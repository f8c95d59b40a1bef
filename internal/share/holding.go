package share

import "time"

// Holding is the holder's side of the division: its shares and the ends of the leases that they came with. Use
// NewHolding to create one. It is not safe for concurrent use.
type Holding struct {
	shares map[string]heldShare
}

// heldShare is a share of one resource.
type heldShare struct {
	amount uint32
	ends   time.Duration // end of the lease that it came with
}

// NewHolding returns a Holding without shares.
func NewHolding() *Holding { return &Holding{shares: map[string]heldShare{}} }

// Apply applies the answer to a renewal that reported demands. The shares are valid until ends. A resource
// in demands that has no grant is not divided by this leader. A granted resource that is not in demands was reported
// shortly before, and its share is applied as well. lowered reports whether a share is less than before; the leader
// waits for a renewal that confirms it.
func (h *Holding) Apply(demands []ResourceDemand, grants []Grant, ends time.Duration) (lowered bool) {
	divided := make(map[string]bool, len(grants))
	for _, grant := range grants {
		divided[grant.Resource] = true
		if before, known := h.shares[grant.Resource]; known && grant.Amount < before.amount {
			lowered = true
		}
		h.shares[grant.Resource] = heldShare{amount: grant.Amount, ends: ends}
	}
	for _, one := range demands {
		if !divided[one.Resource] {
			delete(h.shares, one.Resource)
		}
	}
	return lowered
}

// Share returns the amount of a resource that may be used at now. After a share has ended, it returns the small amount
// that every process may use without asking, so that the process's first requests need not wait for an answer. divided
// is false if the leader does not divide the resource.
func (h *Holding) Share(now time.Duration, resource string) (amount uint32, divided bool) {
	found, known := h.shares[resource]
	if !known {
		return 0, false
	}
	if now < found.ends {
		return found.amount, true
	}
	return uint32(kindOf(resource).lent), true
}

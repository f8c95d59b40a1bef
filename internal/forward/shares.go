package forward

import (
	"context"
	"math"
	"time"

	"github.com/tamarindring/tamarindring/internal/admission"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/share"
)

const (
	// sharePollInterval is how often demands are published, for the next renewal, and shares are checked for expiry.
	sharePollInterval = 20 * time.Millisecond
	// shareLogInterval bounds the log lines of a pool whose requests wait for a larger share.
	shareLogInterval = 10 * time.Second
)

// slotSharing is the state of a pool whose slots are divided between processes. The zero value divides nothing.
type slotSharing struct {
	source     share.Source     // nil: the pool is not divided
	growth     share.Growth     // of this process's share
	undivided  admission.Limits // limits as if this process were alone
	lastLogged time.Duration    // when the last log line about a short share was written
}

// FollowShares adjusts the pools' limits to this process's shares until ctx ends. It does not poll while no shared
// resource is in use, because polling would be the most frequent activity of an idle gateway.
func (f *Forwarder) FollowShares(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.shareWakeup:
			f.pollShares(ctx)
		}
	}
}

// pollShares polls the shares until ctx ends or no shared resource is in use. In the latter case it polls once more, to
// publish that the demands have ended.
func (f *Forwarder) pollShares(ctx context.Context) {
	ticker := time.NewTicker(sharePollInterval)
	defer ticker.Stop()
	for used := true; used; used = f.usesShares() {
		f.SharesChanged()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	f.SharesChanged()
}

// wakeShareFollower makes FollowShares poll until no shared resource is in use.
func (f *Forwarder) wakeShareFollower() {
	select {
	case f.shareWakeup <- struct{}{}:
	default:
	}
}

// usesShares reports whether this process uses shared resources: slots of a pool, turns of large bodies or the quota of
// a tenant.
func (f *Forwarder) usesShares() bool {
	plan := f.plan.Load()
	if plan == nil || f.config.Shares == nil {
		return false
	}
	for _, pool := range plan.pools {
		if pool.usesShare(f.now()) {
			return true
		}
	}
	return f.quotas.isInUse(f.now())
}

// usesShare reports whether shared slots of the pool are taken or waited for at this process, or whether limits and
// turns of its large bodies must be exchanged.
func (p *pool) usesShare(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sharing.source != nil && p.queue.InFlight()+p.queue.Waiting() > 0 || p.large.isInUse(now)
}

// SharesChanged applies the current shares and publishes the demands.
func (f *Forwarder) SharesChanged() {
	plan := f.plan.Load()
	if plan == nil {
		return
	}
	for _, pool := range plan.pools {
		pool.updateShare(f.now())
		pool.syncLarge(f.now())
	}
	f.quotas.publishDemands(f.now())
}

// withdraw withdraws the demands of a pool that was removed from the table.
func (p *pool) withdraw(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setSharedLimits(now, p.sharing.undivided, nil)
	p.withdrawLarge()
}

// setSharedLimits sets the limits of a table view. A nil source leaves the pool undivided. The caller holds the mutex.
func (p *pool) setSharedLimits(now time.Duration, limits admission.Limits, source share.Source) {
	if p.sharing.source != nil && source == nil {
		p.sharing.source.SetDemand(share.Slots(p.name), share.Demand{})
	}
	p.sharing.source, p.sharing.undivided = source, limits
	p.deliverDecisions(p.queue.SetLimits(now, p.currentLimits(now)))
}

// updateShare publishes the pool's demand and applies its share.
func (p *pool) updateShare(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sharing.source != nil {
		p.updateShareLocked(now)
	}
}

// updateShareLocked does the work of updateShare. The caller holds the mutex.
func (p *pool) updateShareLocked(now time.Duration) {
	waiting := p.queue.Waiting()
	p.sharing.source.SetDemand(share.Slots(p.name), share.Demand{InUse: uint32(p.queue.InFlight()), Waiting: uint32(waiting)})
	limits := p.currentLimits(now)
	if limits.Slots != p.queue.Slots() || limits.Reach != p.queue.Reach() {
		p.deliverDecisions(p.queue.SetLimits(now, limits))
	}
	p.metrics.share.WithLabelValues(p.name).Set(float64(limits.Slots))
	if waiting > 0 && limits.Slots < p.sharing.undivided.Slots {
		p.sharing.source.RenewEarly()
		p.logShare(now, limits.Slots, waiting)
	}
}

// currentLimits returns the table's limits, reduced to this process's share if the pool is divided. The caller holds
// the mutex.
func (p *pool) currentLimits(now time.Duration) admission.Limits {
	limits := p.sharing.undivided
	if p.sharing.source == nil || limits.Slots == 0 {
		return limits
	}
	amount, divided := p.sharing.source.Share(share.Slots(p.name))
	if !divided {
		return limits
	}
	if p.sharing.growth.Observe(now, int(amount), p.queue.Waiting() > 0); p.sharing.growth.Expected(now) {
		limits.Reach = max(p.usableSlots(now, limits.Slots), 1)
	}
	limits.Slots = min(max(p.usableSlots(now, int(amount)), 1), limits.Slots)
	limits.RolloutSlots = limits.Slots
	return limits
}

// usableSlots returns how much of a share the back ends in use here have slots for. The slots of back ends in
// quarantine are lost to the pool before the table says so, and requests sent in their place would overload the others.
func (p *pool) usableSlots(now time.Duration, amount int) int {
	total, quarantined := 0, 0
	for instance, slots := range p.slots {
		total += slots
		if remaining, _ := p.replicas.Quarantine(instance, now); remaining > 0 {
			quarantined += slots
		}
	}
	if quarantined == 0 || quarantined == total {
		return amount
	}
	return int(math.Ceil(float64(amount) * float64(total-quarantined) / float64(total)))
}

// logShare logs that requests wait for a larger share, at most once per shareLogInterval. The caller holds the mutex.
func (p *pool) logShare(now time.Duration, slots, waiting int) {
	if p.sharing.lastLogged > 0 && now-p.sharing.lastLogged < shareLogInterval {
		return
	}
	p.sharing.lastLogged = now
	logging.Emit(p.log, &events.ShareShort{Pool: p.name, Share: slots, PoolSlots: p.sharing.undivided.Slots, InFlight: p.queue.InFlight(), Waiting: waiting})
}

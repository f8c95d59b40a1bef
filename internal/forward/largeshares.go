package forward

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/replicabytes"
	"github.com/tamarindring/tamarindring/internal/share"
)

// largeSharing is the state that the processes of a fleet share through the leader about large bodies at one pool's
// back ends: the learned limits and, while a limit exists, which process has its turn at each back end. The zero value
// shares nothing.
type largeSharing struct {
	source    share.Source
	turns     *replicabytes.Turns
	seed      maphash.Seed // makes each process prefer different back ends
	active    bool         // a large body has arrived
	lastLimit int64        // at the last check of the shares
	usable    []string     // back ends open to large bodies at the last check
}

// startLargeSharing applies the fleet's limit and wakes the polling of shares. With the pool's first large body it starts
// to share limits and turns. The caller holds the mutex.
func (p *pool) startLargeSharing(now time.Duration) {
	if p.large.sharing.source == nil {
		return
	}
	p.readFleetLimit(now) // shares may not have been polled for a long time
	p.onShareUse()
	if p.large.sharing.active {
		return
	}
	p.large.sharing.active = true
	p.publishLimit(now)
	p.large.sharing.source.RenewEarly()
}

// isInUse reports whether limits or turns must still be shared, because large bodies are present or a limit or a turn
// has not ended.
func (l *largeBodies) isInUse(now time.Duration) bool {
	return l.sharing.active && (l.ledger.Bytes() > 0 || len(l.queue) > 0 || len(l.sharing.turns.Instances()) > 0 || l.ledger.LearnedLimit(now) > 0 ||
		l.ledger.SingleBodyCrash(now) > 0)
}

// withdrawLarge withdraws the demands of a pool that was removed from the table. The caller holds the mutex.
func (p *pool) withdrawLarge() {
	sharing := &p.large.sharing
	if !sharing.active {
		return
	}
	for _, instance := range sharing.turns.Instances() {
		sharing.source.SetDemand(share.Turn(instance), share.Demand{})
	}
	sharing.source.SetDemand(share.Bytes(p.name), share.Demand{})
	sharing.active, sharing.turns = false, replicabytes.NewTurns()
}

// readFleetLimit passes the fleet's limit to the ledger. The caller holds the mutex.
func (p *pool) readFleetLimit(now time.Duration) {
	limit, _ := p.large.sharing.source.Share(share.Bytes(p.name))
	p.large.ledger.SetFleetLimit(now, int64(limit)*share.BytesUnit)
}

// publishLimit reports the limit that this process has learned to the leader. The caller holds the mutex.
func (p *pool) publishLimit(now time.Duration) {
	limit := p.large.ledger.LearnedLimit(now)
	lone := p.large.ledger.SingleBodyCrash(now)
	p.large.sharing.source.SetDemand(share.Bytes(p.name), share.Demand{InUse: byteUnits(limit), Waiting: 1 + byteUnits(lone)})
}

// byteUnits converts bytes to units of share.BytesUnit, rounded up.
func byteUnits(bytes int64) uint32 {
	return uint32((bytes + share.BytesUnit - 1) / share.BytesUnit)
}

// syncLarge exchanges limits and turns with the fleet.
func (p *pool) syncLarge(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sharing := &p.large.sharing
	if !sharing.active {
		return
	}
	p.publishLimit(now)
	p.readFleetLimit(now)
	waiting := len(p.large.queue)
	if p.large.ledger.Limit(now) == 0 {
		waiting = 0 // without a limit the remaining turns end
	}
	before := sharing.turns.Instances()
	sharing.turns.Step(now, &replicabytes.StepInput{Replicas: p.eligibleBackends(), Waiting: waiting, Granted: p.isGranted,
		Held: func(instance string) bool { return p.large.ledger.Held(instance) > 0 }})
	p.publishTurns(before)
	p.notifyOnShareChange(now)
}

// notifyOnShareChange wakes the first body in the queue if the limit or this process's turns have changed. The caller
// holds the mutex.
func (p *pool) notifyOnShareChange(now time.Duration) {
	sharing, open, limit := &p.large.sharing, p.eligibleBackends(), p.large.ledger.Limit(now)
	open = slices.DeleteFunc(open, func(instance string) bool { return !p.mayUseTurn(now, instance) })
	if limit != sharing.lastLimit || !slices.Equal(open, sharing.usable) {
		sharing.lastLimit, sharing.usable = limit, open
		p.notifyLarge(now)
	}
}

// publishTurns reports the demands for turns to the leader, and withdraws those that the last step ended. The caller
// holds the mutex.
func (p *pool) publishTurns(before []string) {
	sharing := &p.large.sharing
	for _, instance := range before {
		if _, _, known := sharing.turns.Demand(instance); !known {
			sharing.source.SetDemand(share.Turn(instance), share.Demand{})
		}
	}
	for _, instance := range sharing.turns.Instances() {
		inUse, waiting, _ := sharing.turns.Demand(instance)
		sharing.source.SetDemand(share.Turn(instance), share.Demand{InUse: inUse, Waiting: waiting})
		if waiting > 0 {
			sharing.source.RenewEarly()
		}
	}
}

// isGranted reports whether the leader's last answer assigns a back end to this process.
func (p *pool) isGranted(instance string) bool {
	amount, _ := p.large.sharing.source.Share(share.Turn(instance))
	return amount > 0
}

// eligibleBackends returns the back ends that accept work, in an order that differs between processes. The caller holds
// the mutex.
func (p *pool) eligibleBackends() []string {
	var instances []string
	for i := range p.replicas.Len() {
		if !p.replicas.Leaving(i) {
			instances = append(instances, p.replicas.Name(i))
		}
	}
	slices.SortFunc(instances, func(a, b string) int {
		first, second := maphash.String(p.large.sharing.seed, a), maphash.String(p.large.sharing.seed, b)
		if first < second {
			return -1
		}
		return 1
	})
	return instances
}

// mayUseTurn reports whether the fleet's turns permit a large body at a back end. If the leader runs an older build and
// divides no turns, this process relies on its own knowledge alone. The caller holds the mutex.
func (p *pool) mayUseTurn(now time.Duration, instance string) bool {
	sharing := &p.large.sharing
	if sharing.source == nil || p.large.ledger.Limit(now) == 0 {
		return true
	}
	if _, divided := sharing.source.Share(share.Bytes(p.name)); !divided {
		return true
	}
	return sharing.turns.MaySend(now, instance)
}

// fits reports whether a back end has free space for a large body. The caller holds the mutex.
func (p *pool) fits(now time.Duration, instance string, bytes int64) bool {
	return p.large.ledger.Fits(now, instance, bytes) && p.mayUseTurn(now, instance)
}

package control

import (
	"context"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// leases is the leader's knowledge of who may act on which table version. It is empty on other nodes.
type leases struct {
	clock    monotonic.Clock
	settings lease.Settings

	mutex    sync.Mutex
	term     uint64         // in which this node leads; 0 when it does not
	granter  *lease.Granter // nil when this node does not lead
	settled  time.Duration  // from when on every lease is known
	current  uint64         // table version applied here
	progress chan struct{}  // closed when a version may have come into force
}

func newLeases(clock monotonic.Clock, settings lease.Settings) *leases {
	return &leases{clock: clock, settings: settings, progress: make(chan struct{})}
}

// lead starts over as the leader of term. It must only be called after a read round of that term, when
// all that was committed before it is applied here. Leases of earlier leaders, which this node does not
// know, may run on for a while.
func (l *leases) lead(term uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.term == term {
		return
	}
	now := l.clock()
	l.term = term
	l.granter = lease.NewGranter(now, l.settings, l.current)
	l.settled = now + l.settings.Bound()
}

// follow forgets all leases.
func (l *leases) follow() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.term, l.granter = 0, nil
}

// tableApplied notes the table's version here.
func (l *leases) tableApplied(version uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if version <= l.current {
		return
	}
	l.current = version
	if l.granter != nil {
		l.granter.Committed(l.clock(), version)
		l.signal()
	}
}

// version is the table's version here.
func (l *leases) version() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// granting is the table version that leases are granted by; false on a node that grants none.
func (l *leases) granting() (version uint64, leads bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current, l.granter != nil
}

// leads says whether leases are granted here in term.
func (l *leases) leads(term uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.granter != nil && l.term == term
}

// renew grants holder a lease for the version that it acts on, unless that is too old. It must only be
// called after a read round that began in term after the renewal had arrived.
func (l *leases) renew(term uint64, holder lease.HolderID, acted uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.granter == nil || l.term != term || acted > l.current {
		return false
	}
	granted := l.granter.Renew(holder, l.clock(), acted)
	l.signal()
	return granted
}

// release ends the lease of a holder that has given it back.
func (l *leases) release(holder lease.HolderID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.granter == nil {
		return
	}
	l.granter.Leave(holder)
	l.signal()
}

// mayHold says whether holder may still act on the table, as far as is known here.
func (l *leases) mayHold(holder lease.HolderID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock()
	if l.granter == nil || now < l.settled {
		return true
	}
	for _, known := range l.granter.Holders(now) {
		if known.ID == holder {
			return true
		}
	}
	return false
}

// inForce is the version below which no process acts now; 0 while that is not known.
func (l *leases) inForce() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inForceLocked()
}

func (l *leases) inForceLocked() uint64 {
	if l.granter == nil {
		return 0
	}
	return l.granter.InForce(l.clock())
}

// waitInForce returns once version is in force or ctx ends, with the version in force then.
func (l *leases) waitInForce(ctx context.Context, version uint64) uint64 {
	poll := time.NewTicker(inForcePoll)
	defer poll.Stop()
	for {
		l.mutex.Lock()
		inForce, progress := l.inForceLocked(), l.progress
		l.mutex.Unlock()
		if inForce >= version {
			return inForce
		}
		select {
		case <-ctx.Done():
			return inForce
		case <-progress:
		case <-poll.C:
		}
	}
}

// signal wakes all that wait for a version to be in force.
func (l *leases) signal() {
	close(l.progress)
	l.progress = make(chan struct{})
}

// holders lists the leases that have not lapsed, for status.
func (l *leases) holders() []*wire.HolderStatus {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.granter == nil {
		return nil
	}
	var holders []*wire.HolderStatus
	for _, holder := range l.granter.Holders(l.clock()) {
		holders = append(holders, &wire.HolderStatus{
			Name:                 holder.ID.Name,
			ActedVersion:         holder.Version,
			LeaseRemainingMillis: holder.Remaining.Milliseconds(),
		})
	}
	return holders
}

package control

import (
	"context"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// leases tracks, on the leader of the control group, which holder may act on which table version. It is empty on other
// nodes.
type leases struct {
	clock    monotonic.Clock
	settings lease.Settings

	mutex        sync.Mutex
	term         uint64         // term in which this node leads; 0 when it does not lead
	granter      *lease.Granter // nil when this node does not lead
	allKnownFrom time.Duration  // time from which no lease of an earlier leader can be valid
	current      uint64         // table version applied on this node
	read         tableRead      // newest table that was read on this node; it may be older than current
	progress     chan struct{}  // closed when a version may have come into force
}

func newLeases(clock monotonic.Clock, settings lease.Settings) *leases {
	return &leases{clock: clock, settings: settings, progress: make(chan struct{})}
}

// beginLeading resets the leases for a leader of term. Call it only after a read round of that term, when everything
// committed earlier is applied on this node. Leases of earlier leaders are unknown to this node and can stay valid for
// a while.
func (l *leases) beginLeading(term uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.term == term {
		return
	}
	now := l.clock()
	l.term = term
	l.granter = lease.NewGranter(now, l.settings, l.current)
	l.allKnownFrom = now + l.settings.Bound()
}

// stopLeading drops all leases.
func (l *leases) stopLeading() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.term, l.granter = 0, nil
}

// tableApplied records the table version applied on this node.
func (l *leases) tableApplied(version uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if version <= l.current {
		return
	}
	l.current = version
	if l.granter != nil {
		l.granter.RecordCommit(l.clock(), version)
		l.signal()
	}
}

// version returns the table version applied on this node.
func (l *leases) version() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// grantedVersion returns the table version that leases are granted for. leads is false on a node that grants no leases.
func (l *leases) grantedVersion() (version uint64, leads bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current, l.granter != nil
}

// leads reports whether this node grants leases in term.
func (l *leases) leads(term uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.granter != nil && l.term == term
}

// tableRead is a version of the table that was read, with the newest version up to it at which the part for forwarding
// changed.
type tableRead struct{ version, forwarding uint64 }

// tableWasRead records a table version that was read on this node.
func (l *leases) tableWasRead(read tableRead) {
	l.tableApplied(read.version)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if read.version > l.read.version {
		l.read = read
	}
}

// coveredVersion returns the newest version on which a holder with the scope is known to act. Beyond the version that it
// acted on, this is the newest one that was read, if nothing that the holder follows has changed up to there.
func (l *leases) coveredVersion(scope wire.TableScope, acted uint64) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if scope == wire.TableScope_TABLE_SCOPE_FORWARDING && l.read.forwarding <= acted {
		return max(acted, l.read.version)
	}
	return acted
}

// renew grants holder a lease for the table version that it acts on, unless that version is too old or newer than the
// one applied on this node. Call it only after a read round that began in term after the renewal arrived.
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

// release ends the lease of a holder that gave it back.
func (l *leases) release(holder lease.HolderID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.granter == nil {
		return
	}
	l.granter.Leave(holder)
	l.signal()
}

// mayHoldLease reports whether holder may still have a valid lease. It is true while this node does not know all
// leases.
func (l *leases) mayHoldLease(holder lease.HolderID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock()
	return l.granter == nil || now < l.allKnownFrom || l.granter.MayHold(now, holder)
}

// inForce returns the version below which no process acts, or 0 while this is unknown.
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

// waitInForce waits until version is in force or ctx ends, and returns the version in force at that time.
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

// signal wakes everyone who waits for a version to come into force. The caller holds the mutex.
func (l *leases) signal() {
	close(l.progress)
	l.progress = make(chan struct{})
}

// holders lists the leases that have not lapsed, for the status reply.
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

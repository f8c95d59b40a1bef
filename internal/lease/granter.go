package lease

import (
	"sort"
	"time"

	"github.com/gravitational/trace"
)

// Defaults of Settings, sized so that a change is in force within 2 s: Grace + Lease*(1+ClockDrift) = 1.66 s.
const (
	DefaultLease         = 1200 * time.Millisecond
	DefaultRenewInterval = 300 * time.Millisecond
	DefaultGrace         = 400 * time.Millisecond
	DefaultClockDrift    = 0.05
)

// Settings are the times of the leases. All processes of a cluster must use the same.
type Settings struct {
	// Lease is how long a holder may act after it sent a renewal. Default DefaultLease; 6 s suits the
	// full size, where a change may take 10 s. Longer survives longer outages of the control group,
	// shorter brings a change into force sooner past a holder that cannot be reached.
	Lease time.Duration
	// RenewInterval is how often a holder renews. Default DefaultRenewInterval. Several must fit into one
	// Lease, so that one lost renewal or a change of leader does not stop the holder.
	RenewInterval time.Duration
	// Grace is how long after a change a holder that still acts on the version before is renewed. Default
	// DefaultGrace. It must cover a round trip; it adds to the time until a change is in force.
	Grace time.Duration
	// ClockDrift is the largest relative difference in speed of two clocks. Default DefaultClockDrift.
	ClockDrift float64
}

// WithDefaults fills unset fields.
func (s Settings) WithDefaults() Settings {
	if s.Lease == 0 {
		s.Lease = DefaultLease
	}
	if s.RenewInterval == 0 {
		s.RenewInterval = min(DefaultRenewInterval, s.Lease/4)
	}
	if s.Grace == 0 {
		s.Grace = min(DefaultGrace, s.Lease/3)
	}
	if s.ClockDrift == 0 {
		s.ClockDrift = DefaultClockDrift
	}
	return s
}

// Validate reports settings that cannot work.
func (s Settings) Validate() error {
	switch {
	case s.Lease <= 0 || s.RenewInterval <= 0 || s.Grace <= 0:
		return trace.BadParameter("lease, renew interval and grace must be above 0")
	case s.RenewInterval > s.Lease/3:
		return trace.BadParameter("renew interval %v is above a third of the lease %v: one lost renewal would stop a holder", s.RenewInterval, s.Lease)
	case s.ClockDrift < 0 || s.ClockDrift > 1:
		return trace.BadParameter("clock drift %v is outside 0 to 1", s.ClockDrift)
	}
	return nil
}

// Bound is the longest time from a change's commit until it is in force, while the leader stays.
func (s Settings) Bound() time.Duration { return s.Grace + s.counted() }

// counted is the lease as the leader counts it.
func (s Settings) counted() time.Duration {
	return s.Lease + time.Duration(float64(s.Lease)*s.ClockDrift)
}

// HolderID names one run of a process.
type HolderID struct {
	Name        string
	Incarnation uint64
}

// HolderInfo is what the leader knows of a holder whose lease has not ended.
type HolderInfo struct {
	ID        HolderID
	Version   uint64        // the holder acts on no version below this
	Remaining time.Duration // of the lease, as the leader counts it
}

type grant struct {
	version uint64
	expires time.Duration
}

type commit struct {
	at      time.Duration
	version uint64
}

// Granter is the leader's side. A node makes a new one each time it becomes leader, and drops it when it
// no longer is.
type Granter struct {
	unsafe   Unsafe
	settings Settings
	waitEnds time.Duration // leases of the predecessor have ended
	current  uint64        // newest committed table version
	required uint64        // no renewal for holders below it
	recent   []commit      // commits within the grace, oldest first
	holders  map[HolderID]grant
}

// NewGranter returns the Granter of a node that has just become leader and has applied every entry up to
// the first one of its own term; tableVersion is the table's version then. Whatever the predecessor called
// in force is not above it, so a holder below it gets no lease.
func NewGranter(now time.Duration, settings Settings, tableVersion uint64) *Granter {
	return NewGranterUnsafe(now, settings, tableVersion, Unsafe{})
}

// NewGranterUnsafe returns a Granter with safety steps switched off.
func NewGranterUnsafe(now time.Duration, settings Settings, tableVersion uint64, unsafe Unsafe) *Granter {
	settings = settings.WithDefaults()
	return &Granter{
		unsafe: unsafe, settings: settings, waitEnds: now + settings.counted(),
		current: tableVersion, required: tableVersion, holders: map[HolderID]grant{},
	}
}

// Committed notes that the table's version was committed at now. Call it for every accepted change.
func (g *Granter) Committed(now time.Duration, version uint64) {
	if version <= g.current {
		return
	}
	g.current = version
	g.recent = append(g.recent, commit{at: now, version: version})
	g.advance(now)
}

// advance raises the version that a renewal needs to the newest one committed a grace ago.
func (g *Granter) advance(now time.Duration) {
	for len(g.recent) > 0 && now-g.recent[0].at >= g.settings.Grace {
		g.required = max(g.required, g.recent[0].version)
		g.recent = g.recent[1:]
	}
}

// Renew judges a renewal that arrived at now from a holder that acts on no version below acted. It reports
// whether the lease is granted. Send the grant only after a read round of the quorum that began after the
// renewal arrived. A holder that is refused gets the table update in the reply and renews again at once.
func (g *Granter) Renew(holder HolderID, now time.Duration, acted uint64) bool {
	g.advance(now)
	held, known := g.holders[holder]
	if known && now < held.expires {
		// The acknowledgement holds whether or not the lease is renewed.
		acted = max(acted, held.version)
		g.holders[holder] = grant{version: acted, expires: held.expires}
	}
	if acted < g.required && !g.unsafe.GrantAnyVersion {
		return false
	}
	g.holders[holder] = grant{version: acted, expires: max(held.expires, now+g.settings.counted())}
	return true
}

// Leave forgets a holder that promised to act no more.
func (g *Granter) Leave(holder HolderID) { delete(g.holders, holder) }

// InForce returns the highest version such that no process acts on an older one. It is 0 until the leases
// that the predecessor may have granted have ended. It never falls while this Granter is in use.
func (g *Granter) InForce(now time.Duration) uint64 {
	g.advance(now)
	if now < g.waitEnds && !g.unsafe.SkipNewLeaderWait {
		return 0
	}
	version := g.current
	for id, held := range g.holders {
		if now >= held.expires {
			delete(g.holders, id)
			continue
		}
		version = min(version, held.version)
	}
	// A holder that is not known now needs a lease first, and gets none below this version.
	g.required = max(g.required, version)
	return version
}

// Late returns the holders, by name, that may still act on a version below the given one.
func (g *Granter) Late(now time.Duration, version uint64) []HolderInfo {
	var late []HolderInfo
	for _, holder := range g.Holders(now) {
		if holder.Version < version {
			late = append(late, holder)
		}
	}
	return late
}

// Holders returns the holders whose leases have not ended, by name.
func (g *Granter) Holders(now time.Duration) []HolderInfo {
	var infos []HolderInfo
	for id, held := range g.holders {
		if now < held.expires {
			infos = append(infos, HolderInfo{ID: id, Version: held.version, Remaining: held.expires - now})
		}
	}
	sort.Slice(infos, func(i, j int) bool {
		if infos[i].ID.Name != infos[j].ID.Name {
			return infos[i].ID.Name < infos[j].ID.Name
		}
		return infos[i].ID.Incarnation < infos[j].ID.Incarnation
	})
	return infos
}

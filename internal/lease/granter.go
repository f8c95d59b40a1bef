package lease

import (
	"container/list"
	"sort"
	"time"

	"github.com/gravitational/trace"
)

// Defaults of Settings. With them a change is in force within 2 s: Grace + Lease*(1+ClockDrift) = 1.66 s.
const (
	DefaultLease         = 1200 * time.Millisecond
	DefaultRenewInterval = 300 * time.Millisecond
	DefaultGrace         = 400 * time.Millisecond
	DefaultClockDrift    = 0.05
)

// Settings are the durations of the lease protocol. All processes of a cluster must use the same settings.
type Settings struct {
	// Lease is how long a holder may act after it sent a renewal. Default DefaultLease; 6 s suits a full-size
	// cluster, where a change may take 10 s. A longer lease survives longer outages of the control group. A shorter
	// one brings a change into force sooner when a holder is unreachable.
	Lease time.Duration
	// RenewInterval is the interval between a holder's renewals. Default DefaultRenewInterval. Several renewals must
	// fit into one Lease, so that one lost renewal or a change of leader does not stop the holder.
	RenewInterval time.Duration
	// Grace is how long after a change the leader still renews the lease of a holder that acts on the version before
	// the change. Default DefaultGrace. It must cover a round trip, and it adds to the time until a change is in
	// force.
	Grace time.Duration
	// ClockDrift is the largest relative difference in speed between two clocks. Default DefaultClockDrift.
	ClockDrift float64
}

// WithDefaults returns the settings with defaults in place of zero fields.
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

// Validate returns an error for settings with which leases cannot work.
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

// Bound returns the longest time from a change's commit until it is in force, provided that the leader stays.
func (s Settings) Bound() time.Duration { return s.Grace + s.granterLease() }

// granterLease returns the length of a lease as the leader counts it, including the margin for clock drift.
func (s Settings) granterLease() time.Duration {
	return s.Lease + time.Duration(float64(s.Lease)*s.ClockDrift)
}

// HolderID identifies one run of a holder's process.
type HolderID struct {
	Name        string
	Incarnation uint64
}

// HolderInfo describes a holder whose lease has not ended, as the leader knows it.
type HolderInfo struct {
	ID        HolderID
	Version   uint64        // the holder acts on no version below this
	Remaining time.Duration // remaining time of the lease as the leader counts it
}

type grant struct {
	holder  HolderID
	version uint64
	expires time.Duration
}

type commit struct {
	at      time.Duration
	version uint64
}

// Granter is the leader's side of the leases. A node creates a new Granter each time it becomes leader, and drops it
// when it is no longer the leader.
type Granter struct {
	unsafe               Unsafe
	settings             Settings
	predecessorLeasesEnd time.Duration              // when all leases granted by the previous leader have ended
	newestVersion        uint64                     // newest committed table version
	minimumVersion       uint64                     // holders that act on an older version are not renewed
	recentCommits        []commit                   // commits less than Grace ago, oldest first
	holders              map[HolderID]*list.Element // of *grant, in byExpiry
	byExpiry             *list.List                 // all grants, the one that ends first in front
	versions             map[uint64]int             // number of grants by version
}

// NewGranter returns the Granter of a node that has just become leader and has applied every entry up to the first
// one of its own term. tableVersion is the table's version at that point. The previous leader cannot have declared a
// higher version in force, so holders below tableVersion get no lease.
func NewGranter(now time.Duration, settings Settings, tableVersion uint64) *Granter {
	return NewGranterUnsafe(now, settings, tableVersion, Unsafe{})
}

// NewGranterUnsafe returns a Granter with the given safety steps disabled.
func NewGranterUnsafe(now time.Duration, settings Settings, tableVersion uint64, unsafe Unsafe) *Granter {
	settings = settings.WithDefaults()
	return &Granter{
		unsafe: unsafe, settings: settings, predecessorLeasesEnd: now + settings.granterLease(),
		newestVersion: tableVersion, minimumVersion: tableVersion, holders: map[HolderID]*list.Element{}, byExpiry: list.New(), versions: map[uint64]int{},
	}
}

// RecordCommit records that a table version was committed at now. Call it for every accepted change.
func (g *Granter) RecordCommit(now time.Duration, version uint64) {
	if version <= g.newestVersion {
		return
	}
	g.newestVersion = version
	g.recentCommits = append(g.recentCommits, commit{at: now, version: version})
	g.raiseMinimum(now)
}

// raiseMinimum raises the version required for a renewal to the newest version committed at least Grace ago.
func (g *Granter) raiseMinimum(now time.Duration) {
	for len(g.recentCommits) > 0 && now-g.recentCommits[0].at >= g.settings.Grace {
		g.minimumVersion = max(g.minimumVersion, g.recentCommits[0].version)
		g.recentCommits = g.recentCommits[1:]
	}
}

// Renew handles a renewal that arrived at now from a holder that acts on no version below acted, and reports whether
// the lease is granted. The caller must send the grant only after a quorum read round that began after the renewal
// arrived. A holder whose renewal is refused gets the table update in the reply and renews again immediately.
func (g *Granter) Renew(holder HolderID, now time.Duration, actedVersion uint64) bool {
	g.raiseMinimum(now)
	existing := g.find(holder)
	if existing != nil && now < existing.expires {
		// The acknowledged version counts whether or not the lease is renewed.
		actedVersion = max(actedVersion, existing.version)
		g.setVersion(existing, actedVersion)
	}
	if actedVersion < g.minimumVersion && !g.unsafe.GrantAnyVersion {
		return false
	}
	if existing == nil {
		existing = &grant{holder: holder}
		g.holders[holder] = g.byExpiry.PushBack(existing)
		g.versions[existing.version]++
	}
	g.setVersion(existing, actedVersion)
	existing.expires = max(existing.expires, now+g.settings.granterLease())
	g.byExpiry.MoveToBack(g.holders[holder])
	return true
}

// find returns the grant of a holder, or nil.
func (g *Granter) find(holder HolderID) *grant {
	if listed := g.holders[holder]; listed != nil {
		return listed.Value.(*grant)
	}
	return nil
}

// setVersion sets the version that a listed grant covers.
func (g *Granter) setVersion(listed *grant, version uint64) {
	g.forgetVersion(listed.version)
	listed.version = version
	g.versions[version]++
}

// forgetVersion counts one grant less for a version.
func (g *Granter) forgetVersion(version uint64) {
	if g.versions[version]--; g.versions[version] == 0 {
		delete(g.versions, version)
	}
}

// Leave removes a holder that has promised not to act any more.
func (g *Granter) Leave(holder HolderID) {
	listed := g.holders[holder]
	if listed == nil {
		return
	}
	g.forgetVersion(listed.Value.(*grant).version)
	g.byExpiry.Remove(listed)
	delete(g.holders, holder)
}

// MayHold reports whether the lease of a holder has not ended.
func (g *Granter) MayHold(now time.Duration, holder HolderID) bool {
	existing := g.find(holder)
	return existing != nil && now < existing.expires
}

// dropExpired removes the grants that have ended.
func (g *Granter) dropExpired(now time.Duration) {
	for first := g.byExpiry.Front(); first != nil; first = g.byExpiry.Front() {
		ended := first.Value.(*grant)
		if now < ended.expires {
			return
		}
		g.Leave(ended.holder)
	}
}

// InForce returns the highest version for which no process acts on an older one. It is 0 until the leases that the
// previous leader may have granted have ended. It never decreases during the life of this Granter.
func (g *Granter) InForce(now time.Duration) uint64 {
	g.raiseMinimum(now)
	if now < g.predecessorLeasesEnd && !g.unsafe.SkipNewLeaderWait {
		return 0
	}
	g.dropExpired(now)
	version := g.newestVersion
	for acted := range g.versions { // few: holders keep close to the newest version
		version = min(version, acted)
	}
	// A holder without a lease must get one before it acts, and no lease is granted below this version.
	g.minimumVersion = max(g.minimumVersion, version)
	return version
}

// Late returns the holders that may still act on a version below the given one, sorted by name.
func (g *Granter) Late(now time.Duration, version uint64) []HolderInfo {
	var late []HolderInfo
	for _, holder := range g.Holders(now) {
		if holder.Version < version {
			late = append(late, holder)
		}
	}
	return late
}

// Holders returns the holders whose leases have not ended, sorted by name.
func (g *Granter) Holders(now time.Duration) []HolderInfo {
	var infos []HolderInfo
	for id, listed := range g.holders {
		if existing := listed.Value.(*grant); now < existing.expires {
			infos = append(infos, HolderInfo{ID: id, Version: existing.version, Remaining: existing.expires - now})
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

// Package release is the replicated record of the weight versions that were released for each pool. The numbers of a
// pool's versions increase. A number or name is never reused with another meaning, so every version that a replica
// may be ordered to serve can be identified. A pool's replicas are to serve its newest version.
//
// The package is pure. Apply commands in log order from one goroutine.
package release

import (
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Limits of the registry.
const (
	// MaximumTextBytes is the maximum length of a pool's, version's or trainer's name, in bytes.
	MaximumTextBytes = 256
	// MaximumVersions is the maximum number of versions remembered per pool. The oldest are forgotten first. A
	// release of a forgotten version is refused like that of any old version.
	MaximumVersions = 256
	// MaximumPools is the maximum number of pools.
	MaximumPools = 10_000
)

// Reasons of refused releases, as in VersionResult.reason.
const (
	ReasonStaleFence = "another coordinator has taken over this pool"
	ReasonOldNumber  = "the pool has a version of this number or a higher one"
	ReasonNameTaken  = "the pool has a version of this name under another number"
)

// Resource returns the name of the fenced resource whose owner may release versions of the pool.
func Resource(pool string) string { return "pool/" + pool }

// Unsafe disables safety steps. Only tests set it, to show that their checks detect the resulting faults.
type Unsafe struct {
	IgnoreFence bool // releases of deposed owners are accepted
}

// Registry holds the released versions of all pools. The zero value is not usable; use New.
type Registry struct {
	unsafe Unsafe
	pools  map[string][]*wire.ReleasedVersion // oldest first
}

// New returns an empty registry.
func New() *Registry { return NewUnsafe(Unsafe{}) }

// NewUnsafe returns an empty registry with the given safety steps disabled.
func NewUnsafe(unsafe Unsafe) *Registry {
	return &Registry{unsafe: unsafe, pools: map[string][]*wire.ReleasedVersion{}}
}

// Release makes a version the newest of its pool. token is the current fencing token of the pool. A repeated command
// is accepted again. A command with another fencing token, an old number, or a name used under another number is
// refused with a reason. An error is returned for a malformed command or too many pools; the registry is then
// unchanged.
func (r *Registry) Release(command *wire.VersionRelease, token uint64) (*wire.VersionResult, error) {
	if err := validate(command); err != nil {
		return nil, err
	}
	versions := r.pools[command.GetPool()]
	if command.GetFence() != token && !r.unsafe.IgnoreFence {
		return newRefusal(versions, ReasonStaleFence), nil
	}
	for _, known := range versions {
		same := known.GetVersionNumber() == command.GetVersionNumber()
		switch {
		case known.GetVersion() == command.GetVersion() && same:
			return &wire.VersionResult{Accepted: true, NewestNumber: newestNumber(versions)}, nil
		case known.GetVersion() == command.GetVersion():
			return newRefusal(versions, ReasonNameTaken), nil
		}
	}
	if command.GetVersionNumber() <= newestNumber(versions) {
		return newRefusal(versions, ReasonOldNumber), nil
	}
	if versions == nil && len(r.pools) >= MaximumPools {
		return nil, trace.LimitExceeded("more than %d pools with weight versions", MaximumPools)
	}
	versions = append(versions, &wire.ReleasedVersion{
		Version: command.GetVersion(), VersionNumber: command.GetVersionNumber(), Trainer: command.GetTrainer()})
	if surplus := len(versions) - MaximumVersions; surplus > 0 {
		versions = append([]*wire.ReleasedVersion(nil), versions[surplus:]...)
	}
	r.pools[command.GetPool()] = versions
	return &wire.VersionResult{Accepted: true, NewestNumber: command.GetVersionNumber()}, nil
}

func validate(command *wire.VersionRelease) error {
	for _, text := range []string{command.GetPool(), command.GetVersion(), command.GetTrainer()} {
		if text == "" || len(text) > MaximumTextBytes {
			return trace.BadParameter("pool, version and trainer must have 1 to %d bytes", MaximumTextBytes)
		}
	}
	if command.GetVersionNumber() == 0 {
		return trace.BadParameter("a version's number is above 0")
	}
	return nil
}

func newestNumber(versions []*wire.ReleasedVersion) uint64 {
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1].GetVersionNumber()
}

func newRefusal(versions []*wire.ReleasedVersion, reason string) *wire.VersionResult {
	return &wire.VersionResult{Reason: reason, NewestNumber: newestNumber(versions)}
}

// View returns a pool's versions, oldest first.
func (r *Registry) View(pool string) *wire.VersionsView {
	return &wire.VersionsView{Versions: append([]*wire.ReleasedVersion(nil), r.pools[pool]...)}
}

// Snapshot returns the whole state. Equal registries give equal snapshots. The snapshot shares records with the
// registry, so it must be encoded before the next Release.
func (r *Registry) Snapshot() *wire.ReleaseSnapshot {
	snapshot := &wire.ReleaseSnapshot{}
	for pool, versions := range r.pools {
		snapshot.Pools = append(snapshot.Pools, &wire.PoolReleases{Pool: pool, Versions: versions})
	}
	sort.Slice(snapshot.Pools, func(i, j int) bool { return snapshot.Pools[i].GetPool() < snapshot.Pools[j].GetPool() })
	return snapshot
}

// Restore replaces the state with that of a snapshot. If it returns an error, the registry is unchanged.
func (r *Registry) Restore(snapshot *wire.ReleaseSnapshot) error {
	restored := NewUnsafe(r.unsafe)
	for _, pool := range snapshot.GetPools() {
		last := uint64(0)
		for _, version := range pool.GetVersions() {
			if version.GetVersionNumber() <= last || version.GetVersion() == "" {
				return trace.BadParameter("snapshot has versions of pool %q without a name or out of order", pool.GetPool())
			}
			last = version.GetVersionNumber()
		}
		restored.pools[pool.GetPool()] = pool.GetVersions()
	}
	*r = *restored
	return nil
}

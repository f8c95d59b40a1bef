// Package release is the replicated record of which weight versions were released for each pool. Numbers of
// a pool rise; a number or name is never given twice with another meaning, so every version that a replica
// may be ordered to serve can be named. The pool's newest version is what its replicas are to serve.
//
// The package is pure. Apply commands in log order from one goroutine.
package release

import (
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of the registry.
const (
	// MaximumTextBytes bounds a pool's, version's and trainer's name, in bytes.
	MaximumTextBytes = 256
	// MaximumVersions bounds the versions of a pool that are remembered (a count); the oldest are forgotten
	// first. The announcement of a forgotten version is refused like any old one.
	MaximumVersions = 256
	// MaximumPools bounds the pools (a count).
	MaximumPools = 10_000
)

// Reasons of refused releases, as in VersionResult.reason.
const (
	ReasonStaleFence = "another coordinator has taken over this pool"
	ReasonOldNumber  = "the pool has a version of this number or a higher one"
	ReasonNameTaken  = "the pool has a version of this name under another number"
)

// Resource is the name of the fence that a pool's owner holds.
func Resource(pool string) string { return "pool/" + pool }

// Unsafe switches safety steps off. Only tests set it, to show that the checks find the fault.
type Unsafe struct {
	IgnoreFence bool // releases of deposed owners are taken
}

// Registry holds the released versions of all pools. The zero value is not ready; use New.
type Registry struct {
	unsafe Unsafe
	pools  map[string][]*wire.ReleasedVersion // oldest first
}

// New returns an empty registry.
func New() *Registry { return NewUnsafe(Unsafe{}) }

// NewUnsafe returns an empty registry with safety steps switched off.
func NewUnsafe(unsafe Unsafe) *Registry {
	return &Registry{unsafe: unsafe, pools: map[string][]*wire.ReleasedVersion{}}
}

// Release makes a version the newest of its pool; token is the current one of the pool's fence. A resend is
// accepted again. Errors: malformed command, or too many pools; nothing changed.
func (r *Registry) Release(command *wire.VersionRelease, token uint64) (*wire.VersionResult, error) {
	if err := check(command); err != nil {
		return nil, err
	}
	versions := r.pools[command.GetPool()]
	if command.GetFence() != token && !r.unsafe.IgnoreFence {
		return refused(versions, ReasonStaleFence), nil
	}
	for _, known := range versions {
		same := known.GetVersionNumber() == command.GetVersionNumber()
		switch {
		case known.GetVersion() == command.GetVersion() && same:
			return &wire.VersionResult{Accepted: true, NewestNumber: newest(versions)}, nil
		case known.GetVersion() == command.GetVersion():
			return refused(versions, ReasonNameTaken), nil
		}
	}
	if command.GetVersionNumber() <= newest(versions) {
		return refused(versions, ReasonOldNumber), nil
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

func check(command *wire.VersionRelease) error {
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

func newest(versions []*wire.ReleasedVersion) uint64 {
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1].GetVersionNumber()
}

func refused(versions []*wire.ReleasedVersion, reason string) *wire.VersionResult {
	return &wire.VersionResult{Reason: reason, NewestNumber: newest(versions)}
}

// View returns a pool's versions, oldest first.
func (r *Registry) View(pool string) *wire.VersionsView {
	return &wire.VersionsView{Versions: append([]*wire.ReleasedVersion(nil), r.pools[pool]...)}
}

// Snapshot returns the whole state. Equal registries give equal snapshots. It shares records with the
// registry: encode it before the next Release.
func (r *Registry) Snapshot() *wire.ReleaseSnapshot {
	snapshot := &wire.ReleaseSnapshot{}
	for pool, versions := range r.pools {
		snapshot.Pools = append(snapshot.Pools, &wire.PoolReleases{Pool: pool, Versions: versions})
	}
	sort.Slice(snapshot.Pools, func(i, j int) bool { return snapshot.Pools[i].GetPool() < snapshot.Pools[j].GetPool() })
	return snapshot
}

// Restore replaces the state with a snapshot's. On an error the registry is unchanged.
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

// Package tenant identifies the tenant of a request by the key that the request carries. An Index is built from a
// view of the operators' table, which holds digests of keys and never keys, and is immutable.
//
// The package is pure.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
)

// MaximumKeyBytes is the maximum length of a key, in bytes. A key is sent in the header of every request, beside
// other fields.
const MaximumKeyBytes = 1024

// Digest returns the form in which the table holds a key: its SHA-256 in hexadecimal. Keys are long random texts, so
// that neither a salt nor a slow hash is needed to keep them from being guessed.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CheckKey returns an error that says why a text cannot be used as a key, or nil if it can.
func CheckKey(key string) error {
	switch {
	case key == "":
		return trace.BadParameter("a key is empty")
	case len(key) > MaximumKeyBytes:
		return trace.BadParameter("a key has %d bytes, more than %d", len(key), MaximumKeyBytes)
	case strings.TrimSpace(key) != key || strings.IndexFunc(key, func(r rune) bool { return r < ' ' || r > '~' }) >= 0:
		return trace.BadParameter("a key holds a character that a header can't carry")
	}
	return nil
}

// Tenant is a caller that is defined in the table.
type Tenant struct {
	Name string
	// Priority is the priority of the tenant's requests. If HasPriority is true, it takes precedence over the priority
	// of their routes.
	Priority    uint32
	HasPriority bool
	// Weight determines the tenant's share when requests of several tenants wait. It is relative to the other
	// tenants' weights and above 0.
	Weight uint32
	Quota  Quota
}

// Quota limits a tenant's requests over all gateways. The zero Quota sets no limit.
type Quota struct {
	Rate        uint32 // requests per second; 0: no limit
	Burst       uint32 // requests at once beyond the rate; 0: the number that the rate allows in one second
	Concurrency uint32 // requests in flight; 0: no limit
}

// Limited reports whether the quota sets any limit.
func (q Quota) Limited() bool { return q.Rate > 0 || q.Concurrency > 0 }

// BurstSeconds returns the time in seconds in which the rate allows as many requests as the burst.
func (q Quota) BurstSeconds() float64 {
	if q.Burst == 0 || q.Rate == 0 {
		return 1
	}
	return float64(q.Burst) / float64(q.Rate)
}

// Index finds tenants by key and by name. It is safe for concurrent use.
type Index struct {
	required bool
	version  uint64 // AccessVersion of the view from which the index was built
	byDigest map[[sha256.Size]byte]*Tenant
	byName   map[string]*Tenant
	limited  []*Tenant // tenants with a quota
}

// NewIndex returns the index of a view's tenants. held is the index of an earlier view or nil. It is returned
// unchanged if no listener or tenant has changed since, so that a table of 10,000 tenants is not read again with each
// heartbeat of a back end.
func NewIndex(view *table.View, previous *Index) *Index {
	if previous != nil && previous.version == view.AccessVersion() {
		return previous
	}
	built := &Index{version: view.AccessVersion(), byDigest: map[[sha256.Size]byte]*Tenant{}, byName: map[string]*Tenant{}}
	for _, row := range view.OfKind(table.Listener) {
		built.required = built.required || row.KeysRequired
	}
	for _, row := range view.OfKind(table.Tenant) {
		built.add(row)
	}
	return built
}

func (i *Index) add(row *table.Row) {
	tenant := &Tenant{Name: row.TenantName, Priority: row.Priority, Weight: row.TenantWeight,
		Quota: Quota{Rate: row.Rate, Burst: row.Burst, Concurrency: row.Concurrency}}
	_, tenant.HasPriority = row.Explicit(table.ColumnPriority)
	i.byName[tenant.Name] = tenant
	if tenant.Quota.Limited() {
		i.limited = append(i.limited, tenant)
	}
	for _, text := range row.KeyDigests {
		var digest [sha256.Size]byte
		if n, err := hex.Decode(digest[:], []byte(text)); err == nil && n == len(digest) {
			i.byDigest[digest] = tenant
		}
	}
}

// Required reports whether requests need a key.
func (i *Index) Required() bool { return i != nil && i.required }

// Authenticate returns the tenant to which a key belongs. anonymous says whether the request's route admits requests
// without a key. refused is true if the key is unknown, or if it is missing and anonymous is false. If neither a tenant
// nor a refusal is returned, the caller is anonymous. The look-up compares digests, so that its duration reveals
// nothing about other keys.
func (i *Index) Authenticate(key string, anonymous bool) (found *Tenant, refused bool) {
	if !i.Required() {
		return nil, false
	}
	if key == "" {
		return nil, !anonymous
	}
	found = i.byDigest[sha256.Sum256([]byte(key))]
	return found, found == nil
}

// Limited returns the tenants with a quota. Callers must not modify the slice.
func (i *Index) Limited() []*Tenant {
	if i == nil {
		return nil
	}
	return i.limited
}

// Find returns the tenant with a name, or nil if there is none.
func (i *Index) Find(name string) *Tenant {
	if i == nil {
		return nil
	}
	return i.byName[name]
}

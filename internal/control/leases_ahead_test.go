package control

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
)

// TestNoLeaseForTableNewerThanTheLeaders guards against leases for a table version that this leader has not applied,
// whatever an earlier leader granted. Once the leader has applied the version, the holder gets its lease.
func TestNoLeaseForTableNewerThanTheLeaders(t *testing.T) {
	const term, applied, ahead = 1, 3, 5
	held := newLeases(func() time.Duration { return time.Minute }, lease.Settings{Lease: time.Second})
	held.tableApplied(applied)
	held.beginLeading(term)
	holder := lease.HolderID{Name: "gateway", Incarnation: 1}
	if held.renew(term, holder, ahead) {
		t.Fatal("a lease was granted for a table that is not applied here")
	}
	if !held.renew(term, holder, applied) {
		t.Fatal("no lease for the table that is applied here")
	}
	held.tableApplied(ahead)
	if !held.renew(term, holder, ahead) {
		t.Fatal("no lease once the table is applied")
	}
}

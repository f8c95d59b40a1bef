package control

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
)

// TestNoLeaseForATableThatTheLeaderLacks: a holder that says it acts on a newer table than this leader has applied gets no
// lease, whatever led there; once the leader has applied it the holder does.
func TestNoLeaseForATableThatTheLeaderLacks(t *testing.T) {
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

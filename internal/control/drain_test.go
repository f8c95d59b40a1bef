package control

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// TestHandoverSkipsNodesThatReturnedLeadership guards against nodes that stop at the same time passing a leadership
// back and forth: a voter that led since it was asked and no longer leads must not be asked again.
func TestHandoverSkipsNodesThatReturnedLeadership(t *testing.T) {
	c := startCluster(t)
	h := newHandover(c.servers[c.leader()])
	status := raft.Status{ID: 1, Leader: 1, Term: 7, Match: []raft.Progress{
		{Node: 2, Match: 9, RecentActive: true}, {Node: 3, Match: 8, RecentActive: true}, {Node: 4, Match: 9, RecentActive: true, Learner: true},
	}}
	expect := func(wantNode uint64, wantReturned bool) {
		t.Helper()
		if node, returned := h.choose(1, &status); node != wantNode || returned != wantReturned {
			t.Fatalf("got node %d and returned %t, want node %d and %t", node, returned, wantNode, wantReturned)
		}
	}
	expect(2, false)
	h.asked[1] = map[uint64]uint64{2: 7}
	expect(2, false) // asked in this term: the request may still be on its way
	h.asked[1][2] = 5
	expect(3, true)
	h.asked[1][3] = 6
	expect(raft.None, true)
	h.asked[1] = nil
	h.server.voters.recordLeaving(2)
	expect(3, false)
}

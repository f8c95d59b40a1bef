package batchrun

import (
	"sync"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Between being chosen for an item and the send, a replica leaves or its address goes to another replica. Nothing must
// be sent to it, and the items must run elsewhere.
func TestTableIsCheckedBeforeEachSend(t *testing.T) {
	for name, backends := range map[string][]string{
		"the replica drains":        {"r1 draining", "r2 active"},
		"the replica is gone":       {"r2 active"},
		"the address is another's":  {"r2 active", "r1 active"}, // each has the other one's
		"the replica is taken away": {"r1 removed", "r2 active"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			var once sync.Once
			r.replicas.beforeAdmit = func() { once.Do(func() { r.session.set(t, 4, backends...) }) }
			r.run(t)
			r.submit(t, "a", 12, nil)
			for _, result := range r.await(t, "a", 12) {
				wantWhole(t, result, "[5]")
			}
			for _, call := range r.replicas.callsTo("") {
				view, _ := r.session.AdmitView()
				row := view.Row(call.Instance)
				if row == nil || !row.Serving() || row.Address != call.Address {
					t.Fatalf("an item was sent to %s at %s, whose row in the table is %+v", call.Instance, call.Address, row)
				}
			}
		})
	}
}

// A route is removed between the choice of a replica and the send. Its items must not be sent.
func TestRouteIsCheckedBeforeEachSend(t *testing.T) {
	r := newRig(t)
	var once sync.Once
	r.replicas.beforeAdmit = func() {
		once.Do(func() {
			r.mutex.Lock()
			r.routed = false
			r.mutex.Unlock()
			r.session.set(t, 4, "r1 active", "r2 active")
		})
	}
	r.run(t)
	r.submit(t, "a", 6, nil)
	for _, result := range r.await(t, "a", 6) {
		if result.GetState() != wire.JobItemState_JOB_ITEM_STATE_TERMINATED {
			t.Fatalf("result %v, want a terminated item", result)
		}
	}
	if calls := len(r.replicas.callsTo("")); calls != 0 {
		t.Fatalf("%d calls on a route that was removed, want 0", calls)
	}
}

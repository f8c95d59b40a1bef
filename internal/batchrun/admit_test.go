package batchrun

import (
	"sync"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestTableIsAskedBeforeEachSend: between the choice of a replica and the send the replica leaves, or its address goes to
// another one. Nothing is sent there, and the items run elsewhere.
func TestTableIsAskedBeforeEachSend(t *testing.T) {
	for name, backends := range map[string][]string{
		"the replica drains":        {"r1 draining", "r2 active"},
		"the replica is gone":       {"r2 active"},
		"the address is another's":  {"r2 active", "r1 active"}, // each has the other one's
		"the replica is taken away": {"r1 removed", "r2 active"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			var once sync.Once
			r.replicas.arrive = func() { once.Do(func() { r.session.set(t, 4, backends...) }) }
			r.run(t)
			r.submit(t, "a", 12, nil)
			for _, result := range r.await(t, "a", 12) {
				wantWhole(t, result, "[5]")
			}
			for _, call := range r.replicas.callsTo("") {
				view, _ := r.session.AdmitView()
				row := view.Row(call.Instance)
				if row == nil || !row.Serving() || row.Address != call.Address {
					t.Fatalf("an item was sent to %s at %s, of which the table says %+v", call.Instance, call.Address, row)
				}
			}
		})
	}
}

// TestRouteIsAskedBeforeEachSend: a route that is taken out between the choice and the send gets no items any more.
func TestRouteIsAskedBeforeEachSend(t *testing.T) {
	r := newRig(t)
	var once sync.Once
	r.replicas.arrive = func() {
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
			t.Fatalf("%v", result)
		}
	}
	if calls := len(r.replicas.callsTo("")); calls != 0 {
		t.Fatalf("%d calls on a route that is gone", calls)
	}
}

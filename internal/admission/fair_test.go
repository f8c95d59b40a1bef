package admission

import (
	"fmt"
	"testing"
	"time"
)

// tenantRequest returns a live request of a tenant.
func tenantRequest(id uint64, tenant string) Request {
	request := liveRequest(id)
	request.Tenant, request.Work = tenant, 10
	return request
}

// grantOrder ends the running request, then each request that is granted in its place, and returns the IDs in the
// order in which they are granted.
func grantOrder(queue *Queue, running uint64) (granted []uint64) {
	for {
		effects := queue.Done(0, running)
		if len(effects.Granted) == 0 {
			return granted
		}
		running = effects.Granted[0]
		granted = append(granted, running)
	}
}

// TestTenantsTakeTurns checks the order of grants between tenants of a class with equal and different weights, with a
// resumed request, and with retried requests.
func TestTenantsTakeTurns(t *testing.T) {
	for _, test := range []struct {
		name string
		add  func(queue *Queue)
		want string
	}{
		{"equal", func(*Queue) {}, "[1 5 2 6 3 4]"},
		{"weighted", func(queue *Queue) {
			for id := uint64(7); id < 11; id++ {
				request := tenantRequest(id, "large")
				request.Weight = 400
				queue.Arrive(0, request)
			}
		}, "[7 1 8 9 5 10 2 6 3 4]"},
		{"resumed", func(queue *Queue) {
			request := tenantRequest(7, "heavy")
			request.Resumed = true
			queue.Arrive(0, request)
		}, "[7 5 1 6 2 3 4]"},
		{"returned", func(queue *Queue) {
			for id := uint64(7); id < 9; id++ {
				request := tenantRequest(id, "light")
				request.Retried = true
				queue.Arrive(0, request)
			}
		}, "[7 1 8 2 3 5 4 6]"},
	} {
		queue := New(limits(1, 0, 100))
		queue.Arrive(0, liveRequest(100))
		for id := uint64(1); id < 5; id++ {
			queue.Arrive(0, tenantRequest(id, "heavy"))
		}
		queue.Arrive(0, tenantRequest(5, "light"))
		queue.Arrive(0, tenantRequest(6, "light"))
		test.add(queue)
		if got := fmt.Sprint(grantOrder(queue, 100)); got != test.want {
			t.Errorf("%s: granted %s, want %s", test.name, got, test.want)
		}
	}
}

// TestUrgentClassIsGrantedBeforeOtherClasses checks that fairness between tenants applies within a class only:
// requests of a more urgent class are granted first, whatever their tenants have received.
func TestUrgentClassIsGrantedBeforeOtherClasses(t *testing.T) {
	queue := New(Limits{Slots: 1, QueueLimit: 100, QueueWait: time.Second, ClassOrder: []string{"urgent", "live"}})
	queue.Arrive(0, liveRequest(100))
	queue.Arrive(0, tenantRequest(1, "light"))
	for id := uint64(2); id < 4; id++ {
		request := tenantRequest(id, "heavy")
		request.Class = "urgent"
		queue.Arrive(0, request)
	}
	if got := fmt.Sprint(grantOrder(queue, 100)); got != "[2 3 1]" {
		t.Errorf("granted %s, want [2 3 1]", got)
	}
}

// TestFullQueueIsSharedBetweenTenants guards against a tenant that fills the queue and excludes all others. The other
// tenants must not evict each other either.
func TestFullQueueIsSharedBetweenTenants(t *testing.T) {
	queue := New(limits(1, 0, 8))
	queue.Arrive(0, liveRequest(100))
	for id := uint64(1); id < 20; id++ {
		queue.Arrive(0, tenantRequest(id, "heavy"))
	}
	waiting := map[uint64]bool{}
	for id := uint64(20); id < 40; id++ {
		effects, _ := queue.Arrive(0, tenantRequest(id, fmt.Sprint("light", id%2)))
		waiting[id] = true
		for _, refusal := range effects.Refused {
			delete(waiting, refusal.ID)
		}
	}
	if len(waiting) < 5 || queue.Waiting() != 8 {
		t.Errorf("%d of 8 places belong to light tenants, want at least 5: %v", len(waiting), waiting)
	}
}

// TestQueueOrderSurvivesNewLimits checks that new limits, with the same or another class order, keep the order of
// waiting requests.
func TestQueueOrderSurvivesNewLimits(t *testing.T) {
	for _, classes := range [][]string{{"live", "rollout"}, {"rollout", "live"}} {
		queue := New(limits(1, 0, 100))
		queue.Arrive(0, liveRequest(100))
		for id := uint64(1); id < 4; id++ {
			queue.Arrive(0, liveRequest(id))
		}
		changed := limits(1, 0, 50)
		changed.ClassOrder = classes
		queue.SetLimits(0, changed)
		if got := fmt.Sprint(grantOrder(queue, 100)); got != "[1 2 3]" {
			t.Errorf("granted %s, want [1 2 3]", got)
		}
	}
}

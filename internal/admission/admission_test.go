package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func liveRequest(id uint64) Request {
	return Request{ID: id, Class: "live", Deadline: time.Hour}
}

func rolloutRequest(id uint64) Request {
	return Request{ID: id, Class: "rollout", Rollout: true, Preemptible: true, Deadline: time.Hour}
}

func limits(slots, rollouts, queue int) Limits {
	return Limits{Slots: slots, RolloutSlots: rollouts, QueueLimit: queue, QueueWait: time.Second,
		ClassOrder: []string{"live", "rollout"}}
}

// TestQueueStaysWithinLimits applies random operations to a queue. After each one it checks the limits, the counters
// and that every decision fits the state of its request.
func TestQueueStaysWithinLimits(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		bounds := limits(rapid.IntRange(0, 5).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "rollout slots"),
			rapid.IntRange(0, 4).Draw(t, "queue"))
		queue := New(bounds)
		now := time.Duration(0)
		state := map[uint64]string{} // waiting, running, ended
		isRollout := map[uint64]bool{}
		next, resumed := uint64(0), 0
		absorb := func(effects *Effects) {
			for _, id := range effects.Granted {
				if state[id] != "waiting" {
					t.Fatalf("request %d granted while %q, want waiting", id, state[id])
				}
				state[id] = "running"
				granted++
			}
			for _, refusal := range effects.Refused {
				if state[refusal.ID] != "waiting" || refusal.RetryAfter <= 0 {
					t.Fatalf("refusal %+v while the request is %q, want waiting and a positive RetryAfter", refusal, state[refusal.ID])
				}
				state[refusal.ID] = "ended"
			}
			for _, id := range effects.Preempted {
				if state[id] != "running" || !isRollout[id] {
					t.Fatalf("request %d preempted while %q, want a running rollout", id, state[id])
				}
			}
		}
		pick := func(label, want string) (uint64, bool) {
			id := uint64(rapid.IntRange(0, int(next)).Draw(t, label))
			return id, state[id] == want
		}
		for range 60 {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "millis")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				next++
				request := liveRequest(next)
				if rapid.Bool().Draw(t, "rollout") {
					request = rolloutRequest(next)
					request.Resumed = rapid.IntRange(0, 5).Draw(t, "resumed") == 0
					if request.Resumed {
						resumed++
					}
				}
				state[next], isRollout[next] = "waiting", request.Rollout
				effects, _ := queue.Arrive(now, request)
				absorb(effects)
			case 2:
				if id, ok := pick("ended", "running"); ok {
					state[id] = "ended"
					absorb(queue.Done(now, id))
				}
			case 3:
				if id, ok := pick("expired", "waiting"); ok {
					absorb(queue.Expire(now, id))
				}
			case 4:
				if id, ok := pick("left", "waiting"); ok {
					state[id] = "ended"
					absorb(queue.Leave(now, id))
				}
			}
			running, rollouts, waiting := 0, 0, 0
			for id, at := range state {
				switch at {
				case "running":
					running++
					if isRollout[id] {
						rollouts++
					}
				case "waiting":
					waiting++
				}
			}
			if running > bounds.Slots || rollouts > bounds.RolloutSlots || waiting > bounds.QueueLimit+resumed {
				t.Fatalf("%d running, %d of them rollouts, and %d waiting requests exceed limits %+v", running, rollouts, waiting, bounds)
			}
			if running != queue.InFlight() || waiting != queue.Waiting() {
				t.Fatalf("queue reports %d in flight and %d waiting, want %d and %d", queue.InFlight(), queue.Waiting(), running, waiting)
			}
		}
	})
	if granted == 0 {
		t.Fatal("no request was granted in any run")
	}
}

// TestRolloutsLeaveHeadroomToLiveRequests guards against rollouts taking every free slot, so that live requests have to
// preempt them. Without live requests rollouts take all slots.
func TestRolloutsLeaveHeadroomToLiveRequests(t *testing.T) {
	const slots, live = 64, 4
	queue := New(limits(slots, slots, slots))
	for id := range uint64(2 * slots) {
		if id < live {
			queue.Arrive(0, liveRequest(id))
			continue
		}
		queue.Arrive(0, rolloutRequest(id))
	}
	if queue.InFlight() != slots-2 {
		t.Fatalf("%d of %d slots are in use, want the square root of %d free", queue.InFlight(), slots, live)
	}
	if effects, _ := queue.Arrive(0, liveRequest(1000)); len(effects.Granted) != 1 || len(effects.Preempted) != 0 {
		t.Fatalf("live request: effects %+v, want one grant and no preemption", effects)
	}
	queue.Done(0, 1000)
	for id := range uint64(live) {
		queue.Done(0, id)
	}
	if queue.InFlight() != slots {
		t.Fatalf("%d of %d slots are in use without live requests, want all", queue.InFlight(), slots)
	}
}

// TestLiveRequestPreemptsYoungestRollout checks that a live request preempts the newest rollout and gets its slot, and
// that the preempted rollout is resumed before a new rollout starts.
func TestLiveRequestPreemptsYoungestRollout(t *testing.T) {
	queue := New(limits(2, 2, 4))
	queue.Arrive(0, rolloutRequest(1))
	queue.Arrive(0, rolloutRequest(2))
	effects, _ := queue.Arrive(0, liveRequest(3))
	if len(effects.Preempted) != 1 || effects.Preempted[0] != 2 {
		t.Fatalf("preempted %v, want the newest rollout 2", effects.Preempted)
	}
	if effects = queue.Done(0, 2); len(effects.Granted) != 1 || effects.Granted[0] != 3 {
		t.Fatalf("granted %v, want the live request 3", effects.Granted)
	}
	back := rolloutRequest(2)
	back.Resumed = true
	queue.Arrive(0, rolloutRequest(4))
	queue.Arrive(0, back)
	if effects = queue.Done(0, 3); len(effects.Granted) != 1 || effects.Granted[0] != 2 {
		t.Fatalf("granted %v, want the preempted rollout 2", effects.Granted)
	}
}

// TestUrgentArrivalEvictsWaitingRollout checks that a full queue evicts a waiting rollout for a live request, and
// refuses a live request when only live requests wait.
func TestUrgentArrivalEvictsWaitingRollout(t *testing.T) {
	queue := New(limits(1, 1, 1))
	queue.Arrive(0, liveRequest(1))
	queue.Arrive(0, rolloutRequest(2))
	effects, _ := queue.Arrive(0, liveRequest(3))
	if len(effects.Refused) != 1 || effects.Refused[0].ID != 2 || effects.Refused[0].Reason != Displaced {
		t.Fatalf("refused %+v, want rollout 2 with reason Displaced", effects.Refused)
	}
	effects, _ = queue.Arrive(0, liveRequest(4))
	if len(effects.Refused) != 1 || effects.Refused[0].ID != 4 || effects.Refused[0].Reason != QueueFull {
		t.Fatalf("refused %+v, want request 4 with reason QueueFull", effects.Refused)
	}
}

// TestRequestIsRefusedWhenExpectedWaitIsTooLong checks that requests are refused on arrival when their expected wait
// exceeds QueueWait, instead of after waiting in vain.
func TestRequestIsRefusedWhenExpectedWaitIsTooLong(t *testing.T) {
	queue := New(limits(1, 1, 100))
	now := time.Duration(0)
	for id := uint64(1); id <= 20; id++ { // one slot, 300 ms each
		queue.Arrive(now, liveRequest(id))
		now += 300 * time.Millisecond
		queue.Done(now, id)
	}
	refused := 0
	for id := uint64(100); id < 110; id++ {
		effects, _ := queue.Arrive(now, liveRequest(id))
		for _, refusal := range effects.Refused {
			if refusal.Reason != WaitTooLong {
				t.Fatalf("refusal %+v, want reason WaitTooLong", refusal)
			}
			refused++
		}
	}
	if refused < 5 || refused > 7 { // at 300 ms each, three requests start within the queue wait of one second
		t.Fatalf("%d of 10 requests refused on arrival, want 5 to 7", refused)
	}
}

// TestSharesAddUp checks that the shares of all gateways add up to the limit, whatever the remainder and the salt.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, count := rapid.IntRange(0, 500).Draw(t, "limit"), rapid.IntRange(1, 9).Draw(t, "gateways")
		salt, sum := rapid.Uint64Range(0, 1<<40).Draw(t, "salt"), 0
		for rank := range count {
			sum += Share(limit, count, rank, salt)
		}
		if sum != limit {
			t.Fatalf("shares add up to %d, want %d", sum, limit)
		}
	})
}

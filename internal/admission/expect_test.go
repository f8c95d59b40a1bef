package admission

import (
	"slices"
	"testing"
	"time"
)

// observeServiceTime passes 20 requests through the queue that each hold a slot for the service time and arrive gap
// apart. It returns the time after the last gap.
func observeServiceTime(queue *Queue, now, gap, service time.Duration) time.Duration {
	for id := uint64(1 << 20); id < 1<<20+20; id++ {
		queue.Arrive(now, liveRequest(id))
		queue.Done(now+service, id)
		now += gap
	}
	return now
}

// TestBurstAfterLowLoadIsAdmitted guards against estimating the slot turnover from a time of low load: requests that
// arrive rarely also end rarely, which says nothing about how fast slots become free under load.
func TestBurstAfterLowLoadIsAdmitted(t *testing.T) {
	queue := New(limits(4, 0, 100))
	now := observeServiceTime(queue, 0, time.Second, 20*time.Millisecond)
	for id := uint64(1); id <= 40; id++ { // the 36 waiting requests take 9 rounds of 20 ms
		if effects, _ := queue.Arrive(now, liveRequest(id)); len(effects.Refused) > 0 {
			t.Fatalf("request %d of the burst is refused: %+v", id, effects.Refused[0])
		}
	}
}

// TestWaitEstimateUsesReach checks that a gateway with one slot of a pool of ten queues a burst for as many slots as
// it may get (Reach), instead of refusing most of it.
func TestWaitEstimateUsesReach(t *testing.T) {
	for reach, want := range map[int]int{0: 3, 1: 3, 10: 39} { // requests that can start in 400 ms
		small := limits(1, 0, 100)
		small.QueueWait, small.Reach = 400*time.Millisecond, reach
		queue := New(small)
		now := observeServiceTime(queue, 0, time.Second, 100*time.Millisecond)
		queue.Arrive(now, liveRequest(100))
		for id := uint64(1); id <= 60; id++ {
			queue.Arrive(now, liveRequest(id))
		}
		if waiting := queue.Waiting(); waiting < want || waiting > want+1 {
			t.Errorf("with Reach %d, %d requests wait, want %d or one more", reach, waiting, want)
		}
	}
}

// TestLightTenantIsNotRefusedBecauseOfHeavyTenant checks that a tenant's expected wait follows its own turn: a heavy
// tenant's backlog gets the heavy tenant refused, and not a light one.
func TestLightTenantIsNotRefusedBecauseOfHeavyTenant(t *testing.T) {
	queue := New(limits(1, 0, 100))
	now := observeServiceTime(queue, 0, 300*time.Millisecond, 300*time.Millisecond)
	queue.Arrive(now, liveRequest(100))
	refused := false
	for id := uint64(1); id < 9; id++ {
		effects, _ := queue.Arrive(now, tenantRequest(id, "heavy"))
		refused = len(effects.Refused) > 0
	}
	if !refused {
		t.Error("the heavy tenant's last request is not refused, want refused")
	}
	if effects, _ := queue.Arrive(now, tenantRequest(50, "light")); len(effects.Refused) > 0 {
		t.Errorf("the light tenant's first request is refused, want queued: %+v", effects.Refused[0])
	}
}

// TestRequestThatCannotStartInTimeIsRefused checks that a request whose deadline comes before its expected start is
// refused on arrival instead of waiting until the deadline.
func TestRequestThatCannotStartInTimeIsRefused(t *testing.T) {
	for _, test := range []struct {
		deadline time.Duration
		refused  bool
	}{{290 * time.Millisecond, true}, {310 * time.Millisecond, false}} {
		queue := New(limits(1, 0, 100))
		now := observeServiceTime(queue, 0, 300*time.Millisecond, 300*time.Millisecond)
		queue.Arrive(now, liveRequest(100))
		request := liveRequest(1)
		request.Deadline = now + test.deadline // a slot is expected in 300 ms
		effects, _ := queue.Arrive(now, request)
		if refused := len(effects.Refused) > 0; refused != test.refused {
			t.Errorf("deadline in %v: refused %v, want the opposite", test.deadline, refused)
		}
	}
}

// TestShortRequestWaitsBesideLongOnes guards against taking the service time of other requests for that of this one:
// with 100 slots of 28 s each, a slot becomes free every 280 ms, soon enough for a request with a deadline of 10 s.
func TestShortRequestWaitsBesideLongOnes(t *testing.T) {
	queue := New(limits(100, 0, 100))
	now := observeServiceTime(queue, 0, time.Second, 28*time.Second)
	for id := uint64(1); id <= 100; id++ {
		queue.Arrive(now, liveRequest(id))
	}
	request := liveRequest(1000)
	request.Deadline = now + 10*time.Second // a slot is expected in 280 ms
	if effects, _ := queue.Arrive(now, request); len(effects.Refused) > 0 {
		t.Errorf("request with a deadline of 10 s is refused, want queued: %+v", effects.Refused[0])
	}
}

// TestNothingIsRefusedWhileSlotsAreFree checks that requests get free slots even when their deadline is shorter than
// the known service time.
func TestNothingIsRefusedWhileSlotsAreFree(t *testing.T) {
	queue := New(limits(4, 0, 0))
	now := observeServiceTime(queue, 0, 10*time.Second, 10*time.Second)
	for id := uint64(1); id <= 4; id++ {
		request := liveRequest(id)
		request.Deadline = now + time.Millisecond
		if effects, _ := queue.Arrive(now, request); len(effects.Granted) != 1 {
			t.Fatalf("request %d: effects %+v, want one grant", id, effects)
		}
	}
}

// TestRetryTimesOfRefusedRequestsAreSpread checks that requests that are refused together get retry times at the rate
// at which slots become free, and none later than the queue wait.
func TestRetryTimesOfRefusedRequestsAreSpread(t *testing.T) {
	queue := New(limits(2, 0, 0))
	now := observeServiceTime(queue, 0, 100*time.Millisecond, 100*time.Millisecond)
	queue.Arrive(now, liveRequest(100))
	queue.Arrive(now, liveRequest(101))
	var returns []time.Duration
	for id := uint64(1); id <= 15; id++ {
		effects, _ := queue.Arrive(now, liveRequest(id))
		returns = append(returns, effects.Refused[0].RetryAfter)
	}
	for i, at := range returns[1:] {
		if apart := at - returns[i]; apart != 50*time.Millisecond {
			t.Errorf("retry time %d is %v after the one before, want 50ms", i+1, apart)
		}
	}
	for id := uint64(16); id <= 100; id++ {
		effects, _ := queue.Arrive(now, liveRequest(id))
		returns = append(returns, effects.Refused[0].RetryAfter)
	}
	if last := slices.Max(returns); last > time.Second+minimumRetryAfter {
		t.Errorf("largest retry time is %v, want at most the queue wait of 1s plus the minimum", last)
	}
}

// TestLeavingRequestFreesItsQueuePlace checks that a queue place is free again as soon as its caller disconnects.
func TestLeavingRequestFreesItsQueuePlace(t *testing.T) {
	queue := New(limits(1, 0, 1))
	queue.Arrive(0, liveRequest(1))
	queue.Arrive(0, liveRequest(2))
	if effects, _ := queue.Arrive(0, liveRequest(3)); len(effects.Refused) != 1 {
		t.Fatal("request 3 is not refused, want a full queue")
	}
	queue.Leave(0, 2)
	if effects, _ := queue.Arrive(0, liveRequest(4)); len(effects.Refused) != 0 || queue.Waiting() != 1 {
		t.Errorf("request 4 is not queued in place of the one that left: refused %+v", effects.Refused)
	}
}

// TestRefusalReportsFigures checks that a refusal contains the values that explain it to an operator.
func TestRefusalReportsFigures(t *testing.T) {
	queue := New(limits(1, 0, 1))
	now := observeServiceTime(queue, 0, 200*time.Millisecond, 200*time.Millisecond)
	queue.Arrive(now, liveRequest(1))
	queue.Arrive(now, liveRequest(2))
	effects, _ := queue.Arrive(now, liveRequest(3))
	want := Figures{Slots: 1, Reach: 1, InFlight: 1, Waiting: 1, Ahead: 1, Service: 200 * time.Millisecond, ExpectedWait: 400 * time.Millisecond,
		Allowed: time.Second}
	if got := effects.Refused[0].Figures; got != want {
		t.Errorf("figures %+v, want %+v", got, want)
	}
}

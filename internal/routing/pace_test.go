package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSlowReplicaGetsFewerRequests checks that a replica that reports a slowdown gets fewer requests, and that the
// report no longer counts when it is old.
func TestSlowReplicaGetsFewerRequests(t *testing.T) {
	pool := uniformPool(4)
	for i := range 4 {
		pool.RecordPace(pool.Name(i), 1, time.Second)
	}
	pool.RecordPace("r0", 2.5, time.Second)
	if counts := spread(pool, 2000, &Request{Work: 100}, time.Second); counts[0] >= counts[1]*2/3 {
		t.Errorf("r0 takes 2.5 times as long and still got its share: requests by replica %v, want less than two thirds of r1's for r0", counts)
	}
	pool = uniformPool(4)
	pool.RecordPace("r0", 2.5, time.Second)
	if counts := spread(pool, 2000, &Request{Work: 100}, 20*time.Second); counts[0] < counts[1]*9/10 {
		t.Errorf("a pace report that is 19 s old still counts: requests by replica %v, want about the same for r0 and r1", counts)
	}
}

// TestImplausiblePaceIsBounded guards against a replica that reports itself a billion times faster or slower and
// thereby attracts all requests or none.
func TestImplausiblePaceIsBounded(t *testing.T) {
	pool := uniformPool(10)
	pool.RecordPace("r0", 1e-9, time.Second)
	pool.RecordPace("r1", 1e9, time.Second)
	counts := spread(pool, 4000, &Request{Work: 100}, time.Second)
	if counts[0] > 2000 || counts[1] == 0 {
		t.Fatalf("requests by replica %v, want at most 2000 for r0 and more than 0 for r1", counts)
	}
}

// TestOutdatedOrUnknownPaceReportIsIgnored covers a report made before the last one, and one for a replica that is
// not in the pool, such as a previous instance.
func TestOutdatedOrUnknownPaceReportIsIgnored(t *testing.T) {
	pool := uniformPool(2)
	pool.RecordPace("r0", 1, 2*time.Second)
	pool.RecordPace("r0", 2.5, time.Second)
	pool.RecordPace("former", 2.5, 3*time.Second)
	if slow := pool.expectedSlowdown(&pool.replicas[0], 2*time.Second); slow != 1 {
		t.Errorf("slowdown %v after an outdated report, want 1", slow)
	}
}

// TestChoicesWithoutPaceReportsAreUnchanged checks that replicas whose load reports contain no pace (0) are chosen
// exactly as if pace reports did not exist.
func TestChoicesWithoutPaceReportsAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		withZeroPaces, withoutPaces := uniformPool(6), uniformPool(6)
		first, second := rand.NewPCG(1, 2), rand.NewPCG(1, 2)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			request := &Request{Work: 100, Urgent: rapid.Bool().Draw(t, "urgent")}
			name := withoutPaces.Name(rapid.IntRange(0, 5).Draw(t, "replica"))
			report := LoadReport{Requests: float64(rapid.IntRange(0, 20).Draw(t, "requests"))}
			withZeroPaces.Report(name, report, now)
			withZeroPaces.RecordPace(name, 0, now)
			withoutPaces.Report(name, report, now)
			i, j := Balanced{}.Choose(withZeroPaces, request, now, first), Balanced{}.Choose(withoutPaces, request, now, second)
			if i != j {
				t.Fatalf("chose replica %d with paces of 0, want %d as without paces", i, j)
			}
			withZeroPaces.Sent(i, request, now)
			withoutPaces.Sent(j, request, now)
		}
	})
}

package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func uniformPool(n int) *Pool {
	pool := NewPool(Settings{})
	configs := make([]ReplicaConfig, n)
	for i := range configs {
		configs[i] = ReplicaConfig{Name: fmt.Sprintf("r%d", i), Weight: 100, Distance: Distance(i % 2)}
	}
	pool.SetReplicas(configs)
	return pool
}

func policies() map[string]Policy {
	return map[string]Policy{"balanced": Balanced{}, "random": UniformRandom{}, "round robin": &RoundRobin{},
		"least requests": LeastRequests{}}
}

// TestNoPolicyChoosesAnUnusableReplica checks every policy against random pool states, reports and limits: a policy
// must choose a replica that can accept the request, whenever there is one.
func TestNoPolicyChoosesAnUnusableReplica(t *testing.T) {
	examined := 0
	rapid.Check(t, func(t *rapid.T) {
		pool := uniformPool(rapid.IntRange(1, 12).Draw(t, "replicas"))
		now := time.Duration(0)
		request := &Request{Work: 100, Urgent: rapid.Bool().Draw(t, "urgent"), Blocks: []uint64{1, 2}}
		configs := make([]ReplicaConfig, pool.Len())
		for i := range configs {
			configs[i] = ReplicaConfig{Name: pool.Name(i), Weight: rapid.SampledFrom([]float64{0, 1, 100, 1000}).Draw(t, "weight"),
				MaxBackground: rapid.IntRange(-1, 2).Draw(t, "background limit"),
				MaxInFlight:   rapid.IntRange(0, 2).Draw(t, "limit"), Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0}
		}
		pool.SetReplicas(configs)
		random := rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))
		for range 40 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond
			name := pool.Name(rapid.IntRange(0, pool.Len()-1).Draw(t, "replica"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				pool.Failed(name, now)
			case 1:
				requests := rapid.SampledFrom([]float64{0, -5, 1e300, math.NaN(), math.Inf(1), 500}).Draw(t, "requests")
				pool.Report(name, LoadReport{Requests: requests, Leaving: rapid.Bool().Draw(t, "leaving")}, now)
			case 2:
				pool.RecordLeavingRefusal(name, now)
			case 3:
				pool.Ended(name, request, now)
			}
			for policyName, policy := range policies() {
				anyOpen := false
				for i := range pool.Len() {
					anyOpen = anyOpen || pool.canAccept(i, request)
				}
				chosen := policy.Choose(pool, request, now, random)
				if chosen == None {
					if anyOpen {
						t.Fatalf("%s chose no replica although one can accept the request", policyName)
					}
					continue
				}
				examined++
				if !pool.canAccept(chosen, request) {
					t.Fatalf("%s chose replica %d, which cannot accept the request", policyName, chosen)
				}
				if limit := configs[chosen].MaxBackground; !request.Urgent && (limit < 0 || limit > 0 && pool.replicas[chosen].backgroundInFlight >= limit) {
					t.Fatalf("%s put rollout work on replica %d beyond its limit %d", policyName, chosen, limit)
				}
				pool.Sent(chosen, request, now)
			}
		}
	})
	if examined == 0 {
		t.Fatal("no choice was examined")
	}
}

// spread chooses replicas for n requests that never end and returns the number of requests per replica.
func spread(pool *Pool, n int, request *Request, now time.Duration) []int {
	random := rand.NewPCG(1, 2)
	counts := make([]int, pool.Len())
	for range n {
		i := Balanced{}.Choose(pool, request, now, random)
		pool.Sent(i, request, now)
		counts[i]++
	}
	return counts
}

func TestSharesFollowWeights(t *testing.T) {
	pool := NewPool(Settings{})
	pool.SetReplicas([]ReplicaConfig{{Name: "a", Weight: 100}, {Name: "b", Weight: 300}})
	counts := spread(pool, 4000, &Request{Work: 100}, 0)
	if ratio := float64(counts[1]) / float64(counts[0]); ratio < 2.7 || ratio > 3.3 {
		t.Fatalf("weights 1:3 gave requests %v, want a ratio of 2.7 to 3.3", counts)
	}
}

// TestImplausibleLoadReportIsBounded guards against a wrong load report that attracts most requests to a replica or
// keeps all away from it.
func TestImplausibleLoadReportIsBounded(t *testing.T) {
	pool := uniformPool(10)
	for i := range 10 {
		pool.Report(pool.Name(i), LoadReport{Requests: 10}, time.Second)
	}
	pool.Report("r0", LoadReport{Requests: 0}, time.Second)    // reports no load
	pool.Report("r1", LoadReport{Requests: 1e12}, time.Second) // reports an impossibly high load
	counts := spread(pool, 2000, &Request{Work: 100}, time.Second)
	if counts[0] > 600 {
		t.Fatalf("r0 reports no load and took more than 600 requests: requests by replica %v", counts)
	}
	if counts[1] == 0 {
		t.Fatalf("r1 reports an impossibly high load and got nothing: requests by replica %v", counts)
	}
}

// TestQuarantinedReplicaReturnsGradually checks that a replica gets nothing in quarantine and little right after it,
// and that one failure during the ramp starts a longer quarantine.
func TestQuarantinedReplicaReturnsGradually(t *testing.T) {
	pool := uniformPool(10)
	for range 3 {
		pool.Failed("r0", 0)
	}
	request := &Request{Work: 100}
	if got := spread(pool, 500, request, 500*time.Millisecond)[0]; got != 0 {
		t.Fatalf("a quarantined replica got %d requests, want 0", got)
	}
	back := spread(pool, 500, request, 1100*time.Millisecond)[0]
	if back == 0 || back > 50 {
		t.Fatalf("a replica just back from quarantine got %d of 500 requests, want 1 to 50 (50 is its full share)", back)
	}
	pool.Failed("r0", 1200*time.Millisecond)
	if !pool.Quarantined(0, 3*time.Second) {
		t.Fatal("the replica is not quarantined 1.8 s after a failure during its ramp; want one failure to quarantine it again, for longer")
	}
}

func TestPrefixHolderIsPreferredUntilItIsBusy(t *testing.T) {
	pool := uniformPool(10)
	request := &Request{Work: 50, Blocks: []uint64{11, 12, 13, 14, 15, 16, 17, 18}}
	counts := spread(pool, 2, request, time.Second)
	same := false
	for _, count := range counts {
		same = same || count == 2
	}
	if !same {
		t.Fatalf("two requests with the same prefix went to different replicas: requests by replica %v", counts)
	}
	more := spread(pool, 40, request, time.Second)
	for i, count := range more {
		if count > 20 {
			t.Fatalf("replica %d took %d of 40 requests because of the prefix, want at most 20", i, count)
		}
	}
}

// TestStaleReportDecaysToPoolMean guards against a replica that stops reporting and looks idle for good by its last
// report.
func TestStaleReportDecaysToPoolMean(t *testing.T) {
	pool := uniformPool(4)
	for i := range 4 {
		pool.Report(pool.Name(i), LoadReport{Requests: 10}, time.Second)
	}
	pool.Report("r0", LoadReport{Requests: 0}, time.Second)
	pool.updateMeanWork(&Request{Work: 100})
	fresh, stale := pool.estimateForeignWork(&pool.replicas[0], time.Second), pool.estimateForeignWork(&pool.replicas[0], 20*time.Second)
	if fresh >= stale || stale != 750 {
		t.Fatalf("foreign work by a fresh report %v, by a stale one %v; want the pool's mean 750 when stale, and less when fresh", fresh, stale)
	}
}

// limitedPool returns a pool of n replicas that take up to limit rollout requests each.
func limitedPool(n, limit int) *Pool {
	configs := make([]ReplicaConfig, n)
	for i := range configs {
		configs[i] = ReplicaConfig{Name: fmt.Sprintf("r%d", i), Weight: 100, MaxInFlight: limit + 8, MaxBackground: limit}
	}
	pool := NewPool(Settings{})
	pool.SetReplicas(configs)
	return pool
}

// TestRolloutsArePackedAndUrgentRequestsAvoidFullReplicas checks that rollouts fill as few replicas as possible and
// that urgent requests go to the other replicas.
func TestRolloutsArePackedAndUrgentRequestsAvoidFullReplicas(t *testing.T) {
	pool := limitedPool(10, 20)
	filled := spread(pool, 50, &Request{Work: 500}, time.Second)
	used, whole := 0, 0
	for _, count := range filled {
		if count > 0 {
			used++
		}
		if count == 20 {
			whole++
		}
	}
	if used != 3 || whole != 2 {
		t.Fatalf("50 rollouts on replicas that take 20 each: requests by replica %v, want 20, 20 and 10 on three of them", filled)
	}
	live := spread(pool, 14, &Request{Work: 100, Urgent: true}, time.Second)
	for i, count := range live {
		if filled[i] == 20 && count > 1 {
			t.Fatalf("a replica full of rollouts got more than 1 urgent request: rollouts %v, urgent requests %v", filled, live)
		}
	}
}

// BenchmarkChooseRollout measures choices for rollout work on pools that are half full of it.
func BenchmarkChooseRollout(b *testing.B) {
	for _, n := range []int{10, 100, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pool, random := limitedPool(n, 50), rand.NewPCG(1, 2)
			request := &Request{Work: 500, Blocks: []uint64{1, 2, 3, 4}}
			for range n * 25 {
				pool.Sent(Balanced{}.Choose(pool, request, 1, random), request, 1)
			}
			b.ReportAllocs()
			for i := range b.N {
				now := time.Duration(i) * time.Microsecond
				chosen := Balanced{}.Choose(pool, request, now, random)
				pool.Sent(chosen, request, now)
				pool.Ended(pool.Name(chosen), request, now)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 600} {
		for name, policy := range policies() {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				pool, random := uniformPool(n), rand.NewPCG(1, 2)
				for i := range n {
					pool.Report(pool.Name(i), LoadReport{Requests: float64(i)}, 0)
				}
				request := &Request{Work: 100, Urgent: true, Blocks: []uint64{1, 2, 3, 4}}
				b.ReportAllocs()
				for i := range b.N {
					now := time.Duration(i) * time.Microsecond
					chosen := policy.Choose(pool, request, now, random)
					pool.Sent(chosen, request, now)
					pool.Ended(pool.Name(chosen), request, now)
				}
			})
		}
	}
}

// TestAwayCountsSlotsOfUnavailableReplicas checks the slots that a leaving and a quarantined replica take out of
// service.
func TestAwayCountsSlotsOfUnavailableReplicas(t *testing.T) {
	pool := limitedPool(4, 10)
	if slots, background := pool.UnavailableSlots(0); slots != 0 || background != 0 {
		t.Fatalf("%d slots and %d for rollouts are away in a healthy pool, want 0 and 0", slots, background)
	}
	pool.SetLeaving(pool.Name(0), SourceLoadReport, true)
	for range 3 {
		pool.Failed(pool.Name(1), 0)
	}
	if slots, background := pool.UnavailableSlots(0); slots != 36 || background != 2*pool.replicas[0].config.MaxBackground {
		t.Errorf("%d slots and %d for rollouts are away with one leaving and one quarantined replica, want 36 and all of both", slots, background)
	}
	if slots, _ := pool.UnavailableSlots(time.Minute); slots != 18 {
		t.Errorf("%d slots are away after the quarantine, want 18 of the leaving replica", slots)
	}
}

// TestUnpolledReplicaIsAvoidedUntilPolled guards against requests to a replica that may be leaving because its load
// is not known yet. One replica has answered its poll. Two await their first poll: one is new, and one has returned
// to the subset after its polling stopped for a while.
func TestUnpolledReplicaIsAvoidedUntilPolled(t *testing.T) {
	configs := []ReplicaConfig{{Name: "known", Weight: 1, Polled: true}, {Name: "new", Weight: 100, Polled: true}, {Name: "back", Weight: 100, Polled: true}}
	pool := NewPool(Settings{})
	pool.SetReplicas(configs)
	pool.Report("known", LoadReport{}, 0)
	pool.Report("back", LoadReport{}, 0)
	configs[2].Polled = false
	pool.SetReplicas(configs)
	configs[2].Polled = true
	pool.SetReplicas(configs)
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		if chosen := (Balanced{}).Choose(pool, &Request{Work: 1, Urgent: true}, 0, random); pool.Name(chosen) != "known" {
			t.Fatalf("chose %s, which was not polled yet and may be leaving; want known", pool.Name(chosen))
		}
	}
	pool.RecordMissedPoll("new")
	pool.RecordPoll("back")
	if pool.HasUnpolled() {
		t.Fatal("HasUnpolled is true although all replicas were polled")
	}
	if chosen := (Balanced{}).Choose(pool, &Request{Work: 1, Urgent: true}, 0, random); pool.Name(chosen) == "known" {
		t.Fatal("chose the replica of weight 1 although those of weight 100 were polled by now")
	}
}

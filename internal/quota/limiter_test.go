package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/share"
)

// TestAcceptedRequestsStayWithinBucket checks that no period has more accepted requests than the rate allows plus one
// full bucket, and that refused callers get a positive wait of at most MaxWait.
func TestAcceptedRequestsStayWithinBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewLimiter(0, rapid.Float64Range(0, 0.99).Draw(t, "phase"))
		rate, burst := rapid.Float64Range(0, 50).Draw(t, "rate"), rapid.Float64Range(0, 20).Draw(t, "burst")
		limiter.SetRate(0, rate, burst)
		var taken []time.Duration
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "millis")) * time.Millisecond
			ok, wait := limiter.Take(now)
			if ok {
				taken = append(taken, now)
			} else if wait <= 0 || wait > MaxWait {
				t.Fatal("a refused caller got a wait outside (0, MaxWait]:", wait)
			}
		}
		for first := range taken {
			for last := first; last < len(taken); last++ {
				maxAllowed := rate*(taken[last]-taken[first]).Seconds() + max(burst, minBucketDepth) + 1e-6
				if float64(last-first+1) > maxAllowed {
					t.Fatalf("%d requests accepted in %v at a rate of %v per second, want no more than the rate and one full bucket", last-first+1, taken[last]-taken[first], rate)
				}
			}
		}
	})
}

// TestRetryAtGivenTimeIsAccepted checks that refused callers that retry at the times they were told are all accepted,
// if there are no other callers.
func TestRetryAtGivenTimeIsAccepted(t *testing.T) {
	limiter := NewLimiter(0, 0)
	limiter.SetRate(0, 10, 1)
	for ok := true; ok; ok, _ = limiter.Take(0) {
	}
	var told []time.Duration
	for range 5 {
		_, wait := limiter.Take(0)
		told = append(told, wait)
	}
	for _, wait := range told {
		if ok, _ := limiter.Take(wait + time.Microsecond); !ok {
			t.Errorf("refused again at the retry time %v of %v", wait, told)
		}
	}
}

// testFleet is a fleet of gateways under one quota, with the leader's allocator, in virtual time. The gateways'
// renewals are spread evenly over the renewal interval.
type testFleet struct {
	random    *rand.Rand
	allocator *share.Allocator
	rate      float64
	gateways  []*testGateway
	number    uint64
	accepted  []time.Duration
	now       time.Duration
}

type testGateway struct {
	limiter *Limiter
	holding *share.Holding
	acted   uint64
	renews  time.Duration
	load    float64 // requests per second
}

const (
	rateStep  = 5 * time.Millisecond
	rateLease = 1200 * time.Millisecond
)

func newTestFleet(count int, rate, load float64) *testFleet {
	f := &testFleet{random: rand.New(rand.NewPCG(1, 1)), allocator: share.NewAllocator(0), rate: rate}
	for g := range count {
		f.gateways = append(f.gateways, &testGateway{limiter: NewLimiter(0, f.random.Float64()), holding: share.NewHolding(),
			renews: rateLease / 6 * time.Duration(g) / time.Duration(count), load: load / float64(count)})
	}
	return f
}

func (f *testFleet) run(until time.Duration) {
	for ; f.now < until; f.now += rateStep {
		f.allocator.SetLimit(share.Rate("t"), uint32(f.rate*share.RateUnit))
		for position, g := range f.gateways {
			if f.now >= g.renews {
				g.renews += rateLease / 6
				f.renew(position, g)
			}
			amount, _ := g.holding.Share(f.now, share.Rate("t"))
			part := float64(amount) / share.RateUnit
			g.limiter.SetRate(f.now, part, part)
			for expected := g.load * rateStep.Seconds(); f.random.Float64() < expected; expected-- {
				if ok, _ := g.limiter.Take(f.now); ok {
					f.accepted = append(f.accepted, f.now)
				}
			}
		}
	}
}

func (f *testFleet) renew(position int, g *testGateway) {
	f.number++
	taken, refused := g.limiter.RequestRates(f.now)
	told := []share.ResourceDemand{{Resource: share.Rate("t"), Demand: Demand(taken, refused)}}
	grants := f.allocator.Renew(f.now, &share.Renewal{Holder: lease.HolderID{Name: fmt.Sprint(position)}, Number: f.number, AppliedAnswer: g.acted,
		LeaseEnds: f.now + rateLease*21/20, Demands: told})
	g.holding.Apply(told, grants, f.now+rateLease)
	g.acted = f.number
}

// maxRatio returns the most requests accepted in a window between two times, relative to what the rate allows.
func (f *testFleet) maxRatio(from, to, window time.Duration, rate float64) float64 {
	best, first := 0, 0
	for last, at := range f.accepted {
		for at-f.accepted[first] >= window || f.accepted[first] < from {
			first++
			if first > last {
				break
			}
		}
		if at < to {
			best = max(best, last-first+1)
		}
	}
	return float64(best) / (rate * window.Seconds())
}

// TestQuotaHoldsOverTheFleet offers thirty times the rate to one gateway and to sixty. After the first second the
// accepted rate must stay between 0.8 and 1.1 times the quota, also after the quota is lowered and raised, and across
// a change of leader.
func TestQuotaHoldsOverTheFleet(t *testing.T) {
	for _, test := range []struct {
		gateways int
		rate     float64
		window   time.Duration // long enough for several requests at each gateway
	}{{1, 20, time.Second}, {60, 600, time.Second}, {60, 20, 10 * time.Second}} {
		t.Run(fmt.Sprint(test.gateways, " ", test.rate), func(t *testing.T) {
			f := newTestFleet(test.gateways, test.rate, 30*test.rate)
			check := func(phase string, from time.Duration, rate float64) {
				part := f.maxRatio(from, f.now, test.window, rate)
				t.Logf("%s: %.3f of the rate accepted", phase, part)
				if part > 1.1 || part < 0.8 {
					t.Errorf("%s: %.3f of the rate accepted, want 0.8 to 1.1", phase, part)
				}
			}
			const phaseLength = 15 * time.Second
			f.run(phaseLength)
			check("at first", time.Second, f.rate)
			f.rate = test.rate / 2
			f.run(2 * phaseLength)
			check("lowered", phaseLength+time.Second, f.rate)
			f.rate = test.rate
			f.run(3 * phaseLength)
			check("raised", 2*phaseLength+time.Second, f.rate)
			f.allocator = share.NewAllocator(f.now + rateLease*21/20)
			for _, g := range f.gateways {
				g.acted = 0
			}
			f.run(4 * phaseLength)
			check("with another leader", 3*phaseLength-time.Second, f.rate)
		})
	}
}

// TestTenantWithinQuotaIsRarelyRefused checks that a tenant at half of its rate, spread over sixty gateways, is hardly
// refused although each gateway has a small share.
func TestTenantWithinQuotaIsRarelyRefused(t *testing.T) {
	const rate, load, length = 50.0, 25.0, 30 * time.Second
	f := newTestFleet(60, rate, load)
	f.run(length)
	part := float64(len(f.accepted)) / (load * length.Seconds())
	t.Logf("%.3f of the requests accepted", part)
	if part < 0.9 {
		t.Errorf("%.3f of the requests accepted, want at least 0.9", part)
	}
}

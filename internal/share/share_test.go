package share

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/lease"
)

// fleet is a set of holders, each with its own clock, and a succession of leaders. Answers arrive in order on a
// holder's stream, with any delay that the test chooses. A change of leader or a new stream loses the answers in
// transit.
type fleet struct {
	now       time.Duration
	resource  string
	limits    []timedLimit // newest last
	allocator *Allocator
	number    uint64
	holders   []*testHolder
}

// timedLimit is a limit and the time until which it was set.
type timedLimit struct {
	until time.Duration // 0: in force
	limit uint32
}

type testHolder struct {
	holding *Holding
	speed   float64 // speed of its clock relative to real time
	demand  Demand
	acted   uint64
	pending []testAnswer
	id      lease.HolderID
	frozen  bool
}

type testAnswer struct {
	number  uint64
	grants  []Grant
	demands []ResourceDemand
	ends    time.Duration // by the holder's clock
}

const (
	testLease = time.Second
	testDrift = 0.05
)

// leaderLease is the duration of a lease by the leader's clock. It allows for the slowest holder clock within the
// drift bound.
const leaderLease = time.Duration(float64(testLease) * (1 + testDrift))

func (f *fleet) clock(h *testHolder) time.Duration { return time.Duration(float64(f.now) * h.speed) }

func (f *fleet) setLimit(limit uint32) {
	if last := len(f.limits) - 1; last >= 0 {
		f.limits[last].until = f.now
	}
	f.limits = append(f.limits, timedLimit{limit: limit})
	f.allocator.SetLimit(f.resource, limit)
}

// largestLimit returns the largest limit under which answers may still be in force. Work in progress continues until
// its holder reports its end, so shares kept by holders with work in progress count from their last renewal.
func (f *fleet) largestLimit() (most uint32) {
	for _, one := range f.limits {
		if one.until == 0 || f.now < one.until+2*leaderLease {
			most = max(most, one.limit)
		}
	}
	return most
}

func (f *fleet) newLeader() {
	f.allocator = NewAllocator(f.now + leaderLease)
	f.allocator.SetLimit(f.resource, f.limits[len(f.limits)-1].limit)
	for _, h := range f.holders {
		h.pending, h.acted = nil, 0
	}
}

func (f *fleet) renew(h *testHolder) {
	if h.frozen {
		return
	}
	f.number++
	demands := []ResourceDemand{{Resource: f.resource, Demand: h.demand}}
	grants := f.allocator.Renew(f.now, &Renewal{Holder: h.id, Number: f.number, AppliedAnswer: h.acted, LeaseEnds: f.now + leaderLease, Demands: demands})
	h.pending = append(h.pending, testAnswer{number: f.number, grants: grants, demands: demands, ends: f.clock(h) + testLease})
}

func (f *fleet) deliver(h *testHolder) {
	if len(h.pending) == 0 || h.frozen {
		return
	}
	answer := h.pending[0]
	h.pending = h.pending[1:]
	h.holding.Apply(answer.demands, answer.grants, answer.ends)
	h.acted = answer.number
}

func (f *fleet) share(h *testHolder) uint32 {
	amount, _ := h.holding.Share(f.clock(h), f.resource)
	return amount
}

// use makes a holder use as much as it wants and its share allows, or less than before if it wants less. The rest
// waits.
func (f *fleet) use(h *testHolder, want uint32) {
	if h.frozen {
		return
	}
	may := f.share(h)
	if want < h.demand.InUse {
		h.demand.InUse = want
	} else if h.demand.InUse < may {
		h.demand.InUse = min(want, may)
	}
	h.demand.Waiting = want - min(want, h.demand.InUse)
}

func (f *fleet) sumInForce() (sum uint32) {
	for _, h := range f.holders {
		sum += f.share(h)
	}
	return sum
}

// TestSharesInForceStayWithinTheLimit checks that the shares in force never exceed the limit and the lent amounts,
// with random delays, frozen and restarted holders, lost answers and changes of leader.
func TestSharesInForceStayWithinTheLimit(t *testing.T) {
	for _, resource := range []string{Slots("p"), Rate("t"), Calls("t")} {
		t.Run(resource, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkInForce(t, resource) })
		})
	}
}

func checkInForce(t *rapid.T, resource string) {
	f := &fleet{resource: resource, allocator: NewAllocator(0)}
	f.setLimit(uint32(rapid.IntRange(0, 40).Draw(t, "limit")))
	count := rapid.IntRange(1, 6).Draw(t, "holders")
	for i := range count {
		speed := 1 + rapid.SampledFrom([]float64{-testDrift / 2, 0, testDrift}).Draw(t, "clock")
		f.holders = append(f.holders, &testHolder{holding: NewHolding(), speed: max(speed, 1/(1+testDrift)), id: lease.HolderID{Name: fmt.Sprint(i)}})
	}
	lent := uint32(kindOf(resource).lent) * uint32(count)
	for range 80 {
		f.now += time.Duration(rapid.IntRange(0, 120).Draw(t, "millis")) * time.Millisecond
		h := f.holders[rapid.IntRange(0, count-1).Draw(t, "holder")]
		switch rapid.SampledFrom([]string{"renew", "renew", "deliver", "deliver", "use", "use", "freeze", "restart", "rare"}).Draw(t, "what") {
		case "renew":
			f.renew(h)
		case "deliver":
			f.deliver(h)
		case "use":
			f.use(h, uint32(rapid.IntRange(0, 60).Draw(t, "want")))
		case "freeze":
			h.frozen = !h.frozen
		case "restart":
			h.id.Incarnation++
			h.holding, h.demand, h.acted, h.pending = NewHolding(), Demand{}, 0, nil
		case "rare":
			switch rapid.IntRange(0, 9).Draw(t, "rare") {
			case 0, 1:
				f.newLeader()
			case 2:
				f.setLimit(uint32(rapid.IntRange(0, 40).Draw(t, "limit")))
			}
		}
		if sum, most := f.sumInForce(), f.largestLimit(); sum > most+lent {
			t.Fatalf("shares in force add up to %d, want at most the limit %d and the lent %d", sum, most, lent)
		}
	}
}

// TestBurstGetsIdleShares checks that a burst at one holder gets half of the idle amount with its first renewal, and
// the rest when the other holders have confirmed their smaller shares.
func TestBurstGetsIdleShares(t *testing.T) {
	f := &fleet{resource: Slots("p"), allocator: NewAllocator(0)}
	f.setLimit(40)
	for i := range 4 {
		f.holders = append(f.holders, &testHolder{holding: NewHolding(), speed: 1, id: lease.HolderID{Name: fmt.Sprint(i)}})
	}
	round := func() {
		for _, h := range f.holders {
			f.renew(h)
			f.deliver(h)
		}
		f.now += testLease / 6
	}
	for range 4 {
		round()
	}
	busy := f.holders[0]
	f.use(busy, 40)
	f.renew(busy)
	f.deliver(busy)
	if at := f.share(busy); at < 20 {
		t.Fatalf("share after the first renewal is %d of 40, want at least 20", at)
	}
	for range 4 {
		f.use(busy, 40)
		round()
	}
	if at := f.share(busy); at < 40 {
		t.Fatalf("share after four renewals is %d, want 40", at)
	}
}

// TestShareOfFrozenHolderIsFreedAtLeaseEnd checks that the share of a holder that does not renew goes to others at the
// end of its lease, and not before.
func TestShareOfFrozenHolderIsFreedAtLeaseEnd(t *testing.T) {
	f := &fleet{resource: Rate("t"), allocator: NewAllocator(0)}
	f.setLimit(100)
	frozen, other := &testHolder{holding: NewHolding(), speed: 1, id: lease.HolderID{Name: "a"}}, &testHolder{holding: NewHolding(), speed: 1, id: lease.HolderID{Name: "b"}}
	f.holders = []*testHolder{frozen, other}
	frozen.demand, other.demand = Demand{Waiting: 100}, Demand{Waiting: 100}
	f.renew(frozen)
	f.deliver(frozen)
	if f.share(frozen) != 100 {
		t.Fatal("share of the first holder, want 100:", f.share(frozen))
	}
	for f.now < leaderLease {
		f.renew(other)
		f.deliver(other)
		if f.share(other) != 0 {
			t.Fatalf("share %d at %v before the lease of the frozen holder has ended, want 0", f.share(other), f.now)
		}
		f.now += testLease / 6
	}
	f.renew(other)
	f.deliver(other)
	if f.share(frozen) != 0 || f.share(other) != 100 {
		t.Fatalf("shares after the lease of the frozen holder are %d and %d, want 0 and 100", f.share(frozen), f.share(other))
	}
}

// TestNewLeaderLendsBeforeOldLeasesEnd checks that under a new leader, work in progress keeps its share, and a gateway
// without load still gets lent slots for the few requests that arrive.
func TestNewLeaderLendsBeforeOldLeasesEnd(t *testing.T) {
	f := &fleet{resource: Slots("p"), allocator: NewAllocator(0)}
	f.setLimit(40)
	idle, busy := &testHolder{holding: NewHolding(), speed: 1, id: lease.HolderID{Name: "a"}}, &testHolder{holding: NewHolding(), speed: 1, id: lease.HolderID{Name: "b"}}
	f.holders = []*testHolder{idle, busy}
	busy.demand = Demand{InUse: 12, Waiting: 6}
	f.newLeader()
	for _, h := range f.holders {
		f.renew(h)
		f.deliver(h)
	}
	if f.share(idle) != lentSlots || f.share(busy) != 12 {
		t.Fatalf("shares under a new leader are %d and %d, want %d lent and 12 in use", f.share(idle), f.share(busy), lentSlots)
	}
	f.now += leaderLease
	f.renew(busy)
	f.deliver(busy)
	if f.share(busy) < 18 {
		t.Fatal(f.share(busy), "slots after earlier leases have ended, want at least 18")
	}
}

// TestRequestsOfResumedHolderCountAsInUse checks that the requests in flight of a holder that was frozen beyond its
// lease count from its next renewal on, so that others give back slots for them. Until then it has only lent slots.
func TestRequestsOfResumedHolderCountAsInUse(t *testing.T) {
	f := &fleet{resource: Slots("p"), allocator: NewAllocator(0)}
	f.setLimit(20)
	frozen, other := &testHolder{holding: NewHolding(), speed: 1, id: lease.HolderID{Name: "a"}}, &testHolder{holding: NewHolding(), speed: 1, id: lease.HolderID{Name: "b"}}
	f.holders = []*testHolder{frozen, other}
	frozen.demand, other.demand = Demand{InUse: 12}, Demand{Waiting: 40}
	f.renew(frozen)
	f.deliver(frozen)
	f.now += leaderLease
	f.renew(other)
	f.deliver(other)
	if f.share(frozen) != lentSlots || f.share(other) < 20 {
		t.Fatal("shares of the resumed holder, want lentSlots, and of the other one, want at least 20:", f.share(frozen), f.share(other))
	}
	f.use(other, 40)
	f.renew(frozen)
	f.deliver(frozen)
	if f.share(frozen) > leastSlots {
		t.Fatal("share of the resumed holder while the other's is in force, want at most leastSlots:", f.share(frozen))
	}
	f.renew(other)
	f.deliver(other)
	if f.share(other) > 8+lentSlots {
		t.Fatal("share of the other holder beside 12 requests in flight, want at most 8 and lentSlots:", f.share(other))
	}
}

// TestResourceWithoutGrantIsNotDivided checks that a resource is not divided before the first answer and after an
// answer without a grant, so that the process serves as if it were alone. After the end of a lease only lent slots are
// left.
func TestResourceWithoutGrantIsNotDivided(t *testing.T) {
	demands := []ResourceDemand{{Resource: Slots("p")}}
	holding := NewHolding()
	if _, divided := holding.Share(0, Slots("p")); divided {
		t.Fatal("resource is divided before the first answer")
	}
	holding.Apply(demands, []Grant{{Resource: Slots("p"), Amount: 7}}, time.Second)
	if amount, divided := holding.Share(0, Slots("p")); !divided || amount != 7 {
		t.Fatalf("share %d, divided %v, want 7 and divided", amount, divided)
	}
	if amount, divided := holding.Share(time.Second, Slots("p")); !divided || amount != lentSlots {
		t.Fatal("share after the end of the lease, want lentSlots and divided:", amount, divided)
	}
	holding.Apply(demands, nil, 2*time.Second)
	if _, divided := holding.Share(0, Slots("p")); divided {
		t.Fatal("resource is divided after an answer without a grant")
	}
}

// BenchmarkRenewal measures one renewal among 300 gateways that all want slots of a full pool.
func BenchmarkRenewal(b *testing.B) {
	const gateways = 300
	allocator := NewAllocator(0)
	allocator.SetLimit(Slots("p"), 360)
	renewals := make([]Renewal, gateways)
	for i := range renewals {
		renewals[i] = Renewal{Holder: lease.HolderID{Name: fmt.Sprint(i)}, LeaseEnds: time.Hour, Demands: []ResourceDemand{{Resource: Slots("p"), Demand: Demand{InUse: 1, Waiting: 4}}}}
	}
	number := uint64(0)
	for b.Loop() {
		number++
		renewal := &renewals[number%gateways]
		renewal.Number, renewal.AppliedAnswer = number, number-min(number, gateways)
		allocator.Renew(0, renewal)
	}
}

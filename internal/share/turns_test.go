package share

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
)

// renewOne renews the lease of a holder that has applied the preceding answer, and returns its share of the
// demanded resource.
func renewOne(a *Allocator, now time.Duration, holder lease.HolderID, number uint64, demand ResourceDemand) uint32 {
	grants := a.Renew(now, &Renewal{Holder: holder, Number: number, AppliedAnswer: number - 1, LeaseEnds: now + time.Second, Demands: []ResourceDemand{demand}})
	if len(grants) != 1 {
		return 0
	}
	return grants[0].Amount
}

// TestTurnHasOneHolder checks that only one of several holders has the turn, until it has confirmed that it lost the
// turn or its lease has ended, and that a turn is never lent.
func TestTurnHasOneHolder(t *testing.T) {
	resource := Turn("r")
	a := NewAllocator(0)
	a.SetLimit(resource, 1)
	wants, uses := ResourceDemand{resource, Demand{Waiting: 1}}, ResourceDemand{resource, Demand{InUse: 1}}
	one, two, three := lease.HolderID{Name: "1"}, lease.HolderID{Name: "2"}, lease.HolderID{Name: "3"}
	if renewOne(a, 0, one, 1, wants) != 1 || renewOne(a, 0, two, 2, wants) != 0 || renewOne(a, 0, three, 3, wants) != 0 || renewOne(a, 0, one, 4, uses) != 1 {
		t.Fatal("the first holder does not have the turn, or another one has it too")
	}
	if renewOne(a, 0, one, 5, ResourceDemand{Resource: resource}) != 0 || renewOne(a, 0, one, 6, ResourceDemand{Resource: resource}) != 0 {
		t.Error("a holder that gave the turn back was granted it without asking")
	}
	if renewOne(a, 0, three, 7, wants) != 1 || renewOne(a, 0, two, 8, wants) != 0 {
		t.Error("a turn that was given back is not granted to exactly the next holder")
	}
	if renewOne(a, 2*time.Second, two, 9, wants) != 1 {
		t.Error("the turn of an ended lease is not granted to another holder")
	}
	holding := NewHolding()
	holding.Apply([]ResourceDemand{wants}, []Grant{{resource, 1}}, time.Second)
	if amount, divided := holding.Share(2*time.Second, resource); amount != 0 || !divided {
		t.Errorf("after the end of its lease a holder has %d turns, want 0 and divided", amount)
	}
}

// TestLowestReportedLimitIsShared checks that all holders get the lowest limit that is reported in leases that have
// not ended.
func TestLowestReportedLimitIsShared(t *testing.T) {
	resource := Bytes("p")
	a := NewAllocator(0)
	a.SetLimit(resource, 0)
	tell := func(limit uint32) ResourceDemand { return ResourceDemand{resource, Demand{InUse: limit, Waiting: 1}} }
	one, two, three := lease.HolderID{Name: "1"}, lease.HolderID{Name: "2"}, lease.HolderID{Name: "3"}
	if renewOne(a, 0, one, 1, tell(0)) != 0 || renewOne(a, 0, two, 2, tell(700)) != 700 || renewOne(a, 0, three, 3, tell(500)) != 500 {
		t.Error("a share is not the lowest limit reported so far")
	}
	if renewOne(a, 0, one, 4, tell(0)) != 500 {
		t.Error("a holder without a limit does not get the lowest reported one, 500")
	}
	if renewOne(a, 1500*time.Millisecond, one, 5, tell(0)) != 0 {
		t.Error("a limit reported in an ended lease still counts")
	}
}

// TestCrashesOfSeveralHoldersSetLimit checks that half of the bodies that several holders had at a crashed replica
// becomes a limit, if the sum is more than every replica is assumed to hold and more than one holder had some.
func TestCrashesOfSeveralHoldersSetLimit(t *testing.T) {
	const safeUnits = SafeBytes / BytesUnit
	for _, one := range []struct {
		demands []Demand
		want    uint32
	}{
		{[]Demand{{Waiting: 1 + 2*safeUnits}, {Waiting: 1}}, 0},
		{[]Demand{{Waiting: 1 + safeUnits/2}, {Waiting: 1 + safeUnits/2}}, 0},
		{[]Demand{{Waiting: 1 + safeUnits}, {Waiting: 1 + safeUnits}}, safeUnits},
		{[]Demand{{InUse: safeUnits + 9, Waiting: 1 + safeUnits}, {Waiting: 1 + safeUnits}}, safeUnits},
		{[]Demand{{InUse: safeUnits - 9, Waiting: 1 + safeUnits}, {Waiting: 1 + safeUnits}}, safeUnits - 9},
	} {
		d := newDivision(kindOf(Bytes("p")))
		var last uint32
		for i, demand := range one.demands {
			renewal := &Renewal{Holder: lease.HolderID{Name: string(rune('a' + i))}, Number: uint64(i + 1), LeaseEnds: time.Second}
			last = d.renew(0, false, renewal, demand)
		}
		if last != one.want {
			t.Errorf("%+v: limit %d, want %d", one.demands, last, one.want)
		}
	}
}

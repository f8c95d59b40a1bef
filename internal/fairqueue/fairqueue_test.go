package fairqueue

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// piece is a piece of work of the owner with an index.
type piece struct {
	owner int
	work  float64
}

// startedWork is a piece of work that began, and which owners waited at that time.
type startedWork struct {
	piece
	waited []bool // by index of the owner
}

// TestWaitingOwnerGetsItsShare checks the fairness bound: over any period in which an owner waits, it gets its
// weighted share of the work that begins, among the owners that wait in that period, less at most two pieces of the
// largest work. One of them is served ahead of it, the other one it had received right before.
func TestWaitingOwnerGetsItsShare(t *testing.T) {
	const largest = 50
	rapid.Check(t, func(t *rapid.T) {
		owners := make([]Owner, rapid.IntRange(1, 6).Draw(t, "owners"))
		for i := range owners {
			owners[i] = Owner{Name: fmt.Sprint(i), Weight: rapid.SampledFrom([]uint32{0, 1, 50, 100, 300, 1000}).Draw(t, "weight")}
		}
		var queue Queue[piece]
		var log []startedWork
		waiting := make([]int, len(owners))
		for range 40 {
			for i, owner := range owners {
				for range rapid.SampledFrom([]int{0, 0, 0, 1, 1, 3, 30}).Draw(t, "pushes") {
					work := rapid.SampledFrom([]float64{1, 7, 20, largest}).Draw(t, "work")
					queue.Push(owner, work, piece{owner: i, work: work})
					waiting[i]++
				}
			}
			for range rapid.IntRange(0, 5).Draw(t, "pops") {
				waited := make([]bool, len(owners))
				for i := range owners {
					waited[i] = waiting[i] > 0
				}
				got, ok := queue.Pop()
				if ok != slices.Contains(waited, true) {
					t.Fatalf("Pop returned work: %v, while the owners with waiting work are %v", ok, waited)
				}
				if ok {
					waiting[got.owner]--
					log = append(log, startedWork{piece: got, waited: waited})
				}
			}
		}
		for i := range owners {
			for first := range log {
				if below := maxDeficit(owners, i, log[first:]); below > 2*largest+1e-6 {
					t.Fatalf("owner %d is %v below its share, want at most two pieces of the largest work", i, below)
				}
			}
		}
	})
}

// maxDeficit returns how far an owner falls below its share at most, over the periods that begin with the first entry
// of the log and in which the owner waits throughout.
func maxDeficit(owners []Owner, of int, log []startedWork) (most float64) {
	competes := make([]bool, len(owners))
	weights, total, received := 0.0, 0.0, 0.0
	for _, one := range log {
		if !one.waited[of] {
			break
		}
		for i, owner := range owners {
			if one.waited[i] && !competes[i] {
				competes[i] = true
				weights += owner.weight()
			}
		}
		total += one.work
		if one.owner == of {
			received += one.work
		}
		most = max(most, total*owners[of].weight()/weights-received)
	}
	return most
}

// TestSingleOwnerIsServedInOrder compares a queue with a single owner to a plain list: work begins in the order of
// arrival, except for work that was pushed to the front.
func TestSingleOwnerIsServedInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue[int]
		var want []int
		for number := range 100 {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				queue.Push(Owner{}, rapid.Float64Range(0, 9).Draw(t, "work"), number)
				want = append(want, number)
			case 2:
				queue.PushFront(Owner{}, 1, number)
				want = append([]int{number}, want...)
			case 3:
				got, ok := queue.Pop()
				if ok != (len(want) > 0) || ok && got != want[0] {
					t.Fatalf("Pop returned %v, %v, want the first of %v", got, ok, want)
				}
				if ok {
					want = want[1:]
				}
			case 4:
				if last, ok := queue.Last(); ok {
					queue.Remove(func(one int) bool { return one == last })
					want = want[:len(want)-1]
				}
			}
			position := 0
			for one := range queue.All() {
				if one != want[position] {
					t.Fatalf("All returned %d at position %d, want the order %v", one, position, want)
				}
				position++
			}
			if position != len(want) || queue.Len() != len(want) || queue.EstimateAhead(Owner{}, 1, false) != float64(len(want)) {
				t.Fatalf("All, Len and EstimateAhead count %d, %d and %v entries, want those of %v", position, queue.Len(), queue.EstimateAhead(Owner{}, 1, false), want)
			}
		}
	})
}

// TestSingleOwnerAllocatesNothing checks that a queue that fills and empties again reuses its memory.
func TestSingleOwnerAllocatesNothing(t *testing.T) {
	var queue Queue[int]
	turn := func() {
		for number := range 8 {
			queue.Push(Owner{}, 1, number)
		}
		for queue.Len() > 0 {
			queue.Pop()
		}
	}
	turn()
	if allocated := testing.AllocsPerRun(100, turn); allocated != 0 {
		t.Errorf("%v allocations per run, want 0", allocated)
	}
}

// BenchmarkOneLargeOwner fills and empties a queue with the work of one owner. ns/op covers all pieces.
func BenchmarkOneLargeOwner(b *testing.B) {
	const pieces = 64_000
	for b.Loop() {
		var queue Queue[int]
		for number := range pieces {
			queue.Push(Owner{}, 1, number)
		}
		for queue.Len() > 0 {
			queue.Pop()
		}
	}
}

// TestIdleOwnersAreForgotten guards against memory that grows with the number of owners that have ever waited: only
// owners that are ahead of the virtual time are kept.
func TestIdleOwnersAreForgotten(t *testing.T) {
	var queue Queue[int]
	for number := range 10_000 {
		queue.Push(Owner{Name: "always"}, 1, number)
		queue.Push(Owner{Name: fmt.Sprint(number)}, 1, number)
		queue.Pop()
		queue.Pop()
		if len(queue.flows) > 3 {
			t.Fatalf("%d owners are kept, want at most 3", len(queue.flows))
		}
	}
}

// TestChargedWorkDelaysOwner checks that an owner with charged work is served after the others have received as much.
func TestChargedWorkDelaysOwner(t *testing.T) {
	var queue Queue[string]
	a, b := Owner{Name: "a"}, Owner{Name: "b"}
	queue.Charge(a, 3)
	for range 4 {
		queue.Push(a, 1, "a")
		queue.Push(b, 1, "b")
	}
	order := ""
	for queue.Len() > 0 {
		next, _ := queue.Pop()
		order += next
	}
	if order[:3] != "bbb" || len(order) != 8 {
		t.Errorf("served %q, want bbb first and 8 pieces", order)
	}
}

// TestEvictionCandidateIsFromLargestBacklog checks that the candidate belongs to the owner with the largest backlog by
// weight, and never to the owner that asks.
func TestEvictionCandidateIsFromLargestBacklog(t *testing.T) {
	var queue Queue[int]
	large, heavy, light := Owner{Name: "large", Weight: 1000}, Owner{Name: "heavy"}, Owner{Name: "light"}
	for number := range 6 {
		queue.Push(large, 1, number)
		if number < 3 {
			queue.Push(heavy, 1, 10+number)
		}
	}
	for _, test := range []struct {
		owner Owner
		want  int
		found bool
	}{{light, 12, true}, {large, 12, true}, {heavy, 0, false}} {
		if got, found := queue.EvictionCandidate(test.owner, 1); found != test.found || got != test.want {
			t.Errorf("eviction candidate for %+v is %d (%v), want the last one of heavy or none", test.owner, got, found)
		}
	}
}

// TestEstimateAheadForLightOwner guards against counting a heavy owner's whole backlog as ahead of another owner's
// work.
func TestEstimateAheadForLightOwner(t *testing.T) {
	var queue Queue[int]
	for number := range 30 {
		queue.Push(Owner{Name: "heavy"}, 2, number)
	}
	for _, test := range []struct {
		owner Owner
		want  float64
	}{{Owner{Name: "heavy"}, 30}, {Owner{Name: "light"}, 1}, {Owner{Name: "large", Weight: 1000}, 0.1}} {
		if got := queue.EstimateAhead(test.owner, 2, false); got != test.want {
			t.Errorf("%v pieces ahead of %+v, want %v", got, test.owner, test.want)
		}
	}
}

// TestPushAheadKeepsOrderAndTurns checks that work added with PushAhead begins before its owner's other work, in the
// order of arrival, and does not give the owner more turns.
func TestPushAheadKeepsOrderAndTurns(t *testing.T) {
	var queue Queue[string]
	a, b := Owner{Name: "a"}, Owner{Name: "b"}
	queue.Push(b, 1, "b1")
	queue.Push(a, 1, "a3")
	queue.Push(b, 1, "b2")
	queue.PushAhead(a, 1, "a1")
	if ahead := queue.EstimateAhead(a, 1, true); ahead != 3 {
		t.Errorf("%v pieces ahead of one added with PushAhead, want 3", ahead)
	}
	queue.PushAhead(a, 1, "a2")
	order := ""
	for queue.Len() > 0 {
		next, _ := queue.Pop()
		order += next + " "
	}
	if order != "a1 b1 a2 b2 a3 " {
		t.Errorf("served %q, want a1 b1 a2 b2 a3", order)
	}
}

// BenchmarkQueue pushes and pops one piece of work while many owners wait.
func BenchmarkQueue(b *testing.B) {
	for _, owners := range []int{1, 79, 1000} {
		b.Run(fmt.Sprint(owners), func(b *testing.B) {
			names := make([]Owner, owners)
			var queue Queue[int]
			for i := range names {
				names[i].Name = fmt.Sprint(i)
				queue.Push(names[i], 1, i)
			}
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				queue.Push(names[number%owners], 1, number)
				queue.Pop()
			}
		})
	}
}

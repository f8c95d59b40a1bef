package wave

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedPool is a pool of replicas that execute orders, fail, claim swaps that they did not make, and restart.
type simulatedPool struct {
	planner *Planner
	now     time.Duration
	serving map[string]uint64
	refuses map[string]bool
	names   []string
	orders  []Order // in progress
	target  uint64
}

func newSimulatedPool(config Config, replicas int) *simulatedPool {
	w := &simulatedPool{planner: New(config), serving: map[string]uint64{}, refuses: map[string]bool{}}
	for index := range replicas {
		w.names = append(w.names, fmt.Sprintf("r%03d", index))
	}
	w.planner.SetReplicas(w.names)
	return w
}

func (w *simulatedPool) release(t interface{ Fatalf(string, ...any) }) {
	w.target++
	if !w.planner.Release(w.now, Version{Name: fmt.Sprintf("v%d", w.target), Number: w.target}) {
		t.Fatalf("Release of version %d was rejected", w.target)
	}
}

// next gets the planner's orders and checks them. When an order takes a working replica out of service, the number of
// replicas out of service by orders must be within the limit. A replica that refused work when it was ordered to
// swap, and works again before it has, can't be recalled, so it counts only when later orders are sent.
func (w *simulatedPool) next(t interface{ Fatalf(string, ...any) }) {
	defer checkIndex(t, w.planner)
	costs := false
	for _, order := range w.planner.Next(w.now) {
		costs = costs || order.Kind == Swap && !w.refuses[order.Replica]
		for _, other := range w.orders {
			if other.Replica == order.Replica {
				t.Fatalf("replica %s has two orders in progress: %+v and %+v", order.Replica, other, order)
			}
		}
		if order.Version.Number != w.target {
			t.Fatalf("order %+v is for an old version, want target %d", order, w.target)
		}
		w.orders = append(w.orders, order)
	}
	out := 0
	for _, order := range w.orders {
		if order.Kind == Swap && !w.refuses[order.Replica] {
			out++
		}
	}
	if most := max(1, len(w.names)/5); costs && out > most {
		t.Fatalf("%d working replicas are out of service by orders, want at most %d", out, most)
	}
}

// answer ends the order at a position with the given outcome. With ignoresSwap a replica answers a swap with Done but
// keeps its version.
func (w *simulatedPool) answer(position int, outcome Outcome, ignoresSwap bool) {
	order := w.orders[position]
	w.orders = append(w.orders[:position], w.orders[position+1:]...)
	if outcome == Done && order.Kind == Swap && !ignoresSwap {
		w.serving[order.Replica], w.refuses[order.Replica] = order.Version.Number, false
	}
	w.planner.Answered(w.now, order.ID, Answer{Outcome: outcome, Serving: w.serving[order.Replica], RetryAfter: time.Second})
}

func (w *simulatedPool) report(name string) {
	w.planner.Report(w.now, name, Report{Version: Version{Number: w.serving[name]}, RefusesWork: w.refuses[name]})
}

// TestWaveCompletesDespiteFailures drives random events and checks that capacity is kept, that no order is for an old
// version and that every replica serves the newest one in the end. Replicas answer immediately, so QuickSwap is set
// low enough that this does not permit all of them to swap at once.
func TestWaveCompletesDespiteFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulatedPool(Config{QuickSwap: time.Nanosecond, Unstaged: rapid.Bool().Draw(t, "unstaged"), OldestFirst: rapid.Bool().Draw(t, "oldest first")},
			rapid.IntRange(1, 12).Draw(t, "replicas"))
		w.release(t)
		for range rapid.IntRange(0, 150).Draw(t, "events") {
			w.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "elapsed")) * time.Millisecond
			name := rapid.SampledFrom(w.names).Draw(t, "replica")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				w.release(t)
			case 1: // the replica restarts with its initial weights
				w.serving[name], w.refuses[name] = 0, rapid.Bool().Draw(t, "refuses")
				w.report(name)
			case 2, 3:
				if len(w.orders) > 0 {
					outcome := rapid.SampledFrom([]Outcome{Done, Done, Failed, Throttled}).Draw(t, "outcome")
					w.answer(rapid.IntRange(0, len(w.orders)-1).Draw(t, "order"), outcome, rapid.Bool().Draw(t, "lies"))
				}
			case 4:
				w.report(name)
			case 5:
				w.next(t)
			}
		}
		w.drain(t)
	})
}

func (w *simulatedPool) drain(t *rapid.T) {
	for range 400 {
		w.now += 500 * time.Millisecond
		for len(w.orders) > 0 {
			w.answer(0, Done, false)
		}
		for _, name := range w.names {
			w.report(name)
		}
		w.next(t)
	}
	for _, name := range w.names {
		if w.serving[name] != w.target {
			t.Fatalf("replica %s serves version %d, want target %d", name, w.serving[name], w.target)
		}
	}
	if status := w.planner.Status(); status.Serving != len(w.names) || status.Counters.Waves == 0 {
		t.Fatalf("got status %+v, want all replicas serving and at least one complete wave", status)
	}
}

// waveDuration runs one wave in virtual time and returns its duration. Stage orders take 300ms and swaps 500ms.
func waveDuration(t *testing.T, replicas int, storeReadsPerSecond float64) time.Duration {
	t.Helper()
	const tick = 50 * time.Millisecond
	w := newSimulatedPool(Config{}, replicas)
	w.release(t)
	due := map[uint64]time.Duration{}
	budget := 0.0
	for w.now < 10*time.Minute {
		w.next(t)
		for position := len(w.orders) - 1; position >= 0; position-- {
			order := w.orders[position]
			if _, known := due[order.ID]; !known {
				due[order.ID] = w.now + 300*time.Millisecond
				if order.Kind == Swap {
					due[order.ID] = w.now + 500*time.Millisecond
				} else if storeReadsPerSecond > 0 {
					if budget < 1 {
						w.answer(position, Throttled, false)
						continue
					}
					budget--
				}
			}
			if w.now >= due[order.ID] {
				w.answer(position, Done, false)
			}
		}
		if status := w.planner.Status(); status.Serving == replicas {
			return status.LastDuration
		}
		w.now += tick
		budget = min(budget+storeReadsPerSecond*tick.Seconds(), 100)
	}
	t.Fatal("the wave did not complete within 10m")
	return 0
}

func TestWaveCompletesWithinTenSeconds(t *testing.T) {
	for _, replicas := range []int{1, 10, 600} {
		if lasted := waveDuration(t, replicas, 0); lasted > 10*time.Second {
			t.Errorf("wave over %d replicas took %s, want at most 10s", replicas, lasted)
		}
	}
}

// TestStagingScalesWithReplicasServingWeights checks that a wave speeds up as replicas start to pass the weights on.
// The weight store has 16 streams, each replica that has the weights adds one, and copies and swaps take 500ms each.
func TestStagingScalesWithReplicasServingWeights(t *testing.T) {
	const replicas, copyTime = 600, 500 * time.Millisecond
	w := newSimulatedPool(Config{}, replicas)
	w.release(t)
	due, copies, streams := map[uint64]time.Duration{}, 0, 16
	for ; w.planner.Status().Serving < replicas; w.now += 50 * time.Millisecond {
		if w.now > 10*time.Second {
			t.Fatalf("%d of %d replicas serve the version after %s, want all within 10s", w.planner.Status().Serving, replicas, w.now)
		}
		w.next(t)
		for position := len(w.orders) - 1; position >= 0; position-- {
			order := w.orders[position]
			switch _, known := due[order.ID]; {
			case !known && order.Kind == Stage && copies >= streams:
				w.answer(position, Throttled, false)
			case !known:
				due[order.ID] = w.now + copyTime
				if order.Kind == Stage {
					copies++
				}
			case w.now >= due[order.ID]:
				if order.Kind == Stage {
					copies, streams = copies-1, streams+1
				}
				w.answer(position, Done, false)
			}
		}
	}
}

func TestThrottledStoreOnlyDelaysTheWave(t *testing.T) {
	if lasted := waveDuration(t, 10, 4); lasted < 2*time.Second || lasted > 10*time.Second {
		t.Errorf("wave over ten replicas with four store reads per second took %s, want 2s to 10s", lasted)
	}
}

func TestReplicaRevertingToOldVersionIsRepaired(t *testing.T) {
	w := newSimulatedPool(Config{}, 1)
	w.release(t)
	for w.planner.Status().Serving == 0 {
		w.next(t)
		for len(w.orders) > 0 {
			w.answer(0, Done, false)
		}
		w.now += 100 * time.Millisecond
	}
	w.serving["r000"] = 0
	w.report("r000")
	if len(w.planner.Next(w.now)) > 0 {
		t.Fatal("a report within ReportGrace overrode the answer to an order")
	}
	w.now += defaultReportGrace
	w.report("r000")
	w.next(t)
	if len(w.orders) != 1 || w.planner.Status().Counters.Repairs != 1 {
		t.Fatalf("got orders %+v and status %+v, want one order that counts as a repair", w.orders, w.planner.Status())
	}
}

func TestReleaseRejectsOldNumber(t *testing.T) {
	planner := New(Config{})
	if !planner.Release(0, Version{Name: "a", Number: 5}) || planner.Release(0, Version{Name: "b", Number: 5}) ||
		planner.Release(0, Version{Name: "c", Number: 4}) {
		t.Fatal("Release accepted a number that is not above the last one, or rejected the first one")
	}
}

// TestFrequentReleasesDoNotStarveReplicas releases a version after each swap and checks that every replica is updated
// nevertheless.
func TestFrequentReleasesDoNotStarveReplicas(t *testing.T) {
	w := newSimulatedPool(Config{MaxConcurrentSwaps: 1, StageTime: 1, OldestFirst: true}, 4)
	for range 4 {
		w.release(t)
		w.next(t) // sends stage orders
		for len(w.orders) > 0 {
			w.answer(0, Done, false)
		}
		w.now += time.Second
		w.next(t) // sends one swap
		w.now += time.Second
		for len(w.orders) > 0 {
			w.answer(0, Done, false)
		}
	}
	for _, name := range w.names {
		if w.serving[name] == 0 {
			t.Fatalf("replica %s was never updated: serving %v", name, w.serving)
		}
	}
}

// checkIndex compares the planner's index with a look at every replica.
func checkIndex(t interface{ Fatalf(string, ...any) }, p *Planner) {
	want, waiting := counts{}, 0
	for _, one := range p.replicas {
		entry := p.indexEntryOf(one)
		want.add(entry, 1)
		if entry.key == nil {
			continue
		}
		waiting++
		if listed, ok := p.waiting.Get(entry.key); !ok || listed != one {
			t.Fatalf("replica %s does not wait under the key of its state", one.name)
		}
	}
	if p.counts != want || p.waiting.Len() != waiting {
		t.Fatalf("counts %+v and %d waiting replicas, want %+v and %d", p.counts, p.waiting.Len(), want, waiting)
	}
}

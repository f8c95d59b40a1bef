package sim

import (
	"fmt"
	"math/rand"
	"strings"
	"time"
)

// event is a function to run at a moment of virtual time. Events of the same moment run in the order in which they
// were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// eventHeap is a binary heap that avoids the boxing of container/heap, which took a sixth of the time of a run.
type eventHeap []event

func (h *eventHeap) push(added event) {
	heap := append(*h, added)
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !added.before(&heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = added
	*h = heap
}

func (h *eventHeap) pop() event {
	heap := *h
	first, last := heap[0], heap[len(heap)-1]
	heap[len(heap)-1] = event{}
	heap = heap[:len(heap)-1]
	i := 0
	for {
		child := 2*i + 1
		if child >= len(heap) {
			break
		}
		if child+1 < len(heap) && heap[child+1].before(&heap[child]) {
			child++
		}
		if !heap[child].before(&last) {
			break
		}
		heap[i] = heap[child]
		i = child
	}
	if len(heap) > 0 {
		heap[i] = last
	}
	*h = heap
	return first
}

// world holds the virtual time and everything that the parts of a fleet share. It runs on one goroutine.
type world struct {
	now        time.Duration
	events     eventHeap
	sequence   uint64
	random     *rand.Rand
	tracing    bool
	traceLines []string
	mutation   Mutation
	truth      *truth
	network    *network
	faults     faultCounts
	history    *history
	fleet      *fleet
}

func newWorld(scenario *Scenario, seed int64, mutation Mutation, tracing bool) *world {
	w := &world{random: rand.New(rand.NewSource(seed)), mutation: mutation, tracing: tracing}
	w.truth = newTruth(w, scenario)
	w.network = newNetwork(w)
	w.history = &history{world: w}
	return w
}

// after runs a function after a delay, independently of the state of any process.
func (w *world) after(delay time.Duration, run func()) {
	w.sequence++
	w.events.push(event{at: w.now + max(delay, 0), sequence: w.sequence, run: run})
}

// runUntil runs all events up to a moment, unless a violation stops the run.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end && !w.truth.isStopped() {
		next := w.events.pop()
		w.now = next.at
		next.run()
	}
	w.now = max(w.now, end)
}

// tracef adds a line to the trace.
func (w *world) tracef(who, format string, arguments ...any) {
	if !w.tracing {
		return
	}
	w.traceLines = append(w.traceLines, fmt.Sprintf("%11.6f %-12s %s", w.now.Seconds(), who, fmt.Sprintf(format, arguments...)))
}

func (w *world) traceText() string { return strings.Join(w.traceLines, "\n") + "\n" }

// randomBool returns true with the given probability.
func (w *world) randomBool(probability float64) bool { return w.random.Float64() < probability }

// randomDuration draws a duration uniformly from low to high.
func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int63n(int64(high-low)+1))
}

// exponentialDuration draws an exponentially distributed duration, the interval between events of a Poisson process.
func (w *world) exponentialDuration(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// hasMutation reports whether the run omits the given safety step.
func (w *world) hasMutation(mutation Mutation) bool { return w.mutation == mutation }

// unixMillis returns the wall clock in milliseconds, for fields that production stamps with one.
func (w *world) unixMillis() int64 { return startUnixMillis + w.now.Milliseconds() }

const startUnixMillis = 1_700_000_000_000

package retrybudget

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// The model of a pool. Its back ends work on one request at a time in the order of arrival, and also complete
// requests whose gateway has timed out.
const (
	modelBackEnds = 10
	modelService  = 10 * time.Millisecond  // 100 requests a second per back end
	modelTimeout  = 200 * time.Millisecond // timeout of one send
	modelAttempts = 3
	modelRate     = 700.0 // requests a second, of the 1,000 that the pool can serve
)

// simulation is one run of the model in virtual time.
type simulation struct {
	budget  *Budget // nil: retries are not limited
	random  *rand.Rand
	idleAt  [modelBackEnds]time.Duration // when each back end has completed the requests that it has
	isDown  func(backEnd int, at time.Duration) bool
	pending completionQueue
	served  []int // by the second in which a request began
	began   []int // by second
	sends   []int // by second
}

// completion is the end of one send.
type completion struct {
	at        time.Duration
	beganAt   time.Duration // when the request began
	backEnd   int
	attempt   int // number of the send of its request, from 1
	succeeded bool
}

type completionQueue []completion

func (e completionQueue) Len() int           { return len(e) }
func (e completionQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionQueue) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run sends requests at a rate that may change, with random gaps, until all have ended.
func (s *simulation) run(length time.Duration, rate func(at time.Duration) float64) {
	seconds := int(length / time.Second)
	s.served, s.began, s.sends = make([]int, seconds), make([]int, seconds), make([]int, 2*seconds)
	for at := time.Duration(0); at < length; at += time.Duration(s.random.ExpFloat64() / rate(at) * float64(time.Second)) {
		s.processCompletions(at)
		s.began[at/time.Second]++
		if s.budget != nil {
			s.budget.Began(at)
		}
		s.send(at, at, 1, -1)
	}
	s.processCompletions(2 * length)
}

// send sends a request to a random back end other than the previous one.
func (s *simulation) send(at, beganAt time.Duration, attempt, previous int) {
	s.sends[at/time.Second]++
	target := s.random.IntN(modelBackEnds)
	if target == previous {
		target = (target + 1) % modelBackEnds
	}
	made := completion{beganAt: beganAt, backEnd: target, attempt: attempt}
	if s.isDown != nil && s.isDown(target, at) {
		made.at = at + time.Millisecond
	} else {
		s.idleAt[target] = max(s.idleAt[target], at) + modelService
		made.at, made.succeeded = s.idleAt[target], true
		if s.isDown != nil && s.isDown(target, made.at) || made.at > at+modelTimeout {
			made.at, made.succeeded = min(made.at, at+modelTimeout), false
		}
	}
	heap.Push(&s.pending, made)
}

func (s *simulation) processCompletions(at time.Duration) {
	for len(s.pending) > 0 && s.pending[0].at <= at {
		ended := heap.Pop(&s.pending).(completion)
		switch {
		case ended.succeeded:
			s.served[ended.beganAt/time.Second]++
			s.requestEnded()
		case ended.attempt < modelAttempts && (s.budget == nil || s.budget.Retry(ended.at, strconv.Itoa(ended.backEnd))):
			s.send(ended.at, ended.beganAt, ended.attempt+1, ended.backEnd)
		default:
			s.requestEnded()
		}
	}
}

func (s *simulation) requestEnded() {
	if s.budget != nil {
		s.budget.Ended()
	}
}

// servedFraction returns the fraction of the requests begun in the seconds [from, to) that were served.
func (s *simulation) servedFraction(from, to int) float64 {
	served, began := 0, 0
	for second := from; second < to; second++ {
		served, began = served+s.served[second], began+s.began[second]
	}
	return float64(served) / float64(began)
}

func newSimulation(budget *Budget) *simulation {
	return &simulation{budget: budget, random: rand.New(rand.NewPCG(1, 2))}
}

// TestPoolRecoversFromRetryStorm guards against a pool that stays overloaded by retries after a load of two and a
// half times the normal one for three seconds. Without a limit the retries of failed requests keep it overloaded for
// good. With the budget at most 1.2 times the requests that begin are sent, and a tenth of the capacity is free. The
// storm leaves at most 3,825 requests of work, of which the pool completes 90 a second, so that it has recovered 43 s
// later.
func TestPoolRecoversFromRetryStorm(t *testing.T) {
	const length, stormBegins, stormEnds, recoveredBy = 80 * time.Second, 10 * time.Second, 13 * time.Second, 57
	rate := func(at time.Duration) float64 {
		if at >= stormBegins && at < stormEnds {
			return 2.5 * modelRate
		}
		return modelRate
	}
	for _, run := range []struct {
		name   string
		budget *Budget
		least  float64 // bounds of the fraction served from second recoveredBy on
		most   float64
	}{{"no bound", nil, 0, 0.5}, {"budget", New(0, DefaultLimits), 0.99, 1}} {
		played := newSimulation(run.budget)
		played.run(length, rate)
		before, during, after := played.servedFraction(0, 10), played.servedFraction(10, 20), played.servedFraction(recoveredBy, 80)
		t.Logf("%s: served before %.3f, in the ten seconds from the storm's begin on %.3f, from second %d on %.3f; sends by second %v", run.name, before, during, recoveredBy,
			after, played.sends[:80])
		if after < run.least || after > run.most {
			t.Errorf("%s: served a fraction of %.3f from second %d on, outside the bounds of this run", run.name, after, recoveredBy)
		}
	}
}

// TestRetriesAfterCrashAreNotRejected guards against a budget that rejects the retries of requests lost in the crash
// of one back end of ten, or of three at once.
func TestRetriesAfterCrashAreNotRejected(t *testing.T) {
	for name, lost := range map[string]int{"one": 1, "three": 3} {
		var served []float64
		for _, budget := range []*Budget{nil, New(0, DefaultLimits)} {
			played := newSimulation(budget)
			played.isDown = func(backEnd int, at time.Duration) bool {
				return backEnd < lost && at >= 20*time.Second && at < 21*time.Second
			}
			played.run(40*time.Second, func(time.Duration) float64 { return modelRate / 2 })
			served = append(served, played.servedFraction(18, 24))
		}
		t.Logf("%s: served %.4f without a bound, %.4f with the budget", name, served[0], served[1])
		if served[1] < served[0] {
			t.Errorf("%s back ends crashed: served %.4f without a limit, %.4f with the budget, want no less", name, served[0], served[1])
		}
	}
}

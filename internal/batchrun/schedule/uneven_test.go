package schedule

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/loadreport"
)

// The fleet of these tests. One replica in four is about twice as fast as the others, and each one is temporarily slow.
const (
	unevenReplicaCount = 44
	unevenFastPace     = 26800 * time.Microsecond
	unevenSlowPace     = 57 * time.Millisecond
	meanSlowTime       = 600 * time.Millisecond // mean duration of a slowdown
	meanFastTime       = 3 * time.Second        // mean time between two slowdowns
	slowFactor         = 2.5
	reportEvery        = 250 * time.Millisecond
)

// temporarySlowness slows the replicas of a fleet down at random times. If reporting is set, the replicas report their
// pace.
type temporarySlowness struct {
	reporting  bool
	nextChange []time.Duration
	lastReport []time.Duration
}

func (f *temporarySlowness) apply(r *simulation, now time.Duration) {
	for index, replica := range r.replicas {
		if now >= f.nextChange[index] {
			mean := meanFastTime
			if replica.slowdown == 0 {
				mean, replica.slowdown = meanSlowTime, slowFactor
			} else {
				replica.slowdown = 0
			}
			f.nextChange[index] = now + time.Duration(r.random.ExpFloat64()*float64(mean))
		}
		if f.reporting && now >= f.lastReport[index]+reportEvery {
			f.lastReport[index] = now
			r.scheduler.Reported(fmt.Sprintf("i-%03d", index), loadreport.Observation{Report: loadreport.Report{Slots: 8, Pace: max(replica.slowdown, 1)}, Seen: now})
		}
	}
}

func newUnevenSimulation(seed uint64, reporting bool, settings Settings) *simulation {
	r := newSimulation(seed, unevenReplicaCount, settings)
	for index, replica := range r.replicas {
		replica.pace = unevenSlowPace
		if index%4 == 0 {
			replica.pace = unevenFastPace
		}
	}
	f := &temporarySlowness{reporting: reporting, nextChange: make([]time.Duration, unevenReplicaCount), lastReport: make([]time.Duration, unevenReplicaCount)}
	for index := range f.nextChange {
		f.nextChange[index] = time.Duration(r.random.ExpFloat64() * float64(meanFastTime))
		r.replicas[index].slowdown = 0
	}
	r.applySlowness = f.apply
	return r
}

type unevenResult struct {
	mean, p99, worst   time.Duration
	steps, runs, moved int
	late               int
	busiest            float64 // ratio of the busiest replica to the mean, by the time that its events took
}

func simulateUneven(reporting bool, settings Settings, seeds uint64) (result unevenResult) {
	var took []time.Duration
	for seed := range seeds {
		r := newUnevenSimulation(seed, reporting, settings)
		r.play(40 * time.Second)
		took = append(took, r.stepTimes...)
		result.moved += r.moved
		result.runs += r.started
		most, sum := 0.0, 0.0
		for _, replica := range r.replicas {
			most, sum = max(most, replica.busySeconds), sum+replica.busySeconds
		}
		result.busiest += most / (sum / float64(len(r.replicas))) / float64(seeds)
	}
	slices.Sort(took)
	for _, one := range took {
		result.mean += one / time.Duration(len(took))
		if one > 7500*time.Millisecond {
			result.late++
		}
	}
	result.steps, result.worst = len(took), took[len(took)-1]
	result.p99 = took[int(math.Ceil(0.99*float64(len(took))))-1]
	return result
}

// TestTemporarySlownessCausesFewMoves: if replicas report temporary slowness, few runs move, and steps still meet their
// deadline of 7.5 s.
func TestTemporarySlownessCausesFewMoves(t *testing.T) {
	const seeds = 2
	silent, reported := simulateUneven(false, Settings{}, seeds), simulateUneven(true, Settings{}, seeds)
	t.Logf("not reported: %+v", silent)
	t.Logf("reported: %+v", reported)
	if 5*reported.moved > silent.moved || 20*reported.moved > 2*reported.runs {
		t.Errorf("%d of %d runs moved with reports, and %d without", reported.moved, reported.runs, silent.moved)
	}
	if reported.late > 0 {
		t.Errorf("%d of %d steps are late", reported.late, reported.steps)
	}
}

// TestWorkIsSpreadByPace: no replica has much more work than the mean, measured by the time that its events take.
func TestWorkIsSpreadByPace(t *testing.T) {
	const (
		seeds      = 2
		mostOfMean = 1.15
	)
	if reported := simulateUneven(true, Settings{}, seeds); reported.busiest > mostOfMean {
		t.Errorf("the busiest replica has %.3f times the mean work", reported.busiest)
	}
}

// newUnevenPair returns a scheduler with a fast replica r1 and a replica r2 that is twice as slow. Both report their
// pace, and the length of answers in events is known.
func newUnevenPair(t *testing.T, slots int) (s *Scheduler) {
	t.Helper()
	s = newScheduler(2, slots)
	learnPace(s, 10, 10*time.Millisecond)
	for instance, pause := range map[string]time.Duration{"r1": 10 * time.Millisecond, "r2": 20 * time.Millisecond} {
		replica := s.replicas[instance]
		for event := range 100 {
			replica.lastingPace.Add(time.Duration(event)*pause, pause.Seconds(), 1)
		}
	}
	for number := range 5 {
		reportPace(s, time.Duration(number)*second/5, 1, 2)
	}
	return s
}

// reportPace reports the paces of r1 and r2.
func reportPace(s *Scheduler, now time.Duration, paces ...float64) {
	for number, pace := range paces {
		s.Reported(fmt.Sprint("r", number+1), loadreport.Observation{Report: loadreport.Report{Slots: 8, Pace: pace}, Seen: now})
	}
}

// TestLongAnswersStartOnFastReplicas: long answers start on fast replicas, and short ones leave these to them.
func TestLongAnswersStartOnFastReplicas(t *testing.T) {
	s := newUnevenPair(t, 8)
	open(s, Job{ID: "j", Deadline: 4 * second}, "a:300", "b:10", "c:280", "d:12")
	for _, start := range s.Starts(second) {
		want := "r2"
		if s.find(start.Key).Length > 100 {
			want = "r1"
		}
		if start.Instance != want {
			t.Errorf("%s of %d tokens started on %s", start.Item, s.find(start.Key).Length, start.Instance)
		}
	}
}

// startOn starts the only waiting item, which must start on the given replica, and delivers its first events.
func startOn(t *testing.T, s *Scheduler, instance string, events int, pause time.Duration) Key {
	t.Helper()
	starts := s.Starts(second)
	if len(starts) != 1 || starts[0].Instance != instance {
		t.Fatalf("started %v, want one run on %s", starts, instance)
	}
	for event := range events {
		s.Progress(starts[0].Key, 1+event, second+time.Duration(event)*pause, 1)
	}
	return starts[0].Key
}

// TestOnlyLateRunsLeaveSlowReplicas: a run stays on a replica that is permanently twice as slow as long as it will be
// in time.
func TestOnlyLateRunsLeaveSlowReplicas(t *testing.T) {
	for deadline, want := range map[time.Duration]int{60 * second: 0, 3 * second: 1} {
		s := newUnevenPair(t, 8)
		s.replicas["r1"].Slots = 0 // full
		open(s, Job{ID: "j", Deadline: deadline}, "a:300")
		key := startOn(t, s, "r2", 20, 20*time.Millisecond)
		s.replicas["r1"].Slots = 8
		moves := s.PlanMoves(2 * second)
		if len(moves) != want {
			t.Errorf("deadline %v: moves %v, want one for the deadline of 3 s only", deadline, moves)
			continue
		}
		if want > 0 && (moves[0].Key != key || moves[0].Saved < second || moves[0].RelativePace != 1 || moves[0].Remaining == 0) {
			t.Errorf("move %+v, want the run on r2, at least 1 s saved and known figures", moves[0])
		}
	}
}

// TestTemporarySlownessMovesNothing: temporary slowness moves no run, even if it is late, but permanent slowness does.
func TestTemporarySlownessMovesNothing(t *testing.T) {
	s := newUnevenPair(t, 8)
	s.replicas["r2"].Slots = 0 // full
	open(s, Job{ID: "j", Deadline: 3 * second}, "a:300")
	key := startOn(t, s, "r1", 40, 10*time.Millisecond)
	s.replicas["r2"].Slots = 8
	now := second + 400*time.Millisecond
	for event := range 30 {
		now += 25 * time.Millisecond
		reportPace(s, now, 2.5, 2)
		s.Progress(key, 41+event, now, 1)
		if moves := s.PlanMoves(now); len(moves) != 0 {
			t.Fatalf("%+v moved after %d slow events", moves, event+1)
		}
	}
	for event := range 80 {
		now += 60 * time.Millisecond
		reportPace(s, now, 6, 2)
		s.Progress(key, 71+event, now, 1)
	}
	if moves := s.PlanMoves(now); len(moves) != 1 {
		t.Fatalf("%v moved off a replica that became permanently slow, want one run", moves)
	}
}

// TestNothingMovesBeforePacesAreKnown: a new leader that does not know the paces yet uses all replicas and moves
// nothing.
func TestNothingMovesBeforePacesAreKnown(t *testing.T) {
	s := newScheduler(2, 4)
	reportPace(s, second, 1, 2)
	open(s, Job{ID: "j", Deadline: 3 * second}, "a:300", "b:300", "c:10", "d:10")
	started := map[string]int{}
	for _, start := range s.Starts(second) {
		started[start.Instance]++
		for event := range 3 {
			s.Progress(start.Key, 1+event, second+time.Duration(event)*20*time.Millisecond, 1)
		}
	}
	if started["r1"] != 2 || started["r2"] != 2 {
		t.Errorf("runs by replica %v, want two on each", started)
	}
	if moves := s.PlanMoves(2 * second); len(moves) != 0 {
		t.Errorf("%v moved before paces are known", moves)
	}
}

// TestReportsOfFormerInstancesAreIgnored: each start of a replica is a new instance. Reports of the former one, even
// late ones, don't affect the new one.
func TestReportsOfFormerInstancesAreIgnored(t *testing.T) {
	s := newUnevenPair(t, 8)
	for number := range 20 {
		reportPace(s, second+time.Duration(number)*200*time.Millisecond, 9, 2)
	}
	s.Replicas([]Replica{{Instance: "r1-again", Pool: "p", Slots: 8}, {Instance: "r2", Pool: "p", Slots: 8}})
	reportPace(s, 6*second, 9)
	if s.replicas["r1"] != nil {
		t.Fatal("the former instance is still known")
	}
	if again := s.replicas["r1-again"]; again.reportedPace.Pace().Passing != 0 || again.pace != 0 {
		t.Errorf("the new instance has the pace %+v, want none", again.reportedPace.Pace())
	}
}

func TestFleet(t *testing.T) {
	if got := newScheduler(2, 8).Fleet(); got != (Fleet{}) {
		t.Errorf("fleet %+v without any information, want zero", got)
	}
	s := newUnevenPair(t, 8)
	s.replicas["r1"].Memory, s.replicas["r2"].Memory = 1000, 1000
	open(s, Job{ID: "j", Deadline: 9 * second}, "a:250")
	s.Starts(second)
	s.poolNamed("p").overrun = 1
	s.replicas["r2"].pace = 0.02
	s.replicas["r1"].pace = 0.01
	got := s.Fleet()
	if got.Fastest != 10*time.Millisecond || got.Slowest != 20*time.Millisecond || got.Memory != 0.25 || got.SlowdownRemaining <= 0 {
		t.Errorf("fleet %+v, want paces of 10 ms and 20 ms, a quarter of the memory and a positive rest", got)
	}
}

// TestMovedRunsUseTheirReservation: a moved run, and no other one, starts in the slot reserved for it. The reservation
// is released if the run ends otherwise.
func TestMovedRunsUseTheirReservation(t *testing.T) {
	for ending, again := range map[Ending]bool{Moved: true, Completed: false} {
		s := newUnevenPair(t, 8)
		s.replicas["r1"].Slots = 0 // full
		open(s, Job{ID: "j", Deadline: 3 * second}, "a:300")
		key := startOn(t, s, "r2", 20, 20*time.Millisecond)
		s.replicas["r1"].Slots = 1
		if moves := s.PlanMoves(2 * second); len(moves) != 1 {
			t.Fatalf("moves %v, want one", moves)
		}
		open(s, Job{ID: "other", Deadline: 2 * second}, "b:400")
		for _, start := range s.Starts(2 * second) {
			if start.Instance == "r1" {
				t.Errorf("%s takes the reserved slot", start.Item)
			}
		}
		s.Ended(2*second, key, ending, 1)
		if starts := s.Starts(2 * second); again && (len(starts) != 1 || starts[0].Instance != "r1" || starts[0].Key != key) {
			t.Errorf("started %v after the move, want the moved run on r1", starts)
		}
		if got := s.replicas["r1"].reservedSlots; got != 0 {
			t.Errorf("%v: %d reserved slots, want none", ending, got)
		}
	}
}

// TestReservationIsReleased: a reservation is released when its replica leaves or the job ends.
func TestReservationIsReleased(t *testing.T) {
	s := newUnevenPair(t, 8)
	s.replicas["r1"].Slots = 0 // full
	open(s, Job{ID: "j", Deadline: 3 * second}, "a:300")
	key := startOn(t, s, "r2", 20, 20*time.Millisecond)
	fast := s.replicas["r1"]
	fast.Slots = 1
	if moves := s.PlanMoves(2 * second); len(moves) != 1 || fast.reservedSlots != 1 || len(fast.items) != 1 {
		t.Fatalf("moves %v; %d reserved slots, want one of each", moves, fast.reservedSlots)
	}
	s.End("j")
	if fast.reservedSlots != 0 || len(fast.items) != 0 {
		t.Errorf("%d reserved slots after the job has ended, want none", fast.reservedSlots)
	}
	open(s, Job{ID: "k", Deadline: 3 * second}, "a:300")
	s.Ended(2*second, key, Moved, 1) // its job has ended
	fast.Slots = 0
	key = startOn(t, s, "r2", 20, 20*time.Millisecond)
	fast.Slots = 1
	if moves := s.PlanMoves(3 * second); len(moves) != 1 {
		t.Fatalf("moves %v, want one", moves)
	}
	s.Replicas(someReplicas(2, 8)[1:])
	s.Ended(3*second, key, Moved, 1)
	if starts := s.Starts(3 * second); len(starts) != 1 || starts[0].Instance != "r2" || fast.reservedSlots != 0 {
		t.Errorf("started %v, want one run on r2; %d reserved slots on a replica that has left, want none", starts, fast.reservedSlots)
	}
}

// TestDegradedReplicasAreChosenLast: items avoid a replica that is far slower than the median, even if they would be in
// time there.
func TestDegradedReplicasAreChosenLast(t *testing.T) {
	s := newScheduler(3, 8)
	learnPace(s, 10, 10*time.Millisecond)
	for number, pause := range []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 90 * time.Millisecond} {
		replica := s.replicas[fmt.Sprint("r", number+1)]
		for event := range 20 {
			replica.lastingPace.Add(time.Duration(event)*pause, pause.Seconds(), 1)
		}
	}
	reportPace(s, second, 1, 2, 9)
	open(s, Job{ID: "j", Deadline: time.Hour}, "a:1", "b:1", "c:1", "d:1")
	for _, start := range s.Starts(second) {
		if start.Instance == "r3" {
			t.Errorf("%s started on a degraded replica", start.Item)
		}
	}
}

// TestRunsDoNotMoveInSmallSteps: runs move only to the fastest replicas or to a far faster one.
func TestRunsDoNotMoveInSmallSteps(t *testing.T) {
	for here, want := range map[time.Duration]int{20 * time.Millisecond: 0, 45 * time.Millisecond: 1} {
		s := newScheduler(3, 1)
		learnPace(s, 10, 10*time.Millisecond)
		for number, pause := range []time.Duration{here, 15 * time.Millisecond, 10 * time.Millisecond} {
			replica := s.replicas[fmt.Sprint("r", number+1)]
			for event := range 20 {
				replica.lastingPace.Add(time.Duration(event)*pause, pause.Seconds(), 1)
			}
		}
		reportPace(s, second, 1, 1, 1)
		s.replicas["r2"].Slots, s.replicas["r3"].Slots = 0, 0 // full
		open(s, Job{ID: "j", Deadline: 3 * second}, "a:300")
		startOn(t, s, "r1", 20, here)
		s.replicas["r2"].Slots = 1
		if moves := s.PlanMoves(2 * second); len(moves) != want {
			t.Errorf("from %v to 15 ms per event, with the fastest at 10 ms: moves %v, want one from 45 ms only", here, moves)
		}
	}
}

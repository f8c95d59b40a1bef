package schedule

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/loadreport"
)

// The fleet of these tests: one replica in four is twice as fast as the others, and each is slow for moments.
const (
	unevenReplicas = 44
	unevenFast     = 26800 * time.Microsecond
	unevenSlow     = 57 * time.Millisecond
	slowTime       = 600 * time.Millisecond // on average
	betweenSlow    = 3 * time.Second        // likewise
	slowFactor     = 2.5
	reportEvery    = 250 * time.Millisecond
)

// flickering are the co-runners of a fleet's replicas. telling: the replicas say how long work takes.
type flickering struct {
	telling bool
	until   []time.Duration
	told    []time.Duration
}

func (f *flickering) pass(r *replayed, now time.Duration) {
	for at, replica := range r.replicas {
		if now >= f.until[at] {
			mean := betweenSlow
			if replica.slowed == 0 {
				mean, replica.slowed = slowTime, slowFactor
			} else {
				replica.slowed = 0
			}
			f.until[at] = now + time.Duration(r.random.ExpFloat64()*float64(mean))
		}
		if f.telling && now >= f.told[at]+reportEvery {
			f.told[at] = now
			r.s.Reported(fmt.Sprintf("i-%03d", at), loadreport.Observation{Report: loadreport.Report{Slots: 8, Pace: max(replica.slowed, 1)}, Seen: now})
		}
	}
}

func newUneven(seed uint64, telling bool, settings Settings) *replayed {
	r := newReplayed(seed, unevenReplicas, settings)
	for at, replica := range r.replicas {
		replica.pace = unevenSlow
		if at%4 == 0 {
			replica.pace = unevenFast
		}
	}
	f := &flickering{telling: telling, until: make([]time.Duration, unevenReplicas), told: make([]time.Duration, unevenReplicas)}
	for at := range f.until {
		f.until[at] = time.Duration(r.random.ExpFloat64() * float64(betweenSlow))
		r.replicas[at].slowed = 0
	}
	r.passing = f.pass
	return r
}

type unevenResult struct {
	mean, p99, worst   time.Duration
	steps, runs, moved int
	late               int
	busiest            float64 // busiest replica over the mean, in time that its events took
}

func playUneven(telling bool, settings Settings, seeds uint64) (result unevenResult) {
	var took []time.Duration
	for seed := range seeds {
		r := newUneven(seed, telling, settings)
		r.play(40 * time.Second)
		took = append(took, r.took...)
		result.moved += r.moved
		result.runs += r.started
		most, sum := 0.0, 0.0
		for _, replica := range r.replicas {
			most, sum = max(most, replica.busy), sum+replica.busy
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

// TestRunsStayAtReplicasThatAreSlowForMoments: where replicas tell what passes, few runs are moved, and steps are as well in time. The
// trainers' answers are due after 7.5 s.
func TestRunsStayAtReplicasThatAreSlowForMoments(t *testing.T) {
	const seeds = 2
	silent, told := playUneven(false, Settings{}, seeds), playUneven(true, Settings{}, seeds)
	t.Logf("silent: %+v", silent)
	t.Logf("told: %+v", told)
	if 5*told.moved > silent.moved || 20*told.moved > 2*told.runs {
		t.Errorf("%d runs of %d moved, and %d where nothing is told", told.moved, told.runs, silent.moved)
	}
	if told.late > 0 {
		t.Errorf("%d of %d steps are late", told.late, told.steps)
	}
}

// TestWorkIsSpreadByPace: no replica has much more work than the mean, in time that its events take.
func TestWorkIsSpreadByPace(t *testing.T) {
	const (
		seeds      = 2
		mostOfMean = 1.15
	)
	if told := playUneven(true, Settings{}, seeds); told.busiest > mostOfMean {
		t.Errorf("the busiest replica has %.3f times the mean work", told.busiest)
	}
}

// unevenPair are a replica that is twice as slow, slow, and one that is fast, both of which tell so, with answers whose lengths are known.
func unevenPair(t *testing.T, slots int) (s *Scheduler) {
	t.Helper()
	s = newScheduler(2, slots)
	knowPace(s, 10, 10*time.Millisecond)
	for instance, pause := range map[string]time.Duration{"r1": 10 * time.Millisecond, "r2": 20 * time.Millisecond} {
		at := s.replicas[instance]
		for event := range 100 {
			at.lastingPace.Add(time.Duration(event)*pause, pause.Seconds(), 1)
		}
	}
	for number := range 5 {
		tellPace(s, time.Duration(number)*second/5, 1, 2)
	}
	return s
}

// tellPace has r1 and r2 say their paces.
func tellPace(s *Scheduler, now time.Duration, paces ...float64) {
	for number, pace := range paces {
		s.Reported(fmt.Sprint("r", number+1), loadreport.Observation{Report: loadreport.Report{Slots: 8, Pace: pace}, Seen: now})
	}
}

// TestLongAnswersBeginAtFastReplicas, and short ones leave these to them.
func TestLongAnswersBeginAtFastReplicas(t *testing.T) {
	s := unevenPair(t, 8)
	open(s, Job{ID: "j", Deadline: 4 * second}, "a:300", "b:10", "c:280", "d:12")
	for _, start := range s.Starts(second) {
		want := "r2"
		if s.find(start.Key).Length > 100 {
			want = "r1"
		}
		if start.Instance != want {
			t.Errorf("%s of %d tokens begins at %s", start.Item, s.find(start.Key).Length, start.Instance)
		}
	}
}

// runAt begins the one item that waits, at a replica, and has it bring events.
func runAt(t *testing.T, s *Scheduler, instance string, events int, pause time.Duration) Key {
	t.Helper()
	starts := s.Starts(second)
	if len(starts) != 1 || starts[0].Instance != instance {
		t.Fatalf("%v begin, and not one at %s", starts, instance)
	}
	for event := range events {
		s.Progress(starts[0].Key, 1+event, second+time.Duration(event)*pause, 1)
	}
	return starts[0].Key
}

// TestOnlyLateRunsLeaveSlowReplicas: a run at a replica that is lastingly twice as slow stays while it will be in time.
func TestOnlyLateRunsLeaveSlowReplicas(t *testing.T) {
	for deadline, want := range map[time.Duration]int{60 * second: 0, 3 * second: 1} {
		s := unevenPair(t, 8)
		s.replicas["r1"].Slots = 0 // full
		open(s, Job{ID: "j", Deadline: deadline}, "a:300")
		key := runAt(t, s, "r2", 20, 20*time.Millisecond)
		s.replicas["r1"].Slots = 8
		moves := s.Slow(2 * second)
		if len(moves) != want {
			t.Errorf("due after %v: %v", deadline, moves)
			continue
		}
		if want > 0 && (moves[0].Key != key || moves[0].Saved < second || moves[0].Passing != 1 || moves[0].Left == 0) {
			t.Errorf("%+v", moves[0])
		}
	}
}

// TestPassingSlownessMovesNothing, whatever is late, and one that goes on does.
func TestPassingSlownessMovesNothing(t *testing.T) {
	s := unevenPair(t, 8)
	s.replicas["r2"].Slots = 0 // full
	open(s, Job{ID: "j", Deadline: 3 * second}, "a:300")
	key := runAt(t, s, "r1", 40, 10*time.Millisecond)
	s.replicas["r2"].Slots = 8
	now := second + 400*time.Millisecond
	for event := range 30 {
		now += 25 * time.Millisecond
		tellPace(s, now, 2.5, 2)
		s.Progress(key, 41+event, now, 1)
		if moves := s.Slow(now); len(moves) != 0 {
			t.Fatalf("%+v moved after %d slow events", moves, event+1)
		}
	}
	for event := range 80 {
		now += 60 * time.Millisecond
		tellPace(s, now, 6, 2)
		s.Progress(key, 71+event, now, 1)
	}
	if moves := s.Slow(now); len(moves) != 1 {
		t.Fatalf("%v moved from a replica that turned slow for good", moves)
	}
}

// TestANewLeaderMovesNothingBeforeItKnowsPaces, and uses all replicas.
func TestANewLeaderMovesNothingBeforeItKnowsPaces(t *testing.T) {
	s := newScheduler(2, 4)
	tellPace(s, second, 1, 2)
	open(s, Job{ID: "j", Deadline: 3 * second}, "a:300", "b:300", "c:10", "d:10")
	begun := map[string]int{}
	for _, start := range s.Starts(second) {
		begun[start.Instance]++
		for event := range 3 {
			s.Progress(start.Key, 1+event, second+time.Duration(event)*20*time.Millisecond, 1)
		}
	}
	if begun["r1"] != 2 || begun["r2"] != 2 {
		t.Errorf("begun %v", begun)
	}
	if moves := s.Slow(2 * second); len(moves) != 0 {
		t.Errorf("%v", moves)
	}
}

// TestReportsOfFormerStartsCountForNothing: each start of a replica is an instance of its own, and what the former one said, or says late,
// is not held against the next one.
func TestReportsOfFormerStartsCountForNothing(t *testing.T) {
	s := unevenPair(t, 8)
	for number := range 20 {
		tellPace(s, second+time.Duration(number)*200*time.Millisecond, 9, 2)
	}
	s.Replicas([]Replica{{Instance: "r1-again", Pool: "p", Slots: 8}, {Instance: "r2", Pool: "p", Slots: 8}})
	tellPace(s, 6*second, 9)
	if s.replicas["r1"] != nil {
		t.Fatal("the former start is held")
	}
	if again := s.replicas["r1-again"]; again.reportedPace.Pace().Passing != 0 || again.pace != 0 {
		t.Errorf("the next start is believed to have the pace %+v", again.reportedPace.Pace())
	}
}

func TestFleet(t *testing.T) {
	if got := newScheduler(2, 8).Fleet(); got != (Fleet{}) {
		t.Errorf("of nothing known %+v", got)
	}
	s := unevenPair(t, 8)
	s.replicas["r1"].Memory, s.replicas["r2"].Memory = 1000, 1000
	open(s, Job{ID: "j", Deadline: 9 * second}, "a:250")
	s.Starts(second)
	s.poolNamed("p").overrun = 1
	s.replicas["r2"].pace = 0.02
	s.replicas["r1"].pace = 0.01
	got := s.Fleet()
	if got.Fastest != 10*time.Millisecond || got.Slowest != 20*time.Millisecond || got.Memory != 0.25 || got.Rest <= 0 {
		t.Errorf("%+v", got)
	}
}

// TestMovedRunsGetTheRoomThatTheyWereMovedFor, and others don't; it is given back when the run ends otherwise.
func TestMovedRunsGetTheRoomThatTheyWereMovedFor(t *testing.T) {
	for ending, again := range map[Ending]bool{Moved: true, Completed: false} {
		s := unevenPair(t, 8)
		s.replicas["r1"].Slots = 0 // full
		open(s, Job{ID: "j", Deadline: 3 * second}, "a:300")
		key := runAt(t, s, "r2", 20, 20*time.Millisecond)
		s.replicas["r1"].Slots = 1
		if moves := s.Slow(2 * second); len(moves) != 1 {
			t.Fatalf("%v", moves)
		}
		open(s, Job{ID: "other", Deadline: 2 * second}, "b:400")
		for _, start := range s.Starts(2 * second) {
			if start.Instance == "r1" {
				t.Errorf("%s takes the room", start.Item)
			}
		}
		s.Ended(2*second, key, ending, 1)
		if starts := s.Starts(2 * second); again && (len(starts) != 1 || starts[0].Instance != "r1" || starts[0].Key != key) {
			t.Errorf("%v after the move", starts)
		}
		if got := s.replicas["r1"].reservedSlots; got != 0 {
			t.Errorf("%v: %d runs have room reserved", ending, got)
		}
	}
}

// TestRoomIsGivenBack when the replica that it was reserved at leaves, or the job ends.
func TestRoomIsGivenBack(t *testing.T) {
	s := unevenPair(t, 8)
	s.replicas["r1"].Slots = 0 // full
	open(s, Job{ID: "j", Deadline: 3 * second}, "a:300")
	key := runAt(t, s, "r2", 20, 20*time.Millisecond)
	fast := s.replicas["r1"]
	fast.Slots = 1
	if moves := s.Slow(2 * second); len(moves) != 1 || fast.reservedSlots != 1 || len(fast.items) != 1 {
		t.Fatalf("%v; %d runs have room reserved", moves, fast.reservedSlots)
	}
	s.End("j")
	if fast.reservedSlots != 0 || len(fast.items) != 0 {
		t.Errorf("%d runs have room reserved after their job has ended", fast.reservedSlots)
	}
	open(s, Job{ID: "k", Deadline: 3 * second}, "a:300")
	s.Ended(2*second, key, Moved, 1) // of a job that has ended
	fast.Slots = 0
	key = runAt(t, s, "r2", 20, 20*time.Millisecond)
	fast.Slots = 1
	if moves := s.Slow(3 * second); len(moves) != 1 {
		t.Fatalf("%v", moves)
	}
	s.Replicas(someReplicas(2, 8)[1:])
	s.Ended(3*second, key, Moved, 1)
	if starts := s.Starts(3 * second); len(starts) != 1 || starts[0].Instance != "r2" || fast.reservedSlots != 0 {
		t.Errorf("%v; %d runs have room reserved at a replica that has left", starts, fast.reservedSlots)
	}
}

// TestReplicasInTroubleAreTakenLast, also by items that would be in time there.
func TestReplicasInTroubleAreTakenLast(t *testing.T) {
	s := newScheduler(3, 8)
	knowPace(s, 10, 10*time.Millisecond)
	for number, pause := range []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 90 * time.Millisecond} {
		at := s.replicas[fmt.Sprint("r", number+1)]
		for event := range 20 {
			at.lastingPace.Add(time.Duration(event)*pause, pause.Seconds(), 1)
		}
	}
	tellPace(s, second, 1, 2, 9)
	open(s, Job{ID: "j", Deadline: time.Hour}, "a:1", "b:1", "c:1", "d:1")
	for _, start := range s.Starts(second) {
		if start.Instance == "r3" {
			t.Errorf("%s begins at a replica in trouble", start.Item)
		}
	}
}

// TestRunsDontMoveBySmallSteps: to the fastest replicas, or to one that is far faster.
func TestRunsDontMoveBySmallSteps(t *testing.T) {
	for here, want := range map[time.Duration]int{20 * time.Millisecond: 0, 45 * time.Millisecond: 1} {
		s := newScheduler(3, 1)
		knowPace(s, 10, 10*time.Millisecond)
		for number, pause := range []time.Duration{here, 15 * time.Millisecond, 10 * time.Millisecond} {
			at := s.replicas[fmt.Sprint("r", number+1)]
			for event := range 20 {
				at.lastingPace.Add(time.Duration(event)*pause, pause.Seconds(), 1)
			}
		}
		tellPace(s, second, 1, 1, 1)
		s.replicas["r2"].Slots, s.replicas["r3"].Slots = 0, 0 // full
		open(s, Job{ID: "j", Deadline: 3 * second}, "a:300")
		runAt(t, s, "r1", 20, here)
		s.replicas["r2"].Slots = 1
		if moves := s.Slow(2 * second); len(moves) != want {
			t.Errorf("from %v to 15 ms where the fastest takes 10: %v", here, moves)
		}
	}
}

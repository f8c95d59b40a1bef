package schedule

import (
	"slices"
	"testing"
	"time"
)

// movedAt are the items whose runs are to be moved.
func movedAt(s *Scheduler, now time.Duration) []Key {
	var keys []Key
	for _, move := range s.Slow(now) {
		keys = append(keys, move.Key)
	}
	return keys
}

func TestRunsAtSlowReplicasAreMoved(t *testing.T) {
	s := newScheduler(2, 2)
	open(s, Job{ID: "j"}, "a:1", "b:1")
	at := map[string]Key{}
	for _, start := range s.Starts(0) {
		at[start.Instance] = start.Key
	}
	for number := range 20 {
		s.Progress(at["r1"], 1+number, time.Duration(number)*10*time.Millisecond, 1)
		s.Progress(at["r2"], 1+number, time.Duration(number)*50*time.Millisecond, 1)
	}
	if moved := movedAt(s, DefaultMovePause-1); len(moved) != 0 {
		t.Fatalf("%v", moved)
	}
	moved := s.Slow(second)
	if len(moved) != 1 || moved[0] != (Move{Key: at["r2"], Pace: 50 * time.Millisecond, Fastest: 10 * time.Millisecond}) {
		t.Fatalf("%v", moved)
	}
	if moved := movedAt(s, second); len(moved) != 0 {
		t.Fatalf("moved twice: %v", moved)
	}
	s.Ended(second, at["r2"], Moved, 1)
	if again := s.Starts(second); len(again) != 1 || again[0].Instance != "r1" {
		t.Fatalf("%v", again)
	}
}

// TestUnevenEventsMoveNothing: neither a pause of a replica that goes on as before, nor events that arrive late and then together.
func TestUnevenEventsMoveNothing(t *testing.T) {
	const usual = 10 * time.Millisecond
	for name, at := range map[string]func(event int) time.Duration{
		"a pause": func(event int) time.Duration {
			if event >= 30 {
				return time.Duration(event)*usual + 30*usual
			}
			return time.Duration(event) * usual
		},
		"five together": func(event int) time.Duration {
			if event < 30 {
				return time.Duration(event) * usual
			}
			return time.Duration(event/5*5)*usual + 4*usual + time.Duration(event%5)*usual/100
		},
	} {
		s := newScheduler(2, 2)
		open(s, Job{ID: "j"}, "a:1", "b:1")
		starts := s.Starts(0)
		for event := range 80 {
			for _, start := range starts {
				when := time.Duration(event) * usual
				if start.Instance == "r2" {
					when = at(event)
				}
				s.Progress(start.Key, 1+event, when, 1)
			}
			settled := name != "a pause" || event < 30 || event >= 38 // the pause is over for some events
			if !settled {
				continue
			}
			if moved := movedAt(s, time.Hour); len(moved) != 0 {
				t.Fatalf("%s: moved after %d events", name, event+1)
			}
		}
	}
}

// TestAFewEventsAreNoPace: a replica whose first events come together is not the fastest one.
func TestAFewEventsAreNoPace(t *testing.T) {
	s := newScheduler(2, 2)
	open(s, Job{ID: "j"}, "a:1", "b:1")
	for _, start := range s.Starts(0) {
		for event := range 5 {
			pause := 10 * time.Millisecond
			if start.Instance == "r2" {
				pause = time.Millisecond
			}
			s.Progress(start.Key, 1+event, time.Duration(event)*pause, 1)
		}
	}
	if moved := movedAt(s, time.Hour); len(moved) != 0 {
		t.Fatalf("%v moved", moved)
	}
}

// TestReplicasThatTurnSlowAreLeftSoon: within four events that take three times as long.
func TestReplicasThatTurnSlowAreLeftSoon(t *testing.T) {
	const usual = 10 * time.Millisecond
	s := newScheduler(2, 2)
	open(s, Job{ID: "j"}, "a:1", "b:1")
	starts := s.Starts(0)
	for event := range 34 {
		for _, start := range starts {
			when := time.Duration(event) * usual
			if start.Instance == "r2" {
				when += time.Duration(max(event-29, 0)) * 2 * usual
			}
			s.Progress(start.Key, 1+event, when, 1)
		}
	}
	if moved := movedAt(s, time.Hour); len(moved) != 1 {
		t.Fatalf("%v moved", moved)
	}
}

// TestLongAnswersLeaveReplicasThatAreAThirdSlower: a step ends with its longest answers, and these gain most.
func TestLongAnswersLeaveReplicasThatAreAThirdSlower(t *testing.T) {
	for slow, want := range map[time.Duration]int{12 * time.Millisecond: 0, 13 * time.Millisecond: 1} {
		s := newScheduler(2, 2)
		open(s, Job{ID: "j"}, "a:1", "b:1")
		for _, start := range s.Starts(0) {
			pause := 10 * time.Millisecond
			if start.Instance == "r2" {
				pause = slow
			}
			for number := range 60 {
				s.Progress(start.Key, 1+number, time.Duration(number)*pause, 1)
			}
		}
		if moved := movedAt(s, second); len(moved) != want {
			t.Errorf("at %s an event %v moved", slow, moved)
		}
	}
}

// TestTheLatestRunsAreMovedFirst where there is not room for all.
func TestTheLatestRunsAreMovedFirst(t *testing.T) {
	s := newScheduler(2, 4)
	knowPace(s, 10, 10*time.Millisecond)
	open(s, Job{ID: "a", Deadline: 9 * second}, "a:60", "b:60")
	open(s, Job{ID: "b", Deadline: 9 * second}, "c:400", "d:400")
	open(s, Job{ID: "c", Deadline: 4 * second}, "e:200", "f:200")
	var slow []Key
	for _, start := range s.Starts(second) {
		pause := 10 * time.Millisecond
		if start.Instance == "r2" {
			pause = 100 * time.Millisecond
			slow = append(slow, start.Key)
		}
		for event := range 10 {
			s.Progress(start.Key, 1+event, second+time.Duration(event)*pause, 1)
		}
	}
	s.replicas["r1"].Slots = s.replicas["r1"].running
	for _, want := range []string{"b", "c", "a"} { // 9 s less 39 s, 4 s less 19 s, 9 s less 5 s
		s.replicas["r1"].Slots++
		moved := movedAt(s, 2*second)
		if len(slow) != 3 || len(moved) != 1 || moved[0].Job != want {
			t.Fatalf("of %v is moved %v, not that of %s", slow, moved, want)
		}
		s.Ended(2*second, moved[0], Moved, 1)
		s.Terminate(moved[0])
		s.replicas["r1"].Slots--
	}
}

// TestRunsThatAreNearlyOverAreNotMoved: of two runs at a slow replica the one goes on elsewhere that gains by it.
func TestRunsThatAreNearlyOverAreNotMoved(t *testing.T) {
	s := newScheduler(2, 2)
	knowPace(s, 10, 50*time.Millisecond)
	open(s, Job{ID: "j"}, "a:40", "b:12", "c:11")
	var slow []Key
	for _, start := range s.Starts(second) {
		pause := 50 * time.Millisecond
		if start.Instance == "r2" {
			pause, slow = 100*time.Millisecond, append(slow, start.Key)
		}
		for event := range 10 {
			s.Progress(start.Key, 1+event, second+time.Duration(event)*pause, 1)
		}
	}
	s.replicas["r1"].Slots = 10
	moved := movedAt(s, 3*second)
	for _, key := range slow {
		long := s.find(key).Length == 40
		if slices.Contains(moved, key) != long {
			t.Errorf("of %d tokens 10 are there, moved %v", s.find(key).Length, !long)
		}
	}
}

// TestLongRunsLeaveReplicasThatLeave: a run that is expected to outlast its leaving replica goes on elsewhere at once, one that
// is over soon ends there, and nothing is moved to where no room is.
func TestLongRunsLeaveReplicasThatLeave(t *testing.T) {
	s := newScheduler(2, 4)
	knowPace(s, 10, 100*time.Millisecond)
	open(s, Job{ID: "j"}, "a:60", "b:60", "c:12", "d:9", "e:60")
	at := map[string][]string{}
	for _, start := range s.Starts(second) {
		at[start.Instance] = append(at[start.Instance], start.Item)
		for event := range 10 {
			s.Progress(start.Key, 1+event, second+time.Duration(event)*100*time.Millisecond, 1)
		}
	}
	if moved := movedAt(s, 2*second); len(moved) != 0 {
		t.Fatalf("%v moved without a cause", moved)
	}
	staying := someReplicas(2, 4)[1:]
	staying[0].Slots = len(at["r2"]) + 1 // room for one
	s.Replicas(staying)
	s.replicas["r2"].pace *= 2
	if moved := movedAt(s, 2*second); len(moved) != 0 {
		t.Fatalf("%v moved to a replica that is slower by half", moved)
	}
	s.replicas["r2"].pace /= 2
	moved := movedAt(s, 2*second)
	if len(moved) != 1 || !slices.Contains(at["r1"], moved[0].Item) || s.find(moved[0]).Length != 60 {
		t.Fatalf("%v moved; %v run at the replica that leaves", moved, at["r1"])
	}
	staying[0].Slots = 10
	s.Replicas(staying)
	for _, key := range movedAt(s, 2*second) {
		if s.find(key).Length != 60 {
			t.Errorf("%s moved, of which little is left", key.Item)
		}
	}
}

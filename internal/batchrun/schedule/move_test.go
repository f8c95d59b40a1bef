package schedule

import (
	"slices"
	"testing"
	"time"
)

// movedKeys returns the items whose runs are to move.
func movedKeys(s *Scheduler, now time.Duration) []Key {
	var keys []Key
	for _, move := range s.PlanMoves(now) {
		keys = append(keys, move.Key)
	}
	return keys
}

func TestRunsAtSlowReplicasAreMoved(t *testing.T) {
	s := newScheduler(2, 2)
	open(s, Job{ID: "j"}, "a:1", "b:1")
	runs := map[string]Key{}
	for _, start := range s.Starts(0) {
		runs[start.Instance] = start.Key
	}
	for number := range 20 {
		s.Progress(runs["r1"], 1+number, time.Duration(number)*10*time.Millisecond, 1)
		s.Progress(runs["r2"], 1+number, time.Duration(number)*50*time.Millisecond, 1)
	}
	if moved := movedKeys(s, DefaultMovePause-1); len(moved) != 0 {
		t.Fatalf("%v moved before MovePause", moved)
	}
	moved := s.PlanMoves(second)
	if len(moved) != 1 || moved[0] != (Move{Key: runs["r2"], Pace: 50 * time.Millisecond, Fastest: 10 * time.Millisecond}) {
		t.Fatalf("moved %v, want the run on r2", moved)
	}
	if moved := movedKeys(s, second); len(moved) != 0 {
		t.Fatalf("moved twice: %v", moved)
	}
	s.Ended(second, runs["r2"], Moved, 1)
	if again := s.Starts(second); len(again) != 1 || again[0].Instance != "r1" {
		t.Fatalf("started %v, want one run on r1", again)
	}
}

// TestIrregularEventsCauseNoMoves: runs stay on a replica that pauses once and then continues at its usual pace, and on
// one whose events arrive late and together.
func TestIrregularEventsCauseNoMoves(t *testing.T) {
	const usual = 10 * time.Millisecond
	for name, eventTime := range map[string]func(event int) time.Duration{
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
					when = eventTime(event)
				}
				s.Progress(start.Key, 1+event, when, 1)
			}
			settled := name != "a pause" || event < 30 || event >= 38 // skips the events right after the pause
			if !settled {
				continue
			}
			if moved := movedKeys(s, time.Hour); len(moved) != 0 {
				t.Fatalf("%s: moved after %d events", name, event+1)
			}
		}
	}
}

// TestFewEventsYieldNoPace: a replica whose first events arrive together does not count as the fastest one.
func TestFewEventsYieldNoPace(t *testing.T) {
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
	if moved := movedKeys(s, time.Hour); len(moved) != 0 {
		t.Fatalf("%v moved, want none", moved)
	}
}

// TestRunsLeaveSlowingReplicaSoon: a run moves within four events that take three times as long as usual.
func TestRunsLeaveSlowingReplicaSoon(t *testing.T) {
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
	if moved := movedKeys(s, time.Hour); len(moved) != 1 {
		t.Fatalf("%v moved, want one run", moved)
	}
}

// TestLongAnswersMoveAboveMoveRatio: a long run moves off a replica that is 1.3 times slower, but not off one that is
// 1.2 times slower. A step ends with its longest answers, and these gain most from a move.
func TestLongAnswersMoveAboveMoveRatio(t *testing.T) {
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
		if moved := movedKeys(s, second); len(moved) != want {
			t.Errorf("at %s per event the runs %v moved, want a move at 13 ms only", slow, moved)
		}
	}
}

// TestRunsWithLeastSlackMoveFirst: if there is not enough capacity for all runs, the run with the least slack moves
// first.
func TestRunsWithLeastSlackMoveFirst(t *testing.T) {
	s := newScheduler(2, 4)
	learnPace(s, 10, 10*time.Millisecond)
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
		moved := movedKeys(s, 2*second)
		if len(slow) != 3 || len(moved) != 1 || moved[0].Job != want {
			t.Fatalf("of the slow runs %v, %v moved, want that of job %s", slow, moved, want)
		}
		s.Ended(2*second, moved[0], Moved, 1)
		s.Terminate(moved[0])
		s.replicas["r1"].Slots--
	}
}

// TestNearlyFinishedRunsAreNotMoved: of the runs on a slow replica only the one moves that gains enough time.
func TestNearlyFinishedRunsAreNotMoved(t *testing.T) {
	s := newScheduler(2, 2)
	learnPace(s, 10, 50*time.Millisecond)
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
	moved := movedKeys(s, 3*second)
	for _, key := range slow {
		long := s.find(key).Length == 40
		if slices.Contains(moved, key) != long {
			t.Errorf("run with 10 of %d tokens: moved %v, want the opposite", s.find(key).Length, !long)
		}
	}
}

// TestLongRunsMoveOffLeavingReplicas: a run that is expected to outlast its leaving replica moves at once, and one that
// ends soon stays. No run moves to a replica that is too slow or has no free slot.
func TestLongRunsMoveOffLeavingReplicas(t *testing.T) {
	s := newScheduler(2, 4)
	learnPace(s, 10, 100*time.Millisecond)
	open(s, Job{ID: "j"}, "a:60", "b:60", "c:12", "d:9", "e:60")
	items := map[string][]string{}
	for _, start := range s.Starts(second) {
		items[start.Instance] = append(items[start.Instance], start.Item)
		for event := range 10 {
			s.Progress(start.Key, 1+event, second+time.Duration(event)*100*time.Millisecond, 1)
		}
	}
	if moved := movedKeys(s, 2*second); len(moved) != 0 {
		t.Fatalf("%v moved without a reason", moved)
	}
	staying := someReplicas(2, 4)[1:]
	staying[0].Slots = len(items["r2"]) + 1 // one free slot
	s.Replicas(staying)
	s.replicas["r2"].pace *= 2
	if moved := movedKeys(s, 2*second); len(moved) != 0 {
		t.Fatalf("%v moved to a replica that is twice as slow", moved)
	}
	s.replicas["r2"].pace /= 2
	moved := movedKeys(s, 2*second)
	if len(moved) != 1 || !slices.Contains(items["r1"], moved[0].Item) || s.find(moved[0]).Length != 60 {
		t.Fatalf("%v moved, want one long run; on the leaving replica run %v", moved, items["r1"])
	}
	staying[0].Slots = 10
	s.Replicas(staying)
	for _, key := range movedKeys(s, 2*second) {
		if s.find(key).Length != 60 {
			t.Errorf("%s moved although it is nearly finished", key.Item)
		}
	}
}

package schedule

import (
	"testing"
	"time"
)

// TestIdleWaitsNameTheirReason checks that each way in which an item is passed over is told apart from the others.
func TestIdleWaitsNameTheirReason(t *testing.T) {
	key := Key{"j", "i0"}
	reject := func(s *Scheduler, ending Ending) {
		for _, start := range s.Starts(0) {
			s.Ended(0, start.Key, ending, 0)
		}
	}
	for _, test := range []struct {
		name   string
		play   func(s *Scheduler)
		reason WaitReason
		check  func(w Wait) bool
	}{
		{"suspected", func(s *Scheduler) { s.Hold(key, 10*second, HeldSuspect) }, WaitSuspect, func(w Wait) bool { return w.HeldFor == 7*second }},
		{"former run", func(s *Scheduler) { s.Hold(key, 10*second, HeldFormerRun) }, WaitFormerRun, func(w Wait) bool { return w.Replicas == 2 }},
		{"no route", func(s *Scheduler) { s.Route(key, nil) }, WaitRoute, func(w Wait) bool { return w.Replicas == 0 }},
		{"paused", func(s *Scheduler) {
			for range 12 {
				reject(s, Unreachable)
			}
			for _, replica := range s.replicas {
				replica.pausedUntil = 5 * second
			}
		}, WaitReplicas, func(w Wait) bool { return w.Paused == 2 }},
		{"old weights", func(s *Scheduler) {
			s.find(key).job.MinVersion = 2
			for _, replica := range s.replicas {
				s.SetServedVersion(replica.Instance, "", 1, false, 2*second)
			}
		}, WaitReplicas, func(w Wait) bool { return w.OldWeights == 2 }},
		{"its turn", func(*Scheduler) {}, WaitOrder, func(w Wait) bool { return w.Slots == 8 && w.Running == 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newScheduler(2, 4)
			open(s, Job{ID: "j"}, "a:10")
			test.play(s)
			waits := s.IdleWaits(3*second, 2*second, 3)
			if len(waits) != 1 || waits[0].Key != key || waits[0].Reason != test.reason || waits[0].Duration != 3*second || !test.check(waits[0]) {
				t.Errorf("got %+v, want one wait of 3s with reason %s", waits, test.reason)
			}
		})
	}
}

// TestIdleWaitsCountFromTheLastReplica checks that a rejection does not count as a run, that a run does, and that waits
// beside busy replicas are left out.
func TestIdleWaitsCountFromTheLastReplica(t *testing.T) {
	s := newScheduler(1, 4)
	open(s, Job{ID: "j", OpenedAt: second}, "a:10")
	key := s.Starts(second)[0].Key
	s.Ended(2*second, key, Full, 0)
	if waits := s.IdleWaits(4*second, 2*second, 3); len(waits) != 1 || waits[0].Duration != 3*second {
		t.Errorf("after a rejection: got %+v, want a wait since the job was opened", waits)
	}
	s.Starts(5 * second)
	s.Progress(key, 1, 6*second, 0)
	s.Ended(6*second, key, Lost, 0)
	if waits := s.IdleWaits(7*second, 2*second, 3); len(waits) != 0 {
		t.Errorf("after a run: got %+v, want none", waits)
	}
	open(s, Job{ID: "k"}, "a:10", "b:10")
	s.Hold(key, time.Minute, HeldSuspect)
	if started := len(s.Starts(8 * second)); started != 2 {
		t.Fatalf("%d runs started, want 2", started)
	}
	if waits := s.IdleWaits(20*second, 2*second, 3); len(waits) != 0 {
		t.Errorf("beside replicas that are half full: got %+v, want none", waits)
	}
	s.Route(key, []Share{{Pool: "empty", Weight: 1}})
	if waits := s.IdleWaits(20*second, 2*second, 3); len(waits) != 0 {
		t.Errorf("in a pool without replicas: got %+v, want none", waits)
	}
}

package listing

import (
	"math/rand/v2"
	"testing"
	"time"
)

const second = time.Second

func TestResultsAreListedTogether(t *testing.T) {
	pace := New(second, 0, 10*second, map[string]int{"a": 2, "b": 1, "c": 1}, 1, 3)
	for _, step := range []struct {
		at    time.Duration
		group string
		want  bool
	}{
		{second / 2, "a", false}, // one alone
		{second, "", true},       // after the interval
		{3 * second / 2, "c", false},
		{2 * second, "", true},
		{9 * second / 4, "a", true}, // the third whole group: a, c and one before
		{19 * second / 8, "b", true},
	} {
		if step.group != "" {
			pace.Finished(step.group)
		}
		if got := pace.Release(step.at); got != step.want {
			t.Errorf("at %v: %v", step.at, got)
		}
	}
}

func TestNothingIsHeldBackOnceTheJobIsDue(t *testing.T) {
	pace := New(second, 0, second/2, map[string]int{"a": 2}, 0, 0)
	pace.Finished("a")
	if pace.Release(second/2 - 1) {
		t.Error("listed before")
	}
	if !pace.Release(second/2) || !pace.Release(second/2+1) {
		t.Error("held back when it is due")
	}
}

// reader reads as the owners of jobs do: a read every pause, held open until something is new or hold is over; it ends its job
// with the turn after the read that showed the wanted results.
const (
	readPause = second / 2
	readHold  = second
	step      = time.Millisecond
)

// played is how long after its last result a job is ended by its reader, where results of a step of 100 items come at drawn
// times and are listed after interval.
func played(random *rand.Rand, interval time.Duration) time.Duration {
	const items = 100
	results := make([]time.Duration, items)
	last := time.Duration(0)
	span := 5*second + time.Duration(random.Int64N(int64(2*second)))
	for i := range results {
		results[i] = time.Duration(random.Int64N(int64(span)))
		last = max(last, results[i])
	}
	open := map[string]int{"all": items}
	pace := New(interval, 0, 8*second, open, 0, 0)
	waiting, listed, seen := 0, 0, 0
	begun := -time.Duration(random.Int64N(int64(readPause)))
	reading := true
	for now := time.Duration(0); ; now += step {
		for i, at := range results {
			if at >= 0 && at <= now {
				results[i] = -1
				waiting++
				pace.Finished("all")
			}
		}
		if waiting > 0 && pace.Release(now) {
			listed, waiting = listed+waiting, 0
		}
		if reading && (listed > seen || now >= begun+readHold) {
			seen, reading = listed, false
		}
		if !reading && now >= begun+readPause {
			if seen == items {
				return now - last
			}
			begun, reading = now, true
		}
	}
}

// TestReadersEndTheirStepsSooner replays 400 steps of a hundred results each for a reader that pauses half a second: it ends them
// 0.7 s after their last result where each is listed at once, and within 0.3 s with the interval.
func TestReadersEndTheirStepsSooner(t *testing.T) {
	mean := func(interval time.Duration) (total time.Duration) {
		random := rand.New(rand.NewPCG(1, 2))
		for range 400 {
			total += played(random, interval)
		}
		return total / 400
	}
	atOnce, together := mean(0), mean(DefaultInterval)
	if atOnce < 600*time.Millisecond || together > 300*time.Millisecond {
		t.Errorf("steps end %v after their last result where it is listed at once, %v with the interval", atOnce, together)
	}
	for _, other := range []time.Duration{second / 4, second / 2, second, 3 * second / 2} {
		t.Logf("interval %v: %v", other, mean(other))
	}
	t.Logf("at once %v, %v: %v", atOnce, DefaultInterval, together)
}

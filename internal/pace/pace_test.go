package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPassingSlowdownDecaysWithAge guards against an old report of a slowdown that counts as much as a fresh one.
func TestPassingSlowdownDecaysWithAge(t *testing.T) {
	reported := Pace{Lasting: 2, Passing: 3, ReportedAt: time.Second}
	for age, want := range map[time.Duration]float64{0: 6, -time.Second: 6, time.Second: 2 * (1 + 2/math.E), time.Minute: 2} {
		if got := reported.Expected(time.Second+age, time.Second); math.Abs(got-want) > 1e-6 {
			t.Errorf("expected factor after %v: got %v, want %v", age, got, want)
		}
	}
	if got := (Pace{}).Expected(0, time.Second); got != 1 {
		t.Errorf("expected factor %v without any report, want 1", got)
	}
	if !reported.Slowed(time.Second, time.Second) || reported.Slowed(time.Minute, time.Second) {
		t.Error("Slowed must be true right after the report of a slowdown and false a minute later")
	}
}

// TestImplausiblePassingPaceIsBounded guards against a report that makes a replica look idle or dead.
func TestImplausiblePassingPaceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reported := Pace{Passing: rapid.Float64Range(0, 1e12).Draw(t, "passing"), ReportedAt: time.Second}
		if got := reported.Expected(time.Second, time.Second); got < minPassing || got > maxPassing {
			t.Fatalf("expected factor %v, want a value within the bounds of the passing part", got)
		}
	})
}

// addFlickering adds the events of a replica that is 2.5 times slower for 0.6 s in each 3.6 s. usual is its time per
// event otherwise.
func addFlickering(l *LastingEstimator, usual, from, to time.Duration) {
	for now := from; now < to; {
		pause := usual
		if now%(3600*time.Millisecond) < 600*time.Millisecond {
			pause = usual * 5 / 2
		}
		now += pause
		l.Add(now, pause.Seconds(), 1)
	}
}

// TestLastingPaceFollowsPermanentSlowdownOnly guards against a lasting pace that changes with short slowdowns, or
// that takes more than two seconds to follow a permanent one.
func TestLastingPaceFollowsPermanentSlowdownOnly(t *testing.T) {
	const usual = 50 * time.Millisecond
	var flickering, turningSlow LastingEstimator
	addFlickering(&turningSlow, usual, 0, 10*time.Second)
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		addFlickering(&flickering, usual, now, now+100*time.Millisecond)
		if got := flickering.SecondsPerEvent(5); got != 0 && math.Abs(got-usual.Seconds()) > 0.01 && now > 2*time.Second {
			t.Fatalf("lasting time per event %v s after %v of short slowdowns, want 0.05", got, now)
		}
	}
	addFlickering(&turningSlow, 2*usual, 10*time.Second, 12*time.Second)
	if got := turningSlow.SecondsPerEvent(5); math.Abs(got-2*usual.Seconds()) > 0.01 {
		t.Errorf("lasting time per event %v s, two seconds after a permanent slowdown, want 0.1", got)
	}
}

// TestLastingPaceSurvivesIdleTime checks that the estimate is kept without new events, and that it is unknown with
// too few.
func TestLastingPaceSurvivesIdleTime(t *testing.T) {
	var l LastingEstimator
	if l.SecondsPerEvent(0) != 0 {
		t.Error("a value is known without events, want 0")
	}
	for event := range 8 {
		l.Add(time.Duration(event)*50*time.Millisecond, 0.05, 1)
	}
	l.Add(time.Hour, 0.05, 1)
	l.Add(time.Minute, 9, 1) // arrives late: it is counted but does not become the median
	if got := l.SecondsPerEvent(5); math.Abs(got-0.05) > 1e-9 {
		t.Errorf("lasting time per event %v s, want 0.05", got)
	}
	if l.SecondsPerEvent(100) != 0 {
		t.Error("a value is known from fewer events than the least number, want 0")
	}
}

// TestSlowdownDurationIsLearned checks the estimate against slowdowns of random lengths at ten replicas that report
// every 100 ms.
func TestSlowdownDurationIsLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, want := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
		var r SlowdownEstimator
		var states [10]slowdownState
		var until [10]time.Duration
		var isSlow [10]bool
		for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
			for i := range states {
				if now >= until[i] {
					isSlow[i] = !isSlow[i]
					until[i] = now + time.Duration(random.ExpFloat64()*float64(want))
				}
				passing := 1.0
				if isSlow[i] {
					passing = 2.5
				}
				r.observe(&states[i], passing, now)
			}
		}
		if got := r.Expected(); got < want*2/3 || got > want*3/2 {
			t.Errorf("expected duration %v, want about %v", got, want)
		}
	}
}

// TestRepeatedAndLateReportsAreBounded guards against a replica that repeats one report forever, and against reports
// that arrive again or late: the first must not raise the estimate beyond its bound, the others must not change it.
func TestRepeatedAndLateReportsAreBounded(t *testing.T) {
	var r SlowdownEstimator
	var one slowdownState
	for now := time.Duration(0); now < time.Hour; now += 100 * time.Millisecond {
		r.observe(&one, 2.5, now)
	}
	if got := r.Expected(); got > maxSlowdownDuration {
		t.Errorf("expected duration %v after repeated reports, want at most the upper bound", got)
	}
	known, before := one, r
	r.observe(&one, 1, time.Minute)
	if one != known || r != before {
		t.Error("a late report changes the state or the estimate")
	}
}

// TestReportedPaceIsSplitIntoLastingAndPassing covers a replica of about half the usual pace with short slowdowns,
// whose lasting part must not change, and one that becomes slow permanently, whose lasting part must follow within
// two seconds.
func TestReportedPaceIsSplitIntoLastingAndPassing(t *testing.T) {
	var slowdowns SlowdownEstimator
	var flickering, turningSlow ReportEstimator
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		figure := 0.55
		if now%(3600*time.Millisecond) >= 3*time.Second {
			figure *= 2.5
		}
		flickering.Note(figure, now, &slowdowns)
		turningSlow.Note(1.2, now, &slowdowns)
		if got := flickering.Pace(); got.Lasting != 0 && math.Abs(got.Lasting-0.55) > 1e-9 {
			t.Fatalf("pace %+v after %v, want a lasting part of 0.55", got, now)
		}
	}
	for now := 10 * time.Second; now < 12*time.Second; now += 50 * time.Millisecond {
		turningSlow.Note(3, now, &slowdowns)
		if now == 10*time.Second && !turningSlow.Pace().Slowed(now, slowdowns.Expected()) {
			t.Error("Slowed is false at the begin of a slowdown, want true")
		}
	}
	if got := turningSlow.Pace(); got.Lasting != 3 || got.Passing != 1 {
		t.Errorf("pace %+v two seconds after a permanent slowdown, want a lasting part of 3 and a passing part of 1", got)
	}
}

// TestImplausibleReportsAreBounded guards against reports that make a replica look idle or dead, with random values
// in random order.
func TestImplausibleReportsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var slowdowns SlowdownEstimator
		var estimator ReportEstimator
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			seen := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "seen"))
			estimator.Note(rapid.Float64Range(-1, 1e12).Draw(t, "figure"), seen, &slowdowns)
		}
		least, most := minReported*minPassing, float64(maxReported*maxPassing)
		if got := estimator.Pace().Expected(5*time.Second, slowdowns.Expected()); got < least || got > most {
			t.Fatalf("expected factor %v, want a value within the bounds of both parts", got)
		}
	})
}

// TestOutdatedReportsAreDropped checks that a report that arrived before the latest one is ignored.
func TestOutdatedReportsAreDropped(t *testing.T) {
	var slowdowns SlowdownEstimator
	var estimator ReportEstimator
	estimator.Note(1, 2*time.Second, &slowdowns)
	estimator.Note(2.5, time.Second, &slowdowns)
	if got := estimator.Pace(); got.Passing != 1 || got.ReportedAt != 2*time.Second {
		t.Errorf("pace %+v after an outdated report, want a passing part of 1 seen at 2 s", got)
	}
}

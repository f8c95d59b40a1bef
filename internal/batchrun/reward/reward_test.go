package reward

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestCallIsGivenUpAtMaximumFailures(t *testing.T) {
	var call Call
	settings := Settings{}.WithDefaults()
	for failures := 1; failures < 4; failures++ {
		if call.Ended(settings, 1, 4, 0, 0.5).GiveUp {
			t.Fatalf("given up after %d failures, want after 4", failures)
		}
	}
	if !call.Ended(settings, 1, 4, 0, 0.5).GiveUp {
		t.Fatal("not given up after 4 failures, which is the maximum")
	}
}

func TestCallWithoutFailuresIsNotGivenUp(t *testing.T) {
	var call Call
	settings := Settings{}.WithDefaults()
	for range 1000 {
		if call.Ended(settings, 0, 1, 0, 1).GiveUp {
			t.Fatal("a call that never failed was given up, want retries without end")
		}
	}
	if call.Tries() != 1000 || call.Failures() != 0 {
		t.Fatalf("%d tries and %d failures, want 1000 and 0", call.Tries(), call.Failures())
	}
}

func TestPausesGrowAndStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Pause: time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "pause")),
			MaximumPause: time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "maximum"))}.WithDefaults()
		var call Call
		before := time.Duration(0)
		for range 70 {
			after := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "after"))
			middle := call
			usual := middle.Ended(settings, 0, 1, 0, 0.5).Pause
			pause := call.Ended(settings, 0, 1, after, rapid.Float64Range(0, 1).Draw(t, "jitter")).Pause
			if pause <= 0 && settings.Pause > 1 && settings.MaximumPause > 1 || pause > settings.MaximumPause*3/2 {
				t.Fatalf("pause %s, want above 0 and at most 1.5 times %s", pause, settings.MaximumPause)
			}
			if usual < before {
				t.Fatalf("the pause without jitter fell from %s to %s", before, usual)
			}
			before = usual
		}
	})
}

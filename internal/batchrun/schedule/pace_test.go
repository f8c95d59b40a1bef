package schedule

import "testing"

// TestRunsAreSlowOnceTheyAreForAWhile: neither two late events make a run slow, nor an average that two usual ones follow.
func TestRunsAreSlowOnceTheyAreForAWhile(t *testing.T) {
	const usual, ratio = 0.010, 1.25
	for name, test := range map[string]struct {
		pauses []float64 // in usual ones, after twenty usual ones
		want   bool
	}{
		"usual":                   {nil, false},
		"two late events":         {[]float64{1.4, 1.4}, false},
		"eight late events":       {[]float64{1.4, 1.4, 1.4, 1.4, 1.4, 1.4, 1.4, 1.4}, true},
		"a pause":                 {[]float64{30}, false},
		"a pause, one more event": {[]float64{30, 1}, false},
		"two pauses":              {[]float64{30, 30}, true},
	} {
		var run runPace
		for range 20 {
			run.add(usual, 1)
		}
		for _, pause := range test.pauses {
			run.add(pause*usual, 1)
		}
		if got := run.isSlow(usual, ratio); got != test.want {
			t.Errorf("%s: slow %v", name, got)
		}
	}
}

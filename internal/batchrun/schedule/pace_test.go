package schedule

import "testing"

// TestRunIsSlowOnlyIfSustained: a run is not slow after two late events, nor if its average is slow but its last events
// are not.
func TestRunIsSlowOnlyIfSustained(t *testing.T) {
	const usual, ratio = 0.010, 1.25
	for name, test := range map[string]struct {
		pauses []float64 // as multiples of the usual time, after twenty usual ones
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
			t.Errorf("%s: slow is %v, want the opposite", name, got)
		}
	}
}

package member

import (
	"testing"
	"time"
)

// TestSilenceTracker guards the silence count of node 2 against late observations, pauses and changes of the
// leadership. Each look observes the node once; after is the time since the observation before.
func TestSilenceTracker(t *testing.T) {
	type observation struct {
		after                 time.Duration
		active, heard, absent bool
	}
	const gap = time.Second
	answers := observation{after: 200 * time.Millisecond, active: true, heard: true}
	unanswered := func(after time.Duration) observation { return observation{after: after, heard: true} }
	for name, test := range map[string]struct {
		observations []observation
		silence      time.Duration
		answers      bool
	}{
		"it answers":                        {[]observation{answers, answers}, 0, true},
		"not heard by a new leader":         {[]observation{{after: 100 * time.Millisecond, active: true}, {after: 200 * time.Millisecond, active: true}}, 200 * time.Millisecond, false},
		"silent from the first observation": {[]observation{unanswered(200 * time.Millisecond), unanswered(300 * time.Millisecond)}, 300 * time.Millisecond, false},
		"silent":                            {[]observation{answers, unanswered(200 * time.Millisecond), unanswered(200 * time.Millisecond)}, 400 * time.Millisecond, false},
		"late observations reset nothing":   {[]observation{answers, unanswered(900 * time.Millisecond), unanswered(900 * time.Millisecond)}, 1800 * time.Millisecond, false},
		"a pause counts as one gap at most": {[]observation{answers, unanswered(200 * time.Millisecond), unanswered(time.Minute)}, 1200 * time.Millisecond, false},
		"heard again":                       {[]observation{answers, unanswered(900 * time.Millisecond), answers}, 0, true},
		"left and came again":               {[]observation{answers, unanswered(900 * time.Millisecond), {after: gap, absent: true}, unanswered(gap)}, 0, false},
	} {
		now := time.Minute
		tracker := NewSilenceTracker(1, now, gap)
		for _, observation := range test.observations {
			now += observation.after
			var observations []Observation
			if !observation.absent {
				observations = []Observation{{Node: 2, Active: observation.active, Heard: observation.heard}}
			}
			tracker.Observe(now, observations)
		}
		if tracker.Silence(2) != test.silence || tracker.IsResponsive(2) != test.answers {
			t.Errorf("%s: silent for %s, answers %v; want %s, %v", name, tracker.Silence(2), tracker.IsResponsive(2), test.silence, test.answers)
		}
		if tracker.Silence(1) != 0 || !tracker.IsResponsive(1) {
			t.Errorf("%s: the leader counts itself as silent", name)
		}
	}
}

package memlimit

import "testing"

// TestSettingsOfALimit checks that a memory limit determines both settings, except those whose environment variable an
// operator has set.
func TestSettingsOfALimit(t *testing.T) {
	set := func(names ...string) func(string) (string, bool) {
		return func(name string) (string, bool) {
			for _, one := range names {
				if one == name {
					return "1", true
				}
			}
			return "", false
		}
	}
	for name, want := range map[string]struct {
		limit int64
		set   []string
		want  Settings
	}{
		"no limit known":      {0, nil, Settings{}},
		"a small machine":     {200, nil, Settings{HeapBytes: 2 * heapPercent, CollectPercent: int(Doubling)}},
		"an operator's own":   {200, []string{"GOGC", "GOMEMLIMIT"}, Settings{}},
		"only the growth set": {200, []string{"GOGC"}, Settings{HeapBytes: 2 * heapPercent}},
	} {
		if got := SettingsFor(want.limit, Doubling, set(want.set...)); got != want.want {
			t.Errorf("%s: got other settings than expected: %+v", name, got)
		}
	}
}

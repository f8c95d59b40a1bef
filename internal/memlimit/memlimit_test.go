package memlimit

import "testing"

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
		"a small machine":     {200, nil, Settings{HeapBytes: 2 * heapShare, CollectPercent: collectPercent}},
		"an operator's own":   {200, []string{"GOGC", "GOMEMLIMIT"}, Settings{}},
		"only the growth set": {200, []string{"GOGC"}, Settings{HeapBytes: 2 * heapShare}},
	} {
		if got := For(want.limit, set(want.set...)); got != want.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

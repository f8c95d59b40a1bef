package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

// TestUsageDecays checks that work counts half after each half-life, and that accounts with negligible work are
// removed.
func TestUsageDecays(t *testing.T) {
	usage := NewUsage(time.Second)
	usage.Add("a", 8, 0)
	usage.Add("a", 4, time.Second)
	for _, test := range []struct {
		owner string
		after time.Duration
		want  float64
	}{{"a", time.Second, 8}, {"a", 3 * time.Second, 2}, {"b", time.Second, 0}} {
		if got := usage.Work(test.owner, test.after); got != test.want {
			t.Errorf("usage of %s is %v after %v, want %v", test.owner, got, test.after, test.want)
		}
	}
	for number := range 10 * maxAccounts {
		usage.Add(fmt.Sprint(number), 1, time.Duration(number)*time.Second)
	}
	if len(usage.accounts) > maxAccounts {
		t.Errorf("%d accounts are kept, want at most maxAccounts", len(usage.accounts))
	}
}

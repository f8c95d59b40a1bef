package monotonic

import "testing"

func TestNowNeverGoesBack(t *testing.T) {
	last := Now()
	for range 10000 {
		now := Now()
		if now < last {
			t.Fatalf("the clock went back from %s to %s", last, now)
		}
		last = now
	}
}

package consensus

import (
	"testing"
	"time"
)

// TestConnectionsThatEndAtOnceAreRare: a node whose address another one has takes the connection and ends it; after the
// first tries it is asked twice a second, and at once again after a connection that worked.
func TestConnectionsThatEndAtOnceAreRare(t *testing.T) {
	var wait reconnect
	var spent time.Duration
	tries := 0
	for spent < 10*time.Second {
		spent += wait.pause(true, 2*time.Millisecond)
		tries++
	}
	if most := int(10*time.Second/lastBackoff) + 6; tries > most {
		t.Fatalf("%d connections in 10 s, want %d at most", tries, most)
	}
	if pause := wait.pause(true, time.Minute); pause != firstBackoff {
		t.Fatalf("after a connection that worked the pause is %v", pause)
	}
	if first, second := wait.pause(false, 0), wait.pause(false, 0); second <= first {
		t.Fatalf("pauses %v and %v", first, second)
	}
}

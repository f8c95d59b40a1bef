package consensus

import (
	"context"
	"errors"
	"testing"
)

// TestAbandonedCallsDoNotRace: a call whose caller has given up is still run by the loop, at the same moment or
// later. Its result must not be written to memory that the caller reads. The race detector finds a violation.
func TestAbandonedCallsDoNotRace(t *testing.T) {
	host := newCluster(t, 1, nil).leader(0).host
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	abandoned := 0
	for range 500 {
		status, err := host.Status(ctx, 0)
		if errors.Is(err, context.Canceled) {
			abandoned++
			if status.Term != 0 {
				t.Fatalf("an abandoned call returned %+v, want a zero status", status)
			}
		} else if err != nil || status.Term == 0 {
			t.Fatalf("got status %+v and error %v, want a status with a term", status, err)
		}
		if _, _, err = host.Capture(ctx, 0); err != nil && !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	}
	if abandoned == 0 {
		t.Fatal("no call was abandoned, so nothing was tested")
	}
}

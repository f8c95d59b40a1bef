package consensus

import (
	"context"
	"errors"
	"testing"
)

// TestAbandonedQuestionsShareNothing: a question whose asker gave up is still answered by the loop, at that moment or
// later. Its answer must not touch what the asker reads, which the race detector sees.
func TestAbandonedQuestionsShareNothing(t *testing.T) {
	host := newCluster(t, 1, nil).leader(0).host
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	abandoned := 0
	for range 500 {
		status, err := host.Status(ctx, 0)
		if errors.Is(err, context.Canceled) {
			abandoned++
			if status.Term != 0 {
				t.Fatalf("an abandoned question was answered with %+v", status)
			}
		} else if err != nil || status.Term == 0 {
			t.Fatalf("%+v, %v", status, err)
		}
		if _, _, err = host.Capture(ctx, 0); err != nil && !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	}
	if abandoned == 0 {
		t.Fatal("no question was abandoned: nothing was examined")
	}
}

package engine

import (
	"sync"
	"testing"
	"time"
)

// TestEndIsLoggedBeforeItIsSeen: whoever has read a whole answer finds its execution in the log.
func TestEndIsLoggedBeforeItIsSeen(t *testing.T) {
	ended := &stream{outcome: OutcomeRunning, over: make(chan struct{})}
	ended.changed.L = &ended.mutex
	recorded := 0
	record := func(entry Execution) {
		recorded++
		select {
		case <-ended.over:
			t.Error("the end was seen before it was logged")
		default:
		}
		if entry.Outcome != OutcomeFinished {
			t.Errorf("logged as %v", entry.Outcome)
		}
	}
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() { ended.end(OutcomeFinished, time.Now(), record) })
	}
	calls.Wait()
	if recorded != 1 {
		t.Errorf("logged %d times", recorded)
	}
}

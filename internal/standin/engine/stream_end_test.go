package engine

import (
	"sync"
	"testing"
	"time"
)

// TestEndIsLoggedBeforeItIsSeen guards against a client that has read a whole answer and does not find its execution in
// the log, because readers were woken before the end was recorded.
func TestEndIsLoggedBeforeItIsSeen(t *testing.T) {
	ended := &stream{outcome: OutcomeRunning, done: make(chan struct{})}
	ended.changed.L = &ended.mutex
	recorded := 0
	record := func(entry Execution) {
		recorded++
		select {
		case <-ended.done:
			t.Error("the end was seen before it was logged")
		default:
		}
		if entry.Outcome != OutcomeFinished {
			t.Errorf("logged with outcome %v, want finished", entry.Outcome)
		}
	}
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() { ended.end(OutcomeFinished, time.Now(), record) })
	}
	calls.Wait()
	if recorded != 1 {
		t.Errorf("logged %d times, want once", recorded)
	}
}
